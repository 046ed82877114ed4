#pragma once

#include <string>
#include <vector>

#include "wrenswitch/decision/ledger/ledger_operation.hpp"

namespace wrenswitch {

/// The tokens of a budget that are granted to one holder and not spent yet.
struct holding {
    incarnation_id holder{};
    tokens outstanding = 0;

    friend bool operator==(const holding&, const holding&) = default;
};

/// A holder's unmet need, queued until tokens become available.
struct waiting_need {
    incarnation_id holder{};
    tokens need = 0;

    friend bool operator==(const waiting_need&, const waiting_need&) = default;
};

/// The state of one budget, derived from the ledger stream alone. All amounts are in tokens.
struct budget_state {
    std::string name;
    tokens limit = 0;
    /// Billed to the client account, once per request key.
    tokens billed = 0;
    /// Spent by repeated executions of requests that were billed already; not billed again.
    tokens burnt = 0;
    /// The part of billed and burnt that exceeded the holders' grants; shown to operators.
    tokens unbacked = 0;
    std::vector<holding> holdings;
    /// Charges of reclaimed holders whose requests still run, at their upper bounds.
    std::vector<charge> running;
    /// Unmet needs in order of arrival.
    std::vector<waiting_need> waiting;
    /// The latest set_budget operations that took effect, to give a repeated one the same outcome.
    std::vector<operation_id> operations;

    friend bool operator==(const budget_state&, const budget_state&) = default;

    /// All tokens that are spent or may be spent without another draw.
    tokens committed() const;

    /// The tokens left to draw. Negative only if charges exceeded the grants.
    tokens available() const { return limit - committed(); }

    /// The unspent tokens granted to this holder.
    tokens outstanding_of(incarnation_id holder) const;

    /// The sum of all unmet needs.
    tokens total_waiting_need() const;
};

}  // namespace wrenswitch
