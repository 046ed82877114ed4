#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"
#include "wrenswitch/decision/home/ticket.hpp"

namespace wrenswitch {

/// What an entry asks of a budget's home before a request may run.
struct reservation_ask {
    /// Names the request between the asker and the home.
    std::uint64_t request = 0;
    std::string budget;
    digest key;
    digest body;
    /// The most that the request can cost.
    tokens bound = 0;
    bool repeatable = true;
    /// True if the caller chose the key, so that the same request may come again.
    bool keyed = false;
    /// How long the asker is ready to wait for tokens from elsewhere.
    microseconds wait{0};
    /// A ticket of the same request that was lost sight of at a guard; zero if there is none. It
    /// stays reserved until its fate is known, and the request gets another.
    ticket_id replaces{};
};

/// What became of an ask.
enum class reservation_outcome {
    granted,
    /// The request runs or ran; its answer is at a guard.
    join,
    /// The budget as a whole has too little left.
    budget_exhausted,
    /// The budget may have enough, but the log cannot be reached and what is held here is used up.
    budget_unreachable,
    no_budget,
    /// The key was used with another body.
    key_reused,
    /// The same key is on its way to a target; ask again shortly.
    in_progress,
    /// A request that may not be repeated may have run.
    unknown_outcome,
    /// Another incarnation decides about requests that may not be repeated; ask it.
    keys_elsewhere,
};

/// The name of an outcome as replies show it.
std::string_view name_of(reservation_outcome outcome);

/// The home's answer to an ask.
struct reservation_answer {
    reservation_outcome outcome = reservation_outcome::no_budget;
    ticket granted;
    std::string guard_endpoint;
    incarnation_id guard{};
    /// With keys_elsewhere: whom to ask, or zero if nobody decides now.
    incarnation_id key_holder{};
    microseconds retry_after{0};
};

}  // namespace wrenswitch
