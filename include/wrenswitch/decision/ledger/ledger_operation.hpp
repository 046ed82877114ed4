#pragma once

#include <string>
#include <variant>
#include <vector>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// Creates a budget or changes its limit. Refused if the limit is below what is already committed.
struct set_budget_operation {
    operation_id operation{};
    std::string name;
    tokens limit = 0;
};

/// Asks for tokens of a budget to be held by the writer. What is granted is the amount or what is
/// left. If that is less than the need, the rest of the need waits for tokens to come free.
struct draw_operation {
    budget_id budget{};
    tokens amount = 0;
    tokens need = 0;
};

/// Gives tokens back that the writer holds and has not reserved.
struct return_operation {
    budget_id budget{};
    tokens amount = 0;
};

/// What the use of one ticket costs: an upper bound while the request runs, the true figure after
/// its end. A ticket is used at most once, so it names the charge.
struct charge {
    budget_id budget{};
    incarnation_id holder{};
    digest key;
    ticket_id ticket{};
    tokens amount = 0;
    bool running = false;

    friend bool operator==(const charge&, const charge&) = default;
};

/// Bills one ended request.
struct settle_operation {
    charge settled;
};

/// The writer stops as planned: all that it held is settled or free.
struct close_holder_operation {};

/// Ends the grants of a fenced holder. The charges are those that all guards' marks listed.
struct reclaim_operation {
    incarnation_id holder{};
    std::vector<charge> charges;
};

/// Asks for the shard's key grant: the right to decide which requests that may not be repeated run.
/// One holder has it at a time, until it releases it, closes or is reclaimed.
struct hold_keys_operation {};

/// Gives the key grant back. All claims of the writer stand before it.
struct release_keys_operation {};

/// Writes down that a request that may not be repeated was given this ticket. The holder of the key
/// grant writes it behind: until then, it and the guards are the witnesses.
struct claim_key_operation {
    digest key;
    ticket_id ticket{};
};

using ledger_operation =
    std::variant<set_budget_operation, draw_operation, return_operation, settle_operation,
                 close_holder_operation, reclaim_operation, claim_key_operation,
                 hold_keys_operation, release_keys_operation>;

/// One record of a ledger stream. A writer numbers its batches from 1 and appends one at a time, so
/// a second copy of a batch is known by its number.
struct ledger_batch {
    incarnation_id writer{};
    std::uint64_t sequence = 0;
    std::vector<ledger_operation> operations;
};

/// What the fold did with one operation.
enum class operation_outcome {
    accepted,
    /// A draw got less than its need; the rest waits.
    partly_granted,
    /// The ticket's charge was counted before; nothing changed.
    already_settled,
    /// The key was billed with another ticket: the tokens count as burnt, not as billed.
    billed_once_already,
    /// No grant covers the charge; it is counted all the same and shown to operators.
    unbacked,
    refused_unknown_budget,
    refused_name_clash,
    refused_bad_amount,
    refused_below_commitments,
    refused_closed_holder,
    refused_exceeds_holding,
    refused_key_claimed,
    /// Another holder has the key grant.
    refused_keys_held,
};

/// The name of an outcome as logs and replies show it.
std::string_view name_of(operation_outcome outcome);

/// True if the operation took effect.
bool took_effect(operation_outcome outcome);

}  // namespace wrenswitch
