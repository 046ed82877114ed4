#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "wrenswitch/decision/ledger/budget_state.hpp"
#include "wrenswitch/decision/ledger/key_memory.hpp"
#include "wrenswitch/decision/ledger/ledger_operation.hpp"

namespace wrenswitch {

/// What the ledger remembers of a writer of batches.
struct ledger_writer {
    std::uint64_t last_sequence = 0;
    /// A closed writer holds nothing and can draw no more.
    bool closed = false;

    friend bool operator==(const ledger_writer&, const ledger_writer&) = default;
};

/// The fold of one ledger stream: a pure function of its records in offset order. Every reader
/// computes the same state, and an operation is accepted or refused by that state alone. The sum of
/// what is billed, burnt, held and running never exceeds a budget's limit through a draw.
///
/// spec/budget.pml models draw, settle and reclaim.
class ledger_state {
public:
    /// The number of request keys and tickets that one generation of the key memory takes. At the
    /// design size a shard settles 21 requests a second, each of which adds a key and a ticket, so
    /// that two generations span from 16 to 32 minutes; a snapshot carries both.
    static constexpr std::size_t default_key_generation = 40'000;

    explicit ledger_state(std::size_t key_generation = default_key_generation)
        : keys_(key_generation) {}

    friend bool operator==(const ledger_state&, const ledger_state&) = default;

    /// Applies one batch. Returns one outcome an operation, or nothing for a second copy.
    std::vector<operation_outcome> apply(const ledger_batch& batch);

    /// The budget with this identifier, or null.
    const budget_state* find(budget_id budget) const;

    /// All budgets, in no order.
    const std::unordered_map<budget_id, budget_state>& budgets() const { return budgets_; }

    /// All writers, in no order.
    const std::unordered_map<incarnation_id, ledger_writer>& writers() const { return writers_; }

    const key_memory& keys() const { return keys_; }

    /// The holder of the key grant, or zero.
    incarnation_id key_holder() const { return key_holder_; }

    /// The number of the last batch of this writer that was applied, or zero.
    std::uint64_t last_sequence_of(incarnation_id writer) const;

    /// True if the holder stopped as planned or was reclaimed.
    bool is_closed(incarnation_id holder) const;

    /// The budgets of which this holder holds tokens or waits for some.
    std::vector<budget_id> budgets_of(incarnation_id holder) const;

    /// Puts back what a snapshot held.
    void restore(std::unordered_map<budget_id, budget_state> budgets,
                 std::unordered_map<incarnation_id, ledger_writer> writers, key_memory keys,
                 incarnation_id key_holder);

private:
    struct visitor;

    operation_outcome apply_set_budget(const set_budget_operation& operation);
    operation_outcome apply_draw(incarnation_id writer, const draw_operation& operation);
    operation_outcome apply_return(incarnation_id writer, const return_operation& operation);
    operation_outcome apply_settle(const charge& settled);
    operation_outcome apply_close(incarnation_id holder);
    operation_outcome apply_reclaim(const reclaim_operation& operation);
    operation_outcome apply_claim(incarnation_id writer, const claim_key_operation& operation);
    operation_outcome apply_hold_keys(incarnation_id writer);
    operation_outcome apply_release_keys(incarnation_id writer);
    void close_holder(incarnation_id holder);

    tokens take_from_grant(budget_state& budget, const charge& settled);
    void keep_running(budget_state& budget, const charge& listed);
    void release_holdings(incarnation_id holder);
    static void serve_waiting(budget_state& budget);

    std::unordered_map<budget_id, budget_state> budgets_;
    std::unordered_map<incarnation_id, ledger_writer> writers_;
    key_memory keys_;
    incarnation_id key_holder_{};
};

}  // namespace wrenswitch
