#pragma once

#include <placement.pb.h>

#include <cstdint>
#include <span>
#include <string>

#include "roles/gateway/placement_desk.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace wrenswitch {

/// What an entry asks a keeper, with how long the caller still waits.
wire::PlacementAsk to_wire(std::uint64_t run, const std::string& service,
                           const engine_request& request, std::span<const std::string> tried,
                           microseconds left);

/// What a keeper was asked, for engines of this kind.
engine_request from_wire(const wire::PlacementAsk& ask, const engine_profile& engine);

/// A keeper's choice, which may be none.
wire::PlacementAnswer to_wire(std::uint64_t run, const target_choice& choice);

/// A keeper's choice among the targets known here, and what it was made by.
target_choice from_wire(const wire::PlacementAnswer& answer, const target_pool& targets);

wire::RunEnd to_wire(run_end how);
run_end from_wire(wire::RunEnd how);

}  // namespace wrenswitch
