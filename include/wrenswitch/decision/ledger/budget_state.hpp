#pragma once

#include <string>
#include <vector>

#include "wrenswitch/decision/ledger/ledger_operation.hpp"

namespace wrenswitch {

/// Tokens of a budget that one holder may spend.
struct holding {
    incarnation_id holder{};
    tokens outstanding = 0;

    friend bool operator==(const holding&, const holding&) = default;
};

/// A holder's need that the budget could not meet yet.
struct waiting_need {
    incarnation_id holder{};
    tokens need = 0;

    friend bool operator==(const waiting_need&, const waiting_need&) = default;
};

/// The state of one budget in a ledger. All of it follows from the stream.
struct budget_state {
    std::string name;
    tokens limit = 0;
    /// Charged to the client account, each request key once.
    tokens billed = 0;
    /// Spent on targets by a second run of a request that was billed already.
    tokens burnt = 0;
    /// The part of billed and burnt that no grant covered; shown to operators.
    tokens unbacked = 0;
    std::vector<holding> holdings;
    /// Charges of reclaimed holders that still run, at their upper bounds.
    std::vector<charge> running;
    /// In order of arrival.
    std::vector<waiting_need> waiting;
    /// The latest set_budget operations that took effect, so that a repeat gets the same answer.
    std::vector<operation_id> operations;

    friend bool operator==(const budget_state&, const budget_state&) = default;

    /// Everything that is spent or may yet be spent without a further draw.
    tokens committed() const;

    /// What can still be drawn. Negative only if charges came that no grant covered.
    tokens available() const { return limit - committed(); }

    /// What this holder holds.
    tokens outstanding_of(incarnation_id holder) const;

    /// The sum of all needs that wait.
    tokens waiting_total() const;
};

}  // namespace wrenswitch
