#pragma once

#include <string>
#include <variant>
#include <vector>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// Creates a budget or changes its limit. Refused if the limit is below the committed tokens.
struct set_budget_operation {
    operation_id operation{};
    std::string name;
    tokens limit = 0;
};

/// Requests a grant of tokens for the writer. Grants the amount, or what is available if that is
/// less. A need beyond the granted tokens is queued until tokens become available.
struct draw_operation {
    budget_id budget{};
    tokens amount = 0;
    tokens need = 0;
};

/// Returns tokens that the writer holds and has not reserved.
struct return_operation {
    budget_id budget{};
    tokens amount = 0;
};

/// The cost of the request that used one ticket: the upper bound while it runs, the actual cost
/// after its end. A ticket is used at most once, so it identifies the charge.
struct charge {
    budget_id budget{};
    incarnation_id holder{};
    digest key;
    ticket_id ticket{};
    tokens amount = 0;
    bool running = false;

    friend bool operator==(const charge&, const charge&) = default;
};

/// Settles the charge of one completed request.
struct settle_operation {
    charge settled;
};

/// Closes the writer at an orderly shutdown: its charges are settled, its other tokens are
/// released.
struct close_holder_operation {};

/// Revokes the grants of a fenced holder. The charges are those listed in all guards' fence
/// acknowledgements.
struct reclaim_operation {
    incarnation_id holder{};
    std::vector<charge> charges;
};

/// Acquires the key lock of the shard. Its holder alone decides which non-repeatable requests run.
/// It is held until the holder unlocks it, closes or is reclaimed.
struct lock_keys_operation {};

/// Releases the key lock. All key claims of the writer must precede it in the stream.
struct unlock_keys_operation {};

/// Records the ticket issued to a non-repeatable request. The holder of the key lock appends it
/// after issuing the ticket; until then only the holder and the guards know of the claim.
struct claim_key_operation {
    digest key;
    ticket_id ticket{};
};

using ledger_operation =
    std::variant<set_budget_operation, draw_operation, return_operation, settle_operation,
                 close_holder_operation, reclaim_operation, claim_key_operation,
                 lock_keys_operation, unlock_keys_operation>;

/// One record of a ledger stream. A writer numbers its batches from 1 and appends one at a time, so
/// the sequence number identifies duplicates.
struct ledger_batch {
    incarnation_id writer{};
    std::uint64_t sequence = 0;
    std::vector<ledger_operation> operations;
};

/// The result of applying one operation to the ledger.
enum class operation_outcome {
    accepted,
    /// A draw was granted less than its need; the rest is queued.
    partly_granted,
    /// The ticket was settled before; nothing changed.
    already_settled,
    /// The key was billed with another ticket; the tokens are counted as burnt instead.
    billed_once_already,
    /// The charge exceeds the grant. It is counted in full, and the excess is shown to operators.
    unbacked,
    refused_unknown_budget,
    refused_name_clash,
    refused_bad_amount,
    refused_below_commitments,
    refused_closed_holder,
    refused_exceeds_holding,
    refused_key_claimed,
    /// Another holder has the key lock.
    refused_keys_held,
};

/// The name of an outcome in logs and replies.
std::string_view name_of(operation_outcome outcome);

/// True if the operation took effect.
bool took_effect(operation_outcome outcome);

}  // namespace wrenswitch
