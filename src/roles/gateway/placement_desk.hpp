#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/placement/engine_keepers.hpp"

namespace wrenswitch::wire {
class RunNewsBatch;
}  // namespace wrenswitch::wire

namespace wrenswitch {

/// How a run at an engine ended, for what is believed of the engine.
enum class run_end {
    /// It says nothing of the engine: its caller left, or it was never sent.
    left,
    answered_well,
    answered_badly,
    /// The engine couldn't be reached or broke off.
    failed,
};

/// What this entry does as the keeper of some engines: it chooses among them for every entry that
/// asks, counts the request as begun there in the same step, and hears how it fares. Two choices
/// thus never rest on the same view of an engine, however many entries there are.
class placement_desk {
public:
    /// All that is referred to must outlive the desk.
    placement_desk(target_pool& targets, engine_coordinators& keepers, metrics& counters);

    /// Chooses one of the engines that this entry keeps and counts the run, whose number is unique
    /// in the fleet, as begun there, for no longer than its caller still waits. Without a target if
    /// there is none to offer.
    target_choice place(instant now, std::uint64_t run, const std::string& service,
                        const engine_request& request, std::span<const std::string> tried,
                        microseconds left);

    /// The first event of a run came.
    void first_event(instant now, std::uint64_t run);

    /// A whole span of later events of a run came within this time.
    void next_events(instant now, std::uint64_t run, microseconds span);

    /// A run that another entry sent has ended; it tells of the engine what that entry saw.
    void ended_elsewhere(instant now, std::uint64_t run, run_end how);

    /// A run of this entry's own has ended.
    void ended_here(instant now, std::uint64_t run);

    /// What other entries tell of their runs.
    void take_news(instant now, const wire::RunNewsBatch& batch);

    /// Ends the runs whose callers have no time left: their entry must be gone.
    void drop_lapsed(instant now);

    /// The runs that are counted now.
    std::size_t runs() const { return runs_.size(); }

private:
    struct kept_run {
        std::string target;
        /// Its number at the engine.
        std::uint64_t number = 0;
        /// When it is given up if its end isn't told.
        instant lease_until{};
    };

    const kept_run* find(std::uint64_t run) const;
    bool may_offer(instant now, std::string_view engine);
    void note_keepers(instant now);

    target_pool& targets_;
    engine_coordinators& keepers_;
    metrics& counters_;
    std::map<std::uint64_t, kept_run> runs_;
    /// The state of the keepers for which turns at cold engines are given.
    std::uint64_t seen_keepers_ = 0;
};

}  // namespace wrenswitch
