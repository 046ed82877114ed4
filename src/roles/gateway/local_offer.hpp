#pragma once

#include <cstdint>
#include <string>

#include "roles/gateway/placed_attempt.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"

namespace wrenswitch {

/// An engine that a coordinator in this gateway's region offered. The attempt stays counted at the
/// engine while a coordinator in another region is queried for a better one.
struct local_offer {
    std::uint64_t attempt = 0;
    std::string target;
    std::string copy_from;
    tokens uncached_tokens = 0;
    placement_cost cost;
    microseconds wait{};
    /// Empty if this process is the coordinator.
    cluster_member coordinator;
    microseconds selection_time{};
};

/// Copies a choice into an offer that remains valid when the target list changes.
local_offer make_offer(std::uint64_t attempt, const target_choice& choice,
                       const cluster_member& coordinator, microseconds selection_time);

/// Looks the offered choice up in the target list. It has no target if the target is no longer
/// known.
target_choice choice_from(const local_offer& offer, const target_pool& targets);

/// The attempt that is counted at the offered engine.
placed_attempt attempt_from(const local_offer& offer);

}  // namespace wrenswitch
