#pragma once

#include <cstdint>
#include <string>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// An operator's order to move a service's traffic to targets of another version.
struct rollout_order {
    std::string service;
    std::string version;
    /// How long it may take from the order on; zero if the order doesn't say.
    microseconds duration{};
    /// Where the order stands in the configuration's log: names it, and a later one has a higher
    /// number.
    std::uint64_t number = 0;

    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

/// Where a roll-out stands. The last two are final.
enum class rollout_state {
    running,
    /// The service's traffic is the new version's; the old targets are ended at once.
    completed,
    /// Nothing goes to the new version; its targets leave.
    rolled_back,
};

/// The name of a state, as logs and metrics show it.
const char* name_of(rollout_state state);

/// What the fleet's log of roll-outs holds of one service: the newest order that was taken up and
/// what became of it. Written under a condition, so that two deciders can't contradict each other.
struct rollout_record {
    std::string service;
    std::uint64_t order = 0;
    std::string version;
    rollout_state state = rollout_state::running;
    /// How much of the order's time had certainly passed when the record was written. What is lost
    /// with all processes makes it too small, never too large: the roll-out then ends late.
    microseconds elapsed{};
    /// Who wrote it, and why, for operators.
    incarnation_id decider{};
    std::string reason;

    friend bool operator==(const rollout_record&, const rollout_record&) = default;
};

}  // namespace wrenswitch
