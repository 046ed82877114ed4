#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "wrenswitch/decision/ledger/budget_state.hpp"
#include "wrenswitch/decision/ledger/ledger_operation.hpp"
#include "wrenswitch/decision/ledger/request_history.hpp"

namespace wrenswitch {

/// The ledger's record of a writer.
struct ledger_writer {
    std::uint64_t last_sequence = 0;
    /// True after close or reclaim: the writer holds nothing and its draws are refused.
    bool closed = false;

    friend bool operator==(const ledger_writer&, const ledger_writer&) = default;
};

/// The replicated state of one ledger stream: a pure function of its records in offset order. Every
/// replica computes the same state, which alone decides whether an operation is accepted. A draw
/// never raises the sum of billed, burnt, held and running tokens above the limit of the budget.
///
/// spec/budget.pml models draw, settle and reclaim.
class ledger_state {
public:
    /// The capacity of one generation of the request history, in keys and tickets. At the design
    /// size a shard settles 21 requests per second, each of which adds a key and a ticket, so the
    /// two generations cover 16 to 32 minutes. Snapshots contain both generations.
    static constexpr std::size_t default_generation_size = 40'000;

    explicit ledger_state(std::size_t generation_size = default_generation_size)
        : history_(generation_size) {}

    friend bool operator==(const ledger_state&, const ledger_state&) = default;

    /// Applies one batch. Returns one outcome per operation, or none if the batch is a duplicate.
    std::vector<operation_outcome> apply(const ledger_batch& batch);

    /// Returns the budget with this identifier, or null.
    const budget_state* find(budget_id budget) const;

    /// All budgets, in unspecified order.
    const std::unordered_map<budget_id, budget_state>& budgets() const { return budgets_; }

    /// All writers, in unspecified order.
    const std::unordered_map<incarnation_id, ledger_writer>& writers() const { return writers_; }

    const request_history& history() const { return history_; }

    /// The holder of the key lock, or zero.
    incarnation_id key_holder() const { return key_holder_; }

    /// The sequence number of the last batch applied from this writer, or zero.
    std::uint64_t last_sequence_of(incarnation_id writer) const;

    /// True if the holder was closed or reclaimed.
    bool is_closed(incarnation_id holder) const;

    /// The budgets of which this holder holds tokens or has an unmet need.
    std::vector<budget_id> budgets_of(incarnation_id holder) const;

    /// Replaces the state with the contents of a snapshot.
    void restore(std::unordered_map<budget_id, budget_state> budgets,
                 std::unordered_map<incarnation_id, ledger_writer> writers, request_history history,
                 incarnation_id key_holder);

private:
    struct visitor;

    operation_outcome apply_set_budget(const set_budget_operation& operation);
    operation_outcome apply_draw(incarnation_id writer, const draw_operation& operation);
    operation_outcome apply_return(incarnation_id writer, const return_operation& operation);
    operation_outcome apply_settle(const charge& settled);
    operation_outcome apply_close(incarnation_id holder);
    operation_outcome apply_reclaim(const reclaim_operation& operation);
    operation_outcome apply_claim_key(incarnation_id writer, const claim_key_operation& operation);
    operation_outcome apply_lock_keys(incarnation_id writer);
    operation_outcome apply_unlock_keys(incarnation_id writer);
    void close_holder(incarnation_id holder);

    tokens consume_grant(budget_state& budget, const charge& settled);
    void track_running(budget_state& budget, const charge& listed);
    void release_holdings(incarnation_id holder);
    static void grant_waiting(budget_state& budget);

    std::unordered_map<budget_id, budget_state> budgets_;
    std::unordered_map<incarnation_id, ledger_writer> writers_;
    request_history history_;
    incarnation_id key_holder_{};
};

}  // namespace wrenswitch
