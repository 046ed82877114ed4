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
    /// Time limit from the order to completion; zero if the order has none.
    microseconds duration{};
    /// The position of the order in the configuration log. Identifies the order; later orders have
    /// higher numbers.
    std::uint64_t number = 0;

    friend bool operator==(const rollout_order&, const rollout_order&) = default;
};

/// The logged state of a rollout. The last two are final.
enum class rollout_state {
    running,
    /// The new version serves all traffic; the old targets are stopped at once.
    completed,
    /// The new version gets no traffic; its targets are removed.
    rolled_back,
};

/// The name of a state in logs and metrics.
const char* name_of(rollout_state state);

/// The record of one service in the rollout log: its newest order that was started, and its state.
/// Appended conditionally, so that two deciders can't contradict each other.
struct rollout_record {
    std::string service;
    std::uint64_t order = 0;
    std::string version;
    rollout_state state = rollout_state::running;
    /// A lower bound of the time between the order and this record. Time lost when all processes
    /// fail makes it too small, never too large, so the rollout then ends late.
    microseconds elapsed{};
    /// The process that wrote the record, and the reason, for operators.
    incarnation_id decider{};
    std::string reason;

    friend bool operator==(const rollout_record&, const rollout_record&) = default;
};

}  // namespace wrenswitch
