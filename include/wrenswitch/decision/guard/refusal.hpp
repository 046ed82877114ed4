#pragma once

#include <string_view>

namespace wrenswitch {

/// Why a guard did not run an attempt and will not run it.
enum class refusal_reason {
    none,
    queue_full,
    /// It could not finish before its deadline.
    deadline,
    /// The guard is shutting down and accepts no new requests.
    leaving,
    /// The holder of the ticket is fenced or closed, or the guard itself is not active.
    fenced,
    /// The guard has not yet read enough of the control stream to check the ticket.
    behind,
    /// The process that issued the ticket has voided it.
    voided,
    /// The ticket was already used at this guard.
    repeated_ticket,
    target_down,
    /// The requested response is not buffered here.
    no_answer_kept,
    wrong_service,
    /// The caller disconnected before the request ran.
    cancelled,
    /// The ticket was issued before the guard registered.
    predates,
};

/// The name of a reason in metrics and replies.
std::string_view name_of(refusal_reason reason);

/// True if another target may accept the request.
bool can_retry_elsewhere(refusal_reason reason);

}  // namespace wrenswitch
