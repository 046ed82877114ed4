#pragma once

#include <cstdint>
#include <string>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// What an entry does with a service's requests while the service is rolled out.
enum class rollout_phase {
    /// The order is known and nobody has taken it up: the old version serves.
    waiting,
    /// A small share goes to the new version.
    canary,
    /// The version is held for good: requests go to the new version as the bound on exposure
    /// allows, those first that the old targets couldn't end in time.
    moving,
    /// All requests go to the new version.
    completed,
    /// None does.
    rolled_back,
};

const char* name_of(rollout_phase phase);

/// True if nothing follows this phase.
bool is_over(rollout_phase phase);

/// The decider's word to the entries on one service. A lost one does no harm: the next replaces it,
/// and the final phases stand in the log as well.
struct rollout_stand {
    std::string service;
    std::uint64_t order = 0;
    std::string version;
    rollout_phase phase = rollout_phase::waiting;
    /// The part of the exposure budget that the canary may use.
    double canary_part = 0.0;
    /// The targets of the new version that the canary uses, as in version_constraint.
    std::uint32_t group_size = 0;
    std::uint64_t group_seed = 0;
    /// How much of the order's time is left, as the decider knows it; zero or less once it is over.
    microseconds left{};
    /// The version is held for bad, though the log can't tell it yet: nothing goes there.
    bool held_for_bad = false;

    friend bool operator==(const rollout_stand&, const rollout_stand&) = default;
};

/// What an entry tells the decider beside its evidence.
struct rollout_report {
    std::string service;
    std::uint64_t order = 0;
    /// How long this process has known of the order, which is no more than its age.
    microseconds known_for{};
    /// True once the phase is `moving`, nothing new goes to old targets and nothing is left there
    /// that can't go on at another target.
    bool moved = false;
    /// Requests of the service that reached a target, and those that went to the new version.
    std::uint64_t reached = 0;
    std::uint64_t exposed = 0;
    /// True if this process is sure that the version is bad by its own answers.
    bool found_bad = false;
};

}  // namespace wrenswitch
