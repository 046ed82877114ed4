#include "wrenswitch/decision/home/budget_allocator.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// Retry interval while the first request with the same key is in progress.
constexpr microseconds in_progress_retry = milliseconds(50);

/// Retry interval while other allocators may still return tokens.
constexpr microseconds exhausted_retry = seconds(2);

/// Retry interval while the log cannot be reached.
constexpr microseconds unreachable_retry = seconds(10);

/// Retry interval while this allocator does not hold the key lock.
constexpr microseconds key_lock_retry = seconds(2);

/// The maximum number of operations in one ledger record.
constexpr std::size_t max_batch_operations = 2000;

/// The weight of the latest request in the moving average of cost divided by bound.
constexpr double cost_share_weight = 0.05;

reservation_reply refusal(reservation_outcome outcome, microseconds retry_after) {
    reservation_reply reply;
    reply.outcome = outcome;
    reply.retry_after = retry_after;
    return reply;
}

}  // namespace

budget_allocator::budget_allocator(allocator_settings settings, const ledger_state& ledger,
                                   random_source& random, reply_hook on_reply)
    : settings_(std::move(settings)),
      ledger_(ledger),
      random_(random),
      on_reply_(std::move(on_reply)),
      keys_(settings_.max_request_keys) {}

std::optional<reservation_reply> budget_allocator::reserve(instant now,
                                                           const reservation_request& request) {
    const budget_id budget = budget_id_of(request.budget);
    const budget_state* state = ledger_.find(budget);
    if (state == nullptr) {
        return refusal(reservation_outcome::no_budget, microseconds(0));
    }
    const bool replaces = request.replaces != ticket_id{} && request.repeatable;
    if (!replaces) {
        if (auto known = reply_for_known_key(request)) {
            return known;
        }
    }
    account& local = account_of(budget);
    local.largest_bound = std::max(local.largest_bound, request.bound);
    if (!request.repeatable) {
        if (!holds_key_lock()) {
            return reply_without_key_lock(now, request, budget);
        }
        if (may_have_run(request.key)) {
            return refusal(reservation_outcome::unknown_outcome, microseconds(0));
        }
    }
    if (free_tokens(budget) >= request.bound) {
        return issue_ticket(now, request, budget);
    }
    if (exceeds_budget(request, *state) || request.max_wait <= microseconds(0)) {
        record_refused_demand(now, request, budget);
        return make_refusal(request, budget);
    }
    add_waiting_request(now, request, budget, false);
    apply_policy(now, budget);
    return std::nullopt;
}

std::optional<reservation_reply> budget_allocator::reply_for_known_key(
    const reservation_request& request) const {
    const request_key_entry* known = keys_.find(request.key);
    if (known == nullptr) {
        const bool is_waiting = std::any_of(
            waiting_requests_.begin(), waiting_requests_.end(),
            [&request](const waiting_request& item) { return item.request.key == request.key; });
        if (is_waiting) {
            return refusal(reservation_outcome::in_progress, in_progress_retry);
        }
        return std::nullopt;
    }
    if (known->body != request.body) {
        return refusal(reservation_outcome::key_reused, microseconds(0));
    }
    switch (known->phase) {
        case request_phase::reserved:
            return refusal(reservation_outcome::in_progress, in_progress_retry);
        case request_phase::started:
        case request_phase::ended: {
            if (known->guard_endpoint.empty()) {
                break;
            }
            reservation_reply reply;
            reply.outcome = reservation_outcome::join;
            reply.guard_endpoint = known->guard_endpoint;
            reply.guard = known->guard;
            return reply;
        }
        case request_phase::lost:
            break;
    }
    if (!request.repeatable) {
        return refusal(reservation_outcome::unknown_outcome, microseconds(0));
    }
    return std::nullopt;
}

reservation_reply budget_allocator::issue_ticket(instant now, const reservation_request& request,
                                                 budget_id budget) {
    reservation_reply reply;
    reply.outcome = reservation_outcome::granted;
    reply.granted = ticket{random_.next_id<ticket_id>(),
                           settings_.incarnation,
                           settings_.endpoint,
                           budget,
                           request.key,
                           request.bound,
                           least_control_offset_,
                           control_offset_};
    account_of(budget).reserved += request.bound;
    issued_ticket issued;
    issued.value = reply.granted;
    issued.issued_at = now;
    issued.repeatable = request.repeatable;
    tickets_.add(std::move(issued));
    if (!request.repeatable) {
        // The claim is appended after the ticket is issued; until then only this allocator and the
        // guard know of it.
        unused_claims_.erase(request.key);
        unwritten_claims_.insert(request.key);
        pending_.emplace_back(claim_key_operation{request.key, reply.granted.id});
    }
    if (request.keyed || !request.repeatable) {
        // Neither call can fail: reserve() checked the key just before, or the sender replaces its
        // own ticket.
        const bool replaced =
            request.replaces != ticket_id{} &&
            keys_.replace(request.key, request.replaces, reply.granted.id).has_value();
        if (!replaced) {
            (void)keys_.reserve(request.key, request.body, reply.granted.id);
        }
    }
    return reply;
}

bool budget_allocator::exceeds_budget(const reservation_request& request,
                                      const budget_state& budget) const {
    return budget.limit - budget.billed - budget.burnt < request.bound;
}

reservation_reply budget_allocator::make_refusal(const reservation_request& request,
                                                 budget_id budget) const {
    const budget_state* state = ledger_.find(budget);
    if (state == nullptr) {
        return refusal(reservation_outcome::no_budget, microseconds(0));
    }
    if (exceeds_budget(request, *state)) {
        return refusal(reservation_outcome::budget_exhausted, microseconds(0));
    }
    if (!log_reachable_) {
        return refusal(reservation_outcome::budget_unreachable, unreachable_retry);
    }
    return refusal(reservation_outcome::budget_exhausted, exhausted_retry);
}

void budget_allocator::add_waiting_request(instant now, const reservation_request& request,
                                           budget_id budget, bool needs_key_lock) {
    waiting_requests_.push_back({request, budget, now + request.max_wait, needs_key_lock});
    if (!needs_key_lock) {
        account_of(budget).need += request.bound;
    }
}

/// Handles a non-repeatable request without the key lock: waits for the lock if nobody holds it,
/// otherwise refers the sender to its holder.
std::optional<reservation_reply> budget_allocator::reply_without_key_lock(
    instant now, const reservation_request& request, budget_id budget) {
    const bool key_lock_free = ledger_.key_holder() == incarnation_id{};
    if (key_lock_free && log_reachable_ && !draining_ && request.max_wait > microseconds(0)) {
        update_key_lock();
        add_waiting_request(now, request, budget, true);
        return std::nullopt;
    }
    reservation_reply reply = refusal(reservation_outcome::keys_elsewhere, key_lock_retry);
    reply.key_holder = ledger_.key_holder();
    return reply;
}

/// True if the ledger or this allocator knows of a request with this key that may have run. The
/// keys of a failed holder are in the ledger: its key lock passed on only after every guard had
/// listed the charges that it had started.
bool budget_allocator::may_have_run(const digest& key) const {
    if (unused_claims_.count(key) > 0) {
        return false;
    }
    const request_key_state state = ledger_.history().key_state(key);
    return state.billed || state.claimed_by != ticket_id{} || unwritten_claims_.count(key) > 0;
}

/// Acquires the key lock if nobody holds it, or releases it when draining.
void budget_allocator::update_key_lock() {
    if (key_lock_pending_) {
        return;
    }
    const bool key_lock_free = ledger_.key_holder() == incarnation_id{};
    if (!draining_ && key_lock_free && !ledger_.budgets().empty()) {
        key_lock_pending_ = true;
        urgent_ = true;
        pending_.emplace_back(lock_keys_operation{});
        return;
    }
    const bool all_written =
        tickets_.size() == 0 && waiting_requests_.empty() && unwritten_claims_.empty();
    if (draining_ && holds_key_lock() && all_written) {
        key_lock_pending_ = true;
        urgent_ = true;
        pending_.emplace_back(unlock_keys_operation{});
    }
}

/// Retries the requests that waited for the key lock, after an operation on it was applied.
void budget_allocator::on_key_lock_changed(instant now) {
    key_lock_pending_ = false;
    std::vector<waiting_request> waiting;
    for (const waiting_request& item : waiting_requests_) {
        if (item.needs_key_lock) {
            waiting.push_back(item);
        }
    }
    std::erase_if(waiting_requests_,
                  [](const waiting_request& item) { return item.needs_key_lock; });
    for (const waiting_request& item : waiting) {
        if (const auto reply = reserve(now, item.request)) {
            on_reply_(item.request.request_id, *reply);
        }
    }
}

void budget_allocator::record_refused_demand(instant now, const reservation_request& request,
                                             budget_id budget) {
    account& local = account_of(budget);
    const double expected = local.cost_share * static_cast<double>(request.bound);
    record_demand(now, local, static_cast<tokens>(expected));
}

void budget_allocator::record_demand(instant now, account& local, tokens amount) {
    local.recent_demand.add(now, amount);
    local.demand.add(now, amount);
}

void budget_allocator::answer_waiting_request(std::size_t index, const reservation_reply& reply) {
    const waiting_request done = waiting_requests_[index];
    waiting_requests_.erase(waiting_requests_.begin() + static_cast<std::ptrdiff_t>(index));
    if (!done.needs_key_lock) {
        account_of(done.budget).need -= done.request.bound;
    }
    on_reply_(done.request.request_id, reply);
}

void budget_allocator::grant_waiting_requests(instant now, budget_id budget) {
    std::size_t index = 0;
    while (index < waiting_requests_.size()) {
        const waiting_request& item = waiting_requests_[index];
        const bool can_grant = item.budget == budget && !item.needs_key_lock &&
                               free_tokens(budget) >= item.request.bound;
        if (!can_grant) {
            ++index;
            continue;
        }
        const reservation_reply reply = issue_ticket(now, item.request, budget);
        answer_waiting_request(index, reply);
    }
}

result<void> budget_allocator::ticket_started(ticket_id id, incarnation_id guard,
                                              std::string guard_endpoint) {
    issued_ticket* issued = tickets_.find(id);
    if (issued == nullptr) {
        return failed(error_code::not_found, "The ticket is not outstanding.");
    }
    if (issued->started() && issued->guard != guard) {
        return failed(error_code::conflict, "Another guard started this ticket.");
    }
    if (issued->started()) {
        return outcome::success();
    }
    issued->guard = guard;
    if (keys_.find(issued->value.key) == nullptr) {
        return outcome::success();
    }
    return keys_.mark_started(issued->value.key, id, guard, std::move(guard_endpoint));
}

result<void> budget_allocator::release_ticket(ticket_id id) {
    const issued_ticket* known = tickets_.find(id);
    if (known == nullptr) {
        return failed(error_code::not_found, "The ticket is not outstanding.");
    }
    if (known->started()) {
        return failed(error_code::conflict, "The ticket was started by a guard.");
    }
    const issued_ticket issued = *tickets_.take(id);
    account_of(issued.value.budget).reserved -= issued.value.bound;
    if (keys_.find(issued.value.key) != nullptr) {
        (void)keys_.release(issued.value.key, id);
    }
    if (!issued.repeatable) {
        unused_claims_.insert(issued.value.key);
    }
    remove_exposure(id);
    return outcome::success();
}

void budget_allocator::charge_reported(instant now, const charge& ended) {
    if (unsettled_.count(ended.ticket) > 0) {
        return;
    }
    const std::optional<issued_ticket> issued = tickets_.take(ended.ticket);
    if (!issued) {
        // The ticket was settled before, or its holder was reclaimed. The ledger distinguishes the
        // two.
        enqueue_settlement(ended);
        return;
    }
    account& local = account_of(ended.budget);
    local.reserved -= issued->value.bound;
    local.unsettled += ended.amount;
    unsettled_[ended.ticket] = ended.amount;
    record_demand(now, local, ended.amount);
    const double share = static_cast<double>(ended.amount) /
                         static_cast<double>(std::max<tokens>(issued->value.bound, 1));
    local.cost_share += cost_share_weight * (share - local.cost_share);
    if (keys_.find(issued->value.key) != nullptr) {
        (void)keys_.mark_ended(issued->value.key, ended.ticket);
    }
    enqueue_settlement(ended);
    remove_exposure(ended.ticket);
}

void budget_allocator::enqueue_settlement(const charge& settled) {
    pending_.emplace_back(settle_operation{settled});
    ++settlements_queued_;
}

void budget_allocator::guard_fenced(incarnation_id guard) {
    exposure exposed;
    for (const ticket_id id : tickets_.possibly_started_by(guard)) {
        issued_ticket& issued = *tickets_.find(id);
        if (!issued.started()) {
            issued.possibly_started = true;
            exposed.tickets.insert(id);
            ticket_voided(id, guard);
            continue;
        }
        settle_at_bound(issued);
        if (keys_.find(issued.value.key) != nullptr) {
            (void)keys_.mark_lost(issued.value.key, id);
        }
        tickets_.take(id);
    }
    exposed.required_settlements = settlements_queued_;
    exposures_[guard] = std::move(exposed);
}

void budget_allocator::settle_at_bound(const issued_ticket& issued) {
    account& local = account_of(issued.value.budget);
    local.reserved -= issued.value.bound;
    local.unsettled += issued.value.bound;
    unsettled_[issued.value.id] = issued.value.bound;
    charge bound_charge;
    bound_charge.budget = issued.value.budget;
    bound_charge.holder = settings_.incarnation;
    bound_charge.key = issued.value.key;
    bound_charge.ticket = issued.value.id;
    bound_charge.amount = issued.value.bound;
    enqueue_settlement(bound_charge);
}

void budget_allocator::remove_exposure(ticket_id id) {
    for (auto& [guard, exposed] : exposures_) {
        if (exposed.tickets.erase(id) > 0) {
            exposed.required_settlements = settlements_queued_;
        }
    }
}

std::vector<ticket_id> budget_allocator::take_unconfirmed(instant now,
                                                          std::span<const incarnation_id> guards) {
    std::vector<ticket_id> unconfirmed =
        tickets_.unconfirmed_before(now - settings_.confirmation_timeout);
    for (const ticket_id id : unconfirmed) {
        issued_ticket& issued = *tickets_.find(id);
        issued.void_requested = true;
        issued.pending_voids.insert(guards.begin(), guards.end());
    }
    return unconfirmed;
}

void budget_allocator::ticket_voided(ticket_id id, incarnation_id guard) {
    issued_ticket* issued = tickets_.find(id);
    if (issued == nullptr || issued->started() || !issued->void_requested) {
        return;
    }
    issued->pending_voids.erase(guard);
    if (!issued->pending_voids.empty()) {
        return;
    }
    if (!issued->possibly_started) {
        (void)release_ticket(id);
        return;
    }
    settle_at_bound(*issued);
    if (keys_.find(issued->value.key) != nullptr) {
        (void)keys_.mark_lost(issued->value.key, id);
    }
    tickets_.take(id);
    remove_exposure(id);
}

void budget_allocator::observe_settlement(instant now, budget_id budget, tokens amount) {
    account_of(budget).total_demand.add(now, amount);
}

void budget_allocator::ledger_changed(instant now) {
    if (waiting_requests_.empty()) {
        return;
    }
    std::set<budget_id> waiting_budgets;
    for (const waiting_request& item : waiting_requests_) {
        waiting_budgets.insert(item.budget);
    }
    for (const budget_id budget : waiting_budgets) {
        grant_waiting_requests(now, budget);
    }
}

void budget_allocator::tick(instant now) {
    std::size_t index = 0;
    while (index < waiting_requests_.size()) {
        if (waiting_requests_[index].deadline > now) {
            ++index;
            continue;
        }
        const waiting_request expired = waiting_requests_[index];
        record_refused_demand(now, expired.request, expired.budget);
        answer_waiting_request(index, make_refusal(expired.request, expired.budget));
    }
    for (const auto& [budget, state] : ledger_.budgets()) {
        apply_policy(now, budget);
    }
    update_key_lock();
}

void budget_allocator::apply_policy(instant now, budget_id budget) {
    const budget_state* state = ledger_.find(budget);
    if (state == nullptr) {
        return;
    }
    account& local = account_of(budget);
    if (local.drawing || local.returning > 0) {
        return;
    }
    const grant_policy_input input = policy_input(now, *state, local);
    if (draining_) {
        if (input.free > 0) {
            local.returning = input.free;
            pending_.emplace_back(return_operation{budget, input.free});
            urgent_ = true;
        }
        return;
    }
    const grant_decision decision = settings_.policy(input);
    const auto waiting = std::find_if(
        state->waiting.begin(), state->waiting.end(),
        [this](const waiting_need& item) { return item.holder == settings_.incarnation; });
    const tokens need_in_ledger = waiting == state->waiting.end() ? 0 : waiting->need;
    const tokens need = std::max<tokens>(input.need - std::max<tokens>(input.free, 0), 0);
    // A draw that cannot be granted is appended only to publish a changed need.
    const tokens grantable = std::min(std::max<tokens>(input.available, 0), decision.draw);
    const bool draw_is_useful = grantable >= input.largest_bound || (grantable > 0 && need > 0);
    const bool need_changed = need != need_in_ledger;
    if (draw_is_useful || need_changed) {
        const tokens amount = std::max(decision.draw, need);
        local.drawing = true;
        pending_.emplace_back(draw_operation{budget, amount, need});
        urgent_ = urgent_ || need > 0;
        return;
    }
    if (decision.return_amount > 0 && input.free >= decision.return_amount) {
        local.returning = decision.return_amount;
        pending_.emplace_back(return_operation{budget, decision.return_amount});
        urgent_ = urgent_ || input.first_remote_need > 0;
    }
}

grant_policy_input budget_allocator::policy_input(instant now, const budget_state& state,
                                                  const account& local) const {
    grant_policy_input input;
    input.limit = state.limit;
    input.available = state.available();
    input.held = state.outstanding_of(settings_.incarnation);
    input.free = input.held - local.reserved - local.unsettled - local.returning;
    for (const holding& item : state.holdings) {
        input.total_held += item.outstanding;
    }
    input.need = local.need;
    const bool is_remote_first =
        !state.waiting.empty() && state.waiting.front().holder != settings_.incarnation;
    if (is_remote_first) {
        input.first_remote_need = state.waiting.front().need;
    }
    input.recent_demand = local.recent_demand.rate(now);
    input.demand = local.demand.rate(now);
    input.demand_time_constant = settings_.demand_time_constant;
    input.total_demand = local.total_demand.rate(now);
    input.largest_bound = std::max(local.largest_bound, settings_.default_bound);
    input.allocator_count = settings_.allocator_count;
    input.total_drawn = input.held + local.spent;
    return input;
}

std::vector<ledger_operation> budget_allocator::take_batch() {
    if (batch_pending_ || pending_.empty()) {
        return {};
    }
    batch_pending_ = true;
    const std::size_t count = std::min(pending_.size(), max_batch_operations);
    const auto end = pending_.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<ledger_operation> batch(std::make_move_iterator(pending_.begin()),
                                        std::make_move_iterator(end));
    pending_.erase(pending_.begin(), end);
    urgent_ = urgent_ && !pending_.empty();
    return batch;
}

std::vector<ticket_id> budget_allocator::batch_applied(instant now,
                                                       std::span<const ledger_operation> batch) {
    batch_pending_ = false;
    std::vector<ticket_id> settled;
    for (std::size_t index = 0; index < batch.size(); ++index) {
        if (const auto* settle = std::get_if<settle_operation>(&batch[index])) {
            ++settlements_applied_;
            settled.push_back(settle->settled.ticket);
            settlement_applied(settle->settled);
        } else if (const auto* draw = std::get_if<draw_operation>(&batch[index])) {
            account& local = account_of(draw->budget);
            local.drawing = false;
            grant_waiting_requests(now, draw->budget);
        } else if (const auto* returned = std::get_if<return_operation>(&batch[index])) {
            account& local = account_of(returned->budget);
            local.returning = 0;
        } else if (const auto* claim = std::get_if<claim_key_operation>(&batch[index])) {
            unwritten_claims_.erase(claim->key);
        } else if (std::holds_alternative<lock_keys_operation>(batch[index]) ||
                   std::holds_alternative<unlock_keys_operation>(batch[index])) {
            on_key_lock_changed(now);
        }
    }
    return settled;
}

void budget_allocator::settlement_applied(const charge& settled) {
    const auto unsettled = unsettled_.find(settled.ticket);
    if (unsettled == unsettled_.end()) {
        return;
    }
    account& local = account_of(settled.budget);
    local.unsettled -= unsettled->second;
    local.spent += unsettled->second;
    unsettled_.erase(unsettled);
}

void budget_allocator::enqueue(ledger_operation operation) {
    if (std::holds_alternative<settle_operation>(operation)) {
        ++settlements_queued_;
    } else {
        urgent_ = true;
    }
    pending_.push_back(std::move(operation));
}

bool budget_allocator::idle() const {
    return tickets_.size() == 0 && waiting_requests_.empty() && pending_.empty() && !batch_pending_;
}

bool budget_allocator::is_guard_settled(incarnation_id guard) const {
    const auto found = exposures_.find(guard);
    if (found == exposures_.end()) {
        return true;
    }
    return found->second.tickets.empty() &&
           settlements_applied_ >= found->second.required_settlements;
}

tokens budget_allocator::free_tokens(budget_id budget) const {
    const budget_state* state = ledger_.find(budget);
    if (state == nullptr) {
        return 0;
    }
    const tokens held = state->outstanding_of(settings_.incarnation);
    const auto local = accounts_.find(budget);
    if (local == accounts_.end()) {
        return held;
    }
    return held - local->second.reserved - local->second.unsettled - local->second.returning;
}

budget_allocator::account& budget_allocator::account_of(budget_id budget) {
    const auto found = accounts_.find(budget);
    if (found != accounts_.end()) {
        return found->second;
    }
    const demand_estimator recent(settings_.burst_time_constant);
    const demand_estimator fresh(settings_.demand_time_constant);
    account local{0, 0, 0, 0, 0, 0, false, 1.0, recent, fresh, fresh};
    return accounts_.emplace(budget, local).first->second;
}

}  // namespace wrenswitch
