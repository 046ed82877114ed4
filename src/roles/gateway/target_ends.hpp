#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/suspects/broken_runs.hpp"
#include "wrenswitch/drivers/connection_probe.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch {

/// The life of a target as the list has it.
target_incarnation life_of(const gateway_target& target);

/// Finds out whether a target whose runs broke off has ended, and under which requests. A broken
/// run looks the same whether the target ended, its connection was reset or its answer was garbled.
/// What tells them apart: nothing listens at its address any more, twice, and nothing of it has
/// come meanwhile; or the list has it with a later start, or no more.
class target_ends {
public:
    struct hooks {
        /// A life of a target ended while these requests were under way at it from this process.
        std::function<void(const target_incarnation& life, std::span<const digest> requests)> ended;
    };

    /// All that is referred to must outlive this.
    target_ends(event_loop& loop, const target_pool& targets, metrics& counters, hooks called)
        : loop_(loop), targets_(targets), counters_(counters), hooks_(std::move(called)) {}

    /// The connection of a run at this life ended before the answer did.
    void broke(instant now, const target_incarnation& life, const digest& request);

    /// This process ended a run there by itself before its answer did.
    void left(instant now, const target_incarnation& life, const digest& request) {
        runs_.record_cancelled(now, life, request);
    }

    /// Something of this life of a target came. It goes on, unless that lay unread since before
    /// the break.
    void heard(instant now, const target_incarnation& life);

    /// The list has this target no more, or with a later start.
    void unlisted(const std::string& id);
    void restarted(const std::string& id);

    /// To be called several times a second.
    void tick(instant now);

private:
    /// What is asked about one life.
    struct question {
        std::unique_ptr<connection_probe> probe;
        unsigned refusals = 0;
        /// Something listened at the address: the target ends as planned if it leaves the list.
        bool accepted = false;
        instant broke{};
        std::optional<instant> asked;
    };

    void ask(const target_incarnation& life);
    void answered(const target_incarnation& life, probe_answer answer);
    void end(const target_incarnation& life, std::string_view seen_by);

    event_loop& loop_;
    const target_pool& targets_;
    metrics& counters_;
    hooks hooks_;
    interrupted_attempts runs_;
    std::map<target_incarnation, question> questions_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
