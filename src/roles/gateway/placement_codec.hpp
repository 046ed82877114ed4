#pragma once

#include <placement.pb.h>

#include <cstdint>
#include <span>
#include <string>

#include "roles/gateway/placement_coordinator.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace wrenswitch {

/// Encodes a query to a coordinator. `remaining` is the time until the caller's deadline.
wire::PlacementAsk to_wire(std::uint64_t attempt, const std::string& service,
                           const engine_request& request, std::span<const std::string> tried,
                           microseconds remaining);

/// Decodes a query for engines with this profile.
engine_request from_wire(const wire::PlacementAsk& query, const engine_profile& engine);

/// Encodes a coordinator's choice, which may have no target.
wire::PlacementAnswer to_wire(std::uint64_t attempt, const target_choice& choice);

/// Decodes a coordinator's choice and its costs, with the targets looked up in this process's list.
target_choice from_wire(const wire::PlacementAnswer& reply, const target_pool& targets);

wire::RunEnd to_wire(attempt_outcome outcome);
attempt_outcome from_wire(wire::RunEnd outcome);

}  // namespace wrenswitch
