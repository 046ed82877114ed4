#include "wrenswitch/decision/ledger/ledger_state.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {
namespace {

/// The number of set_budget operations that a budget remembers to detect repeats.
constexpr std::size_t max_remembered_operations = 4;

holding& holding_of(budget_state& budget, incarnation_id holder) {
    for (holding& item : budget.holdings) {
        if (item.holder == holder) {
            return item;
        }
    }
    return budget.holdings.emplace_back(holding{holder, 0});
}

void erase_empty_holdings(budget_state& budget) {
    std::erase_if(budget.holdings, [](const holding& item) { return item.outstanding == 0; });
}

void set_waiting_need(budget_state& budget, incarnation_id holder, tokens need) {
    const auto found =
        std::find_if(budget.waiting.begin(), budget.waiting.end(),
                     [holder](const waiting_need& item) { return item.holder == holder; });
    if (need <= 0) {
        if (found != budget.waiting.end()) {
            budget.waiting.erase(found);
        }
        return;
    }
    if (found != budget.waiting.end()) {
        found->need = need;
        return;
    }
    budget.waiting.push_back({holder, need});
}

}  // namespace

struct ledger_state::visitor {
    ledger_state& state;
    incarnation_id writer;

    operation_outcome operator()(const set_budget_operation& operation) const {
        return state.apply_set_budget(operation);
    }
    operation_outcome operator()(const draw_operation& operation) const {
        return state.apply_draw(writer, operation);
    }
    operation_outcome operator()(const return_operation& operation) const {
        return state.apply_return(writer, operation);
    }
    operation_outcome operator()(const settle_operation& operation) const {
        return state.apply_settle(operation.settled);
    }
    operation_outcome operator()(const close_holder_operation&) const {
        return state.apply_close(writer);
    }
    operation_outcome operator()(const reclaim_operation& operation) const {
        return state.apply_reclaim(operation);
    }
    operation_outcome operator()(const claim_key_operation& operation) const {
        return state.apply_claim_key(writer, operation);
    }
    operation_outcome operator()(const lock_keys_operation&) const {
        return state.apply_lock_keys(writer);
    }
    operation_outcome operator()(const unlock_keys_operation&) const {
        return state.apply_unlock_keys(writer);
    }
};

std::vector<operation_outcome> ledger_state::apply(const ledger_batch& batch) {
    ledger_writer& writer = writers_[batch.writer];
    if (batch.sequence <= writer.last_sequence) {
        return {};
    }
    writer.last_sequence = batch.sequence;
    std::vector<operation_outcome> outcomes;
    outcomes.reserve(batch.operations.size());
    for (const ledger_operation& operation : batch.operations) {
        outcomes.push_back(std::visit(visitor{*this, batch.writer}, operation));
    }
    return outcomes;
}

const budget_state* ledger_state::find(budget_id budget) const {
    const auto found = budgets_.find(budget);
    return found == budgets_.end() ? nullptr : &found->second;
}

std::uint64_t ledger_state::last_sequence_of(incarnation_id writer) const {
    const auto found = writers_.find(writer);
    return found == writers_.end() ? 0 : found->second.last_sequence;
}

bool ledger_state::is_closed(incarnation_id holder) const {
    const auto found = writers_.find(holder);
    return found != writers_.end() && found->second.closed;
}

std::vector<budget_id> ledger_state::budgets_of(incarnation_id holder) const {
    std::vector<budget_id> held;
    for (const auto& [id, budget] : budgets_) {
        const bool has_need =
            std::any_of(budget.waiting.begin(), budget.waiting.end(),
                        [holder](const waiting_need& item) { return item.holder == holder; });
        if (has_need || budget.outstanding_of(holder) > 0) {
            held.push_back(id);
        }
    }
    return held;
}

void ledger_state::restore(std::unordered_map<budget_id, budget_state> budgets,
                           std::unordered_map<incarnation_id, ledger_writer> writers,
                           request_history history, incarnation_id key_holder) {
    budgets_ = std::move(budgets);
    writers_ = std::move(writers);
    history_ = std::move(history);
    key_holder_ = key_holder;
}

operation_outcome ledger_state::apply_set_budget(const set_budget_operation& operation) {
    if (operation.limit <= 0 || operation.limit > max_budget_limit || operation.name.empty()) {
        return operation_outcome::refused_bad_amount;
    }
    const budget_id id = budget_id_of(operation.name);
    const auto found = budgets_.find(id);
    if (found != budgets_.end()) {
        budget_state& budget = found->second;
        if (budget.name != operation.name) {
            return operation_outcome::refused_name_clash;
        }
        const auto& applied_operations = budget.operations;
        if (std::find(applied_operations.begin(), applied_operations.end(), operation.operation) !=
            applied_operations.end()) {
            return operation_outcome::accepted;
        }
        if (operation.limit < budget.committed()) {
            return operation_outcome::refused_below_commitments;
        }
    }
    budget_state& budget = budgets_[id];
    budget.name = operation.name;
    budget.limit = operation.limit;
    if (budget.operations.size() >= max_remembered_operations) {
        budget.operations.erase(budget.operations.begin());
    }
    budget.operations.push_back(operation.operation);
    grant_waiting(budget);
    return operation_outcome::accepted;
}

operation_outcome ledger_state::apply_draw(incarnation_id writer, const draw_operation& operation) {
    if (is_closed(writer)) {
        return operation_outcome::refused_closed_holder;
    }
    const bool amounts_valid = operation.amount >= 0 && operation.need >= 0 &&
                               operation.amount <= max_budget_limit &&
                               operation.need <= operation.amount;
    if (!amounts_valid) {
        return operation_outcome::refused_bad_amount;
    }
    const auto found = budgets_.find(operation.budget);
    if (found == budgets_.end()) {
        return operation_outcome::refused_unknown_budget;
    }
    budget_state& budget = found->second;
    const tokens granted = std::clamp<tokens>(budget.available(), 0, operation.amount);
    if (granted > 0) {
        holding_of(budget, writer).outstanding += granted;
    }
    set_waiting_need(budget, writer, operation.need - granted);
    return granted < operation.need ? operation_outcome::partly_granted
                                    : operation_outcome::accepted;
}

operation_outcome ledger_state::apply_return(incarnation_id writer,
                                             const return_operation& operation) {
    const auto found = budgets_.find(operation.budget);
    if (found == budgets_.end()) {
        return operation_outcome::refused_unknown_budget;
    }
    budget_state& budget = found->second;
    if (operation.amount <= 0) {
        return operation_outcome::refused_bad_amount;
    }
    if (budget.outstanding_of(writer) < operation.amount) {
        return operation_outcome::refused_exceeds_holding;
    }
    holding_of(budget, writer).outstanding -= operation.amount;
    erase_empty_holdings(budget);
    grant_waiting(budget);
    return operation_outcome::accepted;
}

operation_outcome ledger_state::apply_settle(const charge& settled) {
    const auto found = budgets_.find(settled.budget);
    if (found == budgets_.end()) {
        return operation_outcome::refused_unknown_budget;
    }
    if (settled.amount < 0 || settled.amount > max_budget_limit) {
        return operation_outcome::refused_bad_amount;
    }
    if (history_.has_ticket(settled.ticket)) {
        return operation_outcome::already_settled;
    }
    budget_state& budget = found->second;
    history_.add_ticket(settled.ticket);
    const tokens covered = consume_grant(budget, settled);
    budget.unbacked += settled.amount - covered;

    request_key_state state = history_.key_state(settled.key);
    const bool first_billing = !state.billed;
    if (first_billing) {
        state.billed = true;
        history_.set_key_state(settled.key, state);
        budget.billed += settled.amount;
    } else {
        budget.burnt += settled.amount;
    }
    grant_waiting(budget);
    if (covered < settled.amount) {
        return operation_outcome::unbacked;
    }
    return first_billing ? operation_outcome::accepted : operation_outcome::billed_once_already;
}

tokens ledger_state::consume_grant(budget_state& budget, const charge& settled) {
    const auto running =
        std::find_if(budget.running.begin(), budget.running.end(),
                     [&settled](const charge& item) { return item.ticket == settled.ticket; });
    if (running != budget.running.end()) {
        const tokens covered = std::min(settled.amount, running->amount);
        budget.running.erase(running);
        return covered;
    }
    const tokens covered = std::min(settled.amount, budget.outstanding_of(settled.holder));
    if (covered > 0) {
        holding_of(budget, settled.holder).outstanding -= covered;
        erase_empty_holdings(budget);
    }
    return covered;
}

operation_outcome ledger_state::apply_close(incarnation_id holder) {
    if (is_closed(holder)) {
        return operation_outcome::refused_closed_holder;
    }
    close_holder(holder);
    return operation_outcome::accepted;
}

void ledger_state::close_holder(incarnation_id holder) {
    release_holdings(holder);
    writers_[holder].closed = true;
    if (key_holder_ == holder) {
        key_holder_ = incarnation_id{};
    }
}

operation_outcome ledger_state::apply_reclaim(const reclaim_operation& operation) {
    if (is_closed(operation.holder)) {
        return operation_outcome::refused_closed_holder;
    }
    for (const charge& listed : operation.charges) {
        const auto found = budgets_.find(listed.budget);
        if (found == budgets_.end()) {
            continue;
        }
        if (listed.running) {
            track_running(found->second, listed);
        } else {
            apply_settle(listed);
        }
    }
    close_holder(operation.holder);
    return operation_outcome::accepted;
}

void ledger_state::track_running(budget_state& budget, const charge& listed) {
    if (history_.has_ticket(listed.ticket) || listed.amount < 0) {
        return;
    }
    // Moves the bound from the holder's grant to the charge, so that it stays committed.
    const tokens covered = std::min(listed.amount, budget.outstanding_of(listed.holder));
    if (covered > 0) {
        holding_of(budget, listed.holder).outstanding -= covered;
        erase_empty_holdings(budget);
    }
    budget.running.push_back(listed);
    budget.running.back().amount = covered;
    // The next holder of the key lock must know that a request with this key was started.
    request_key_state state = history_.key_state(listed.key);
    if (state.claimed_by == ticket_id{}) {
        state.claimed_by = listed.ticket;
        history_.set_key_state(listed.key, state);
    }
}

void ledger_state::release_holdings(incarnation_id holder) {
    for (auto& [id, budget] : budgets_) {
        const auto erased = std::erase_if(
            budget.holdings, [holder](const holding& item) { return item.holder == holder; });
        set_waiting_need(budget, holder, 0);
        if (erased > 0) {
            grant_waiting(budget);
        }
    }
}

operation_outcome ledger_state::apply_lock_keys(incarnation_id writer) {
    if (is_closed(writer)) {
        return operation_outcome::refused_closed_holder;
    }
    if (key_holder_ != incarnation_id{} && key_holder_ != writer) {
        return operation_outcome::refused_keys_held;
    }
    key_holder_ = writer;
    return operation_outcome::accepted;
}

operation_outcome ledger_state::apply_unlock_keys(incarnation_id writer) {
    if (key_holder_ != writer) {
        return operation_outcome::refused_keys_held;
    }
    key_holder_ = incarnation_id{};
    return operation_outcome::accepted;
}

operation_outcome ledger_state::apply_claim_key(incarnation_id writer,
                                                const claim_key_operation& operation) {
    if (key_holder_ != writer) {
        return operation_outcome::refused_keys_held;
    }
    request_key_state state = history_.key_state(operation.key);
    if (state.claimed_by == operation.ticket) {
        return operation_outcome::accepted;
    }
    if (state.claimed_by != ticket_id{} || state.billed) {
        return operation_outcome::refused_key_claimed;
    }
    state.claimed_by = operation.ticket;
    history_.set_key_state(operation.key, state);
    return operation_outcome::accepted;
}

void ledger_state::grant_waiting(budget_state& budget) {
    while (!budget.waiting.empty()) {
        const tokens free = budget.available();
        if (free <= 0) {
            return;
        }
        waiting_need& first = budget.waiting.front();
        const tokens granted = std::min(free, first.need);
        holding_of(budget, first.holder).outstanding += granted;
        first.need -= granted;
        if (first.need > 0) {
            return;
        }
        budget.waiting.erase(budget.waiting.begin());
    }
}

}  // namespace wrenswitch
