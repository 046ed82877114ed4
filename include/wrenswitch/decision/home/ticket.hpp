#pragma once

#include <string>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// The right to run one request, up to a bound, at one guard. A home issues it; it travels over the
/// entry to a guard, which takes it once.
struct ticket {
    ticket_id id{};
    incarnation_id holder{};
    /// Where the holder takes the report of the charge.
    std::string holder_endpoint;
    budget_id budget{};
    digest key;
    tokens bound = 0;
    /// A guard that has read less of the control stream than this refuses the ticket: it might be
    /// fenced without knowing it.
    log_offset least_control_offset{};
    /// How far the home had read the control stream when it issued the ticket. A guard that
    /// registered later refuses it: a predecessor of that guard may have voided the ticket.
    log_offset issued_control_offset{};
};

}  // namespace wrenswitch
