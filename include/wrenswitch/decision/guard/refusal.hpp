#pragma once

#include <string_view>

namespace wrenswitch {

/// Why a guard did not and will not run an attempt.
enum class refusal_reason {
    none,
    queue_full,
    /// It could not end before its deadline.
    deadline,
    /// The guard takes no new work.
    leaving,
    /// The ticket's holder is fenced, closed or not known.
    fenced,
    /// The guard has read too little of the control stream.
    behind,
    /// The home voided the ticket.
    voided,
    /// The ticket was used here before.
    repeated_ticket,
    target_down,
    /// The answer that was asked for is not kept here.
    no_answer_kept,
    wrong_service,
    /// The caller went away before it ran.
    cancelled,
    /// The ticket was issued before the guard registered.
    predates,
};

/// The name of a reason as counters and replies show it.
std::string_view name_of(refusal_reason reason);

/// True if another target may well take the request.
bool worth_another_target(refusal_reason reason);

}  // namespace wrenswitch
