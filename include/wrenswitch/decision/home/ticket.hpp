#pragma once

#include <string>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// Permits the execution of one request, up to a cost bound, at one guard. An allocator issues it,
/// and the entry passes it to a guard, which accepts each ticket once.
struct ticket {
    ticket_id id{};
    incarnation_id holder{};
    /// The endpoint to which the guard reports the charge.
    std::string holder_endpoint;
    budget_id budget{};
    digest key;
    tokens bound = 0;
    /// A guard that has not read the control stream up to this offset refuses the ticket: it might
    /// be fenced without knowing it.
    log_offset least_control_offset{};
    /// The control stream offset that the allocator had read when it issued the ticket. A guard
    /// that registered later refuses it: a predecessor of that guard may have voided the ticket.
    log_offset issued_control_offset{};
};

}  // namespace wrenswitch
