#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/grants/token_homes.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch {

/// Which keepers answer this entry, and how far they are. One that let an ask pass its time is
/// passed over until it says something, and counts as lost if that takes too long.
class keeper_reach {
public:
    /// What a reach needs of its process, as in placement_exchange.
    struct hooks {
        std::function<void(const std::string& host, bool others_answered)> keeper_silent;
        std::function<void(const std::string& host)> keeper_answered;
        std::function<microseconds(const cluster_member& keeper)> round_trip;
        std::function<void(const cluster_member& keeper, microseconds took)> answered_after;
    };

    /// All that is referred to must outlive this.
    keeper_reach(event_loop& loop, metrics& counters, hooks needs);
    ~keeper_reach();
    keeper_reach(const keeper_reach&) = delete;
    keeper_reach& operator=(const keeper_reach&) = delete;

    /// The way to a keeper and back; zero if it is near.
    microseconds round_trip(const cluster_member& keeper) const {
        return hooks_.round_trip(keeper);
    }

    bool is_silent(const std::string& host) const { return silent_.contains(host); }
    const std::set<std::string>& silent() const { return silent_; }

    /// An ask that went out at this instant was answered in time.
    void answered(const cluster_member& keeper, instant asked);

    /// The answer to an ask came after it was given up.
    void answered_late(std::uint64_t run);

    /// An ask passed its time.
    void no_answer(std::uint64_t run, const cluster_member& keeper, instant asked);

private:
    struct late_ask {
        cluster_member keeper;
        instant asked{};
    };

    void watch(const cluster_member& keeper, instant asked);
    void remember_late(std::uint64_t run, const cluster_member& keeper, instant asked);

    event_loop& loop_;
    metrics& counters_;
    hooks hooks_;
    /// Keepers that let an ask pass its time and have said nothing since.
    std::set<std::string> silent_;
    /// Asks that passed their time, for as long as their answers may still tell how far a keeper
    /// is.
    std::map<std::uint64_t, late_ask> late_;
    /// When the latest ask that was answered went out.
    instant answered_ask_{};
    /// When each keeper last answered.
    std::map<std::string, instant> heard_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
