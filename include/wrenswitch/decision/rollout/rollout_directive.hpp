#pragma once

#include <cstdint>
#include <string>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// How entries split a service's requests between the versions during a rollout.
enum class rollout_phase {
    /// No decider has started the rollout yet, or it is suspended: the old version serves.
    waiting,
    /// A small share of requests goes to the new version.
    canary,
    /// The version was evaluated as good: requests move to it within the exposure bound, first
    /// those that an old target couldn't finish in time.
    moving,
    /// All requests go to the new version.
    completed,
    /// No requests go to the new version.
    rolled_back,
};

const char* name_of(rollout_phase phase);

/// True if the phase is final.
bool is_over(rollout_phase phase);

/// The decider's instruction to the entries for one service. Losing one is harmless: the next
/// replaces it, and final phases are in the rollout log as well.
struct rollout_directive {
    std::string service;
    std::uint64_t order = 0;
    std::string version;
    rollout_phase phase = rollout_phase::waiting;
    /// The fraction of the exposure budget that the canary may use, 0 to 1.
    double canary_fraction = 0.0;
    /// Size and seed of the group of new targets that serve the canary; size 0 means all.
    std::uint32_t group_size = 0;
    std::uint64_t group_seed = 0;
    /// Time left of the order's duration as known to the decider; zero or negative past the
    /// deadline.
    microseconds remaining{};
    /// The version was evaluated as bad but the rollback isn't logged yet: send it no requests.
    bool version_bad = false;

    friend bool operator==(const rollout_directive&, const rollout_directive&) = default;
};

/// The status that an entry reports to the decider along with its evidence.
struct rollout_report {
    std::string service;
    std::uint64_t order = 0;
    /// How long this process has known of the order: a lower bound of the order's age.
    microseconds known_for{};
    /// True if the phase is `moving`, no new requests go to old targets, and all that are still in
    /// flight there could be retried at another target.
    bool moved = false;
    /// Requests of the service that reached a target, and requests sent to the new version.
    std::uint64_t reached = 0;
    std::uint64_t exposed = 0;
    /// True if the responses seen by this process alone show that the version is bad.
    bool found_bad = false;
};

}  // namespace wrenswitch
