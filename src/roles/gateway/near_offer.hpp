#pragma once

#include <cstdint>
#include <string>

#include "roles/gateway/placed_run.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/grants/token_homes.hpp"

namespace wrenswitch {

/// What a keeper of the own region offered while one of another region is asked too. The
/// engine's place there is held.
struct near_offer {
    std::uint64_t run = 0;
    std::string target;
    std::string copy_from;
    tokens unread = 0;
    placement_cost price;
    microseconds wait{};
    /// Empty if it was this entry itself.
    cluster_member keeper;
    microseconds asked_for{};
};

/// An offer that keeps a choice over a change of the targets.
near_offer offer_of(std::uint64_t run, const target_choice& choice, const cluster_member& keeper,
                    microseconds asked_for);

/// The choice again. Without a target if that is forgotten.
target_choice choice_of(const near_offer& offer, const target_pool& targets);

/// The run that holds the engine's place.
placed_run run_of(const near_offer& offer);

}  // namespace wrenswitch
