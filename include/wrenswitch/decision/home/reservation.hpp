#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"
#include "wrenswitch/decision/home/ticket.hpp"

namespace wrenswitch {

/// Asks an allocator to reserve a request's upper bound before the request may run.
struct reservation_request {
    /// Identifies the request between the sender and the allocator.
    std::uint64_t request_id = 0;
    std::string budget;
    digest key;
    /// The digest of the request body.
    digest body;
    /// The maximum cost of the request, in tokens.
    tokens bound = 0;
    /// False if the request may be executed at most once.
    bool repeatable = true;
    /// True if the client supplied the key, so that it may send the same request again.
    bool keyed = false;
    /// How long the request may wait for tokens or for the key lock.
    microseconds max_wait{0};
    /// A ticket of the same request whose outcome at a guard is unknown, or zero. It stays reserved
    /// until the outcome is known; the request gets another ticket.
    ticket_id replaces{};
};

/// The result of a reservation request.
enum class reservation_outcome {
    granted,
    /// The request runs or has run; a guard has its response.
    join,
    /// The budget has too few tokens left.
    budget_exhausted,
    /// The tokens held here are used up, and the log cannot be reached to draw more.
    budget_unreachable,
    /// The budget does not exist.
    no_budget,
    /// The key was used before with another body.
    key_reused,
    /// A request with the same key is in progress; retry shortly.
    in_progress,
    /// The request must not be repeated and may have run before.
    unknown_outcome,
    /// Another incarnation holds the key lock and decides about non-repeatable requests.
    keys_elsewhere,
};

/// The name of an outcome in replies.
std::string_view name_of(reservation_outcome outcome);

/// The allocator's reply to a reservation request.
struct reservation_reply {
    reservation_outcome outcome = reservation_outcome::no_budget;
    /// With granted: the issued ticket.
    ticket granted;
    /// With join: the guard that has the response.
    std::string guard_endpoint;
    incarnation_id guard{};
    /// With keys_elsewhere: the holder of the key lock, or zero if nobody holds it.
    incarnation_id key_holder{};
    /// With a refusal: the suggested retry interval, or zero if a retry cannot succeed.
    microseconds retry_after{0};
};

}  // namespace wrenswitch
