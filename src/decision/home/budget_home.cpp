#include "wrenswitch/decision/home/budget_home.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// How soon a caller may ask again when the key's first request is still on its way.
constexpr microseconds in_progress_retry = milliseconds(50);

/// How soon a caller may ask again when tokens may come back from other homes.
constexpr microseconds exhausted_retry = seconds(2);

/// How soon a caller may ask again when the log is out.
constexpr microseconds unreachable_retry = seconds(10);

/// How soon a caller may ask again when nobody decides about keys now.
constexpr microseconds keys_retry = seconds(2);

/// At most this many operations go into one record.
constexpr std::size_t most_operations_a_batch = 2000;

/// How much the latest request counts in the average of what requests cost of their bounds.
constexpr double cost_share_weight = 0.05;

reservation_answer refused(reservation_outcome outcome, microseconds retry_after) {
    reservation_answer answer;
    answer.outcome = outcome;
    answer.retry_after = retry_after;
    return answer;
}

}  // namespace

budget_home::budget_home(home_settings settings, const ledger_state& ledger, random_source& random,
                         answer_hook on_answer)
    : settings_(std::move(settings)),
      ledger_(ledger),
      random_(random),
      on_answer_(std::move(on_answer)),
      keys_(settings_.remembered_keys) {}

std::optional<reservation_answer> budget_home::reserve(instant now, const reservation_ask& ask) {
    const budget_id budget = budget_id_of(ask.budget);
    const budget_state* state = ledger_.find(budget);
    if (state == nullptr) {
        return refused(reservation_outcome::no_budget, microseconds(0));
    }
    const bool replaces = ask.replaces != ticket_id{} && ask.repeatable;
    if (!replaces) {
        if (auto known = answer_from_key(ask)) {
            return known;
        }
    }
    account& local = account_of(budget);
    local.largest_bound = std::max(local.largest_bound, ask.bound);
    if (!ask.repeatable) {
        if (!holds_keys()) {
            return answer_without_keys(now, ask, budget);
        }
        if (may_have_run(ask.key)) {
            return refused(reservation_outcome::unknown_outcome, microseconds(0));
        }
    }
    if (free_of(budget) >= ask.bound) {
        return grant(now, ask, budget);
    }
    if (can_never_pay(ask, *state) || ask.wait <= microseconds(0)) {
        note_refused_demand(now, ask, budget);
        return refusal_of(ask, budget);
    }
    park(now, ask, budget, false);
    consult_policy(now, budget);
    return std::nullopt;
}

std::optional<reservation_answer> budget_home::answer_from_key(const reservation_ask& ask) const {
    const request_entry* known = keys_.find(ask.key);
    if (known == nullptr) {
        const bool waits =
            std::any_of(parked_.begin(), parked_.end(),
                        [&ask](const parked_ask& item) { return item.ask.key == ask.key; });
        if (waits) {
            return refused(reservation_outcome::in_progress, in_progress_retry);
        }
        return std::nullopt;
    }
    if (known->body != ask.body) {
        return refused(reservation_outcome::key_reused, microseconds(0));
    }
    switch (known->phase) {
        case request_phase::reserved:
            return refused(reservation_outcome::in_progress, in_progress_retry);
        case request_phase::started:
        case request_phase::ended: {
            if (known->guard_endpoint.empty()) {
                break;
            }
            reservation_answer answer;
            answer.outcome = reservation_outcome::join;
            answer.guard_endpoint = known->guard_endpoint;
            answer.guard = known->guard;
            return answer;
        }
        case request_phase::lost:
            break;
    }
    if (!ask.repeatable) {
        return refused(reservation_outcome::unknown_outcome, microseconds(0));
    }
    return std::nullopt;
}

reservation_answer budget_home::grant(instant now, const reservation_ask& ask, budget_id budget) {
    reservation_answer answer;
    answer.outcome = reservation_outcome::granted;
    answer.granted = ticket{random_.next_id<ticket_id>(),
                            settings_.incarnation,
                            settings_.endpoint,
                            budget,
                            ask.key,
                            ask.bound,
                            least_control_offset_,
                            control_offset_};
    account_of(budget).reserved += ask.bound;
    issued_ticket issued;
    issued.value = answer.granted;
    issued.issued_at = now;
    issued.repeatable = ask.repeatable;
    tickets_.add(std::move(issued));
    if (!ask.repeatable) {
        // Written behind: until then this home and the guard are the witnesses.
        unused_claims_.erase(ask.key);
        unwritten_claims_.insert(ask.key);
        pending_.emplace_back(claim_key_operation{ask.key, answer.granted.id});
    }
    if (ask.keyed || !ask.repeatable) {
        // Neither can fail: answer_from_key was asked just before, or the asker replaces its own.
        const bool replaced = ask.replaces != ticket_id{} &&
                              keys_.replace(ask.key, ask.replaces, answer.granted.id).has_value();
        if (!replaced) {
            (void)keys_.reserve(ask.key, ask.body, answer.granted.id);
        }
    }
    return answer;
}

bool budget_home::can_never_pay(const reservation_ask& ask, const budget_state& budget) const {
    return budget.limit - budget.billed - budget.burnt < ask.bound;
}

reservation_answer budget_home::refusal_of(const reservation_ask& ask, budget_id budget) const {
    const budget_state* state = ledger_.find(budget);
    if (state == nullptr) {
        return refused(reservation_outcome::no_budget, microseconds(0));
    }
    if (can_never_pay(ask, *state)) {
        return refused(reservation_outcome::budget_exhausted, microseconds(0));
    }
    if (!log_reachable_) {
        return refused(reservation_outcome::budget_unreachable, unreachable_retry);
    }
    return refused(reservation_outcome::budget_exhausted, exhausted_retry);
}

void budget_home::park(instant now, const reservation_ask& ask, budget_id budget, bool for_keys) {
    parked_.push_back({ask, budget, now + ask.wait, for_keys});
    if (!for_keys) {
        account_of(budget).need += ask.bound;
    }
}

/// Only the holder of the key grant decides about requests that may not be repeated.
std::optional<reservation_answer> budget_home::answer_without_keys(instant now,
                                                                   const reservation_ask& ask,
                                                                   budget_id budget) {
    const bool nobody = ledger_.key_holder() == incarnation_id{};
    if (nobody && log_reachable_ && !draining_ && ask.wait > microseconds(0)) {
        consult_keys();
        park(now, ask, budget, true);
        return std::nullopt;
    }
    reservation_answer answer = refused(reservation_outcome::keys_elsewhere, keys_retry);
    answer.key_holder = ledger_.key_holder();
    return answer;
}

/// What the ledger and this home know of a key. A dead holder's keys are in the ledger: its grant
/// went on only after every guard had listed what it had started.
bool budget_home::may_have_run(const digest& key) const {
    if (unused_claims_.count(key) > 0) {
        return false;
    }
    const key_facts facts = ledger_.keys().facts_of(key);
    return facts.billed || facts.claimed_by != ticket_id{} || unwritten_claims_.count(key) > 0;
}

/// Asks for the key grant if nobody has it, or gives it back when draining.
void budget_home::consult_keys() {
    if (keys_under_way_) {
        return;
    }
    const bool nobody = ledger_.key_holder() == incarnation_id{};
    if (!draining_ && nobody && !ledger_.budgets().empty()) {
        keys_under_way_ = true;
        urgent_ = true;
        pending_.emplace_back(hold_keys_operation{});
        return;
    }
    const bool all_written = tickets_.size() == 0 && parked_.empty() && unwritten_claims_.empty();
    if (draining_ && holds_keys() && all_written) {
        keys_under_way_ = true;
        urgent_ = true;
        pending_.emplace_back(release_keys_operation{});
    }
}

/// Somebody has the key grant now, mostly this home.
void budget_home::keys_answered(instant now) {
    keys_under_way_ = false;
    std::vector<parked_ask> waiting;
    for (const parked_ask& item : parked_) {
        if (item.for_keys) {
            waiting.push_back(item);
        }
    }
    std::erase_if(parked_, [](const parked_ask& item) { return item.for_keys; });
    for (const parked_ask& item : waiting) {
        if (const auto answer = reserve(now, item.ask)) {
            on_answer_(item.ask.request, *answer);
        }
    }
}

void budget_home::note_refused_demand(instant now, const reservation_ask& ask, budget_id budget) {
    account& local = account_of(budget);
    const double expected = local.cost_share * static_cast<double>(ask.bound);
    note_demand(now, local, static_cast<tokens>(expected));
}

void budget_home::note_demand(instant now, account& local, tokens amount) {
    local.recent_demand.add(now, amount);
    local.demand.add(now, amount);
}

void budget_home::answer_parked(std::size_t index, const reservation_answer& answer) {
    const parked_ask done = parked_[index];
    parked_.erase(parked_.begin() + static_cast<std::ptrdiff_t>(index));
    if (!done.for_keys) {
        account_of(done.budget).need -= done.ask.bound;
    }
    on_answer_(done.ask.request, answer);
}

void budget_home::serve_parked(instant now, budget_id budget) {
    std::size_t index = 0;
    while (index < parked_.size()) {
        const parked_ask& item = parked_[index];
        const bool payable =
            item.budget == budget && !item.for_keys && free_of(budget) >= item.ask.bound;
        if (!payable) {
            ++index;
            continue;
        }
        const reservation_answer answer = grant(now, item.ask, budget);
        answer_parked(index, answer);
    }
}

result<void> budget_home::started(ticket_id id, incarnation_id guard, std::string guard_endpoint) {
    issued_ticket* issued = tickets_.find(id);
    if (issued == nullptr) {
        return failed(error_code::not_found, "The ticket is not out.");
    }
    if (issued->started() && issued->guard != guard) {
        return failed(error_code::conflict, "Another guard took this ticket.");
    }
    if (issued->started()) {
        return outcome::success();
    }
    issued->guard = guard;
    if (keys_.find(issued->value.key) == nullptr) {
        return outcome::success();
    }
    return keys_.start(issued->value.key, id, guard, std::move(guard_endpoint));
}

result<void> budget_home::release(ticket_id id) {
    const issued_ticket* known = tickets_.find(id);
    if (known == nullptr) {
        return failed(error_code::not_found, "The ticket is not out.");
    }
    if (known->started()) {
        return failed(error_code::conflict, "The ticket was used.");
    }
    const issued_ticket issued = *tickets_.take(id);
    account_of(issued.value.budget).reserved -= issued.value.bound;
    if (keys_.find(issued.value.key) != nullptr) {
        (void)keys_.release(issued.value.key, id);
    }
    if (!issued.repeatable) {
        unused_claims_.insert(issued.value.key);
    }
    resolve_exposure(id);
    return outcome::success();
}

void budget_home::charge_ended(instant now, const charge& ended) {
    if (unsettled_.count(ended.ticket) > 0) {
        return;
    }
    const std::optional<issued_ticket> issued = tickets_.take(ended.ticket);
    if (!issued) {
        // It was charged before, or its holder was reclaimed. The fold tells these apart.
        enqueue_settlement(ended);
        return;
    }
    account& local = account_of(ended.budget);
    local.reserved -= issued->value.bound;
    local.unsettled += ended.amount;
    unsettled_[ended.ticket] = ended.amount;
    note_demand(now, local, ended.amount);
    const double share = static_cast<double>(ended.amount) /
                         static_cast<double>(std::max<tokens>(issued->value.bound, 1));
    local.cost_share += cost_share_weight * (share - local.cost_share);
    if (keys_.find(issued->value.key) != nullptr) {
        (void)keys_.end(issued->value.key, ended.ticket);
    }
    enqueue_settlement(ended);
    resolve_exposure(ended.ticket);
}

void budget_home::enqueue_settlement(const charge& settled) {
    pending_.emplace_back(settle_operation{settled});
    ++settlements_queued_;
}

void budget_home::guard_fenced(incarnation_id guard) {
    exposure exposed;
    for (const ticket_id id : tickets_.exposed_to(guard)) {
        issued_ticket& issued = *tickets_.find(id);
        if (!issued.started()) {
            issued.possibly_started = true;
            exposed.tickets.insert(id);
            voided(id, guard);
            continue;
        }
        settle_at_bound(issued);
        if (keys_.find(issued.value.key) != nullptr) {
            (void)keys_.lose(issued.value.key, id);
        }
        tickets_.take(id);
    }
    exposed.settled_after = settlements_queued_;
    exposures_[guard] = std::move(exposed);
}

void budget_home::settle_at_bound(const issued_ticket& issued) {
    account& local = account_of(issued.value.budget);
    local.reserved -= issued.value.bound;
    local.unsettled += issued.value.bound;
    unsettled_[issued.value.id] = issued.value.bound;
    charge full;
    full.budget = issued.value.budget;
    full.holder = settings_.incarnation;
    full.key = issued.value.key;
    full.ticket = issued.value.id;
    full.amount = issued.value.bound;
    enqueue_settlement(full);
}

void budget_home::resolve_exposure(ticket_id id) {
    for (auto& [guard, exposed] : exposures_) {
        if (exposed.tickets.erase(id) > 0) {
            exposed.settled_after = settlements_queued_;
        }
    }
}

std::vector<ticket_id> budget_home::take_unclear(instant now,
                                                 std::span<const incarnation_id> guards) {
    std::vector<ticket_id> unclear = tickets_.unclear_before(now - settings_.ticket_doubt_after);
    for (const ticket_id id : unclear) {
        issued_ticket& issued = *tickets_.find(id);
        issued.void_asked = true;
        issued.void_awaited.insert(guards.begin(), guards.end());
    }
    return unclear;
}

void budget_home::voided(ticket_id id, incarnation_id guard) {
    issued_ticket* issued = tickets_.find(id);
    if (issued == nullptr || issued->started() || !issued->void_asked) {
        return;
    }
    issued->void_awaited.erase(guard);
    if (!issued->void_awaited.empty()) {
        return;
    }
    if (!issued->possibly_started) {
        (void)release(id);
        return;
    }
    settle_at_bound(*issued);
    if (keys_.find(issued->value.key) != nullptr) {
        (void)keys_.lose(issued->value.key, id);
    }
    tickets_.take(id);
    resolve_exposure(id);
}

void budget_home::observe_settlement(instant now, budget_id budget, tokens amount) {
    account_of(budget).demand_of_all.add(now, amount);
}

void budget_home::ledger_changed(instant now) {
    if (parked_.empty()) {
        return;
    }
    std::set<budget_id> awaited;
    for (const parked_ask& item : parked_) {
        awaited.insert(item.budget);
    }
    for (const budget_id budget : awaited) {
        serve_parked(now, budget);
    }
}

void budget_home::tick(instant now) {
    std::size_t index = 0;
    while (index < parked_.size()) {
        if (parked_[index].until > now) {
            ++index;
            continue;
        }
        const parked_ask late = parked_[index];
        note_refused_demand(now, late.ask, late.budget);
        answer_parked(index, refusal_of(late.ask, late.budget));
    }
    for (const auto& [budget, state] : ledger_.budgets()) {
        consult_policy(now, budget);
    }
    consult_keys();
}

void budget_home::consult_policy(instant now, budget_id budget) {
    const budget_state* state = ledger_.find(budget);
    if (state == nullptr) {
        return;
    }
    account& local = account_of(budget);
    if (local.drawing || local.returning > 0) {
        return;
    }
    const grant_view view = view_of(now, *state, local);
    if (draining_) {
        if (view.free > 0) {
            local.returning = view.free;
            pending_.emplace_back(return_operation{budget, view.free});
            urgent_ = true;
        }
        return;
    }
    const grant_decision decision = settings_.policy(view);
    const auto waiting = std::find_if(
        state->waiting.begin(), state->waiting.end(),
        [this](const waiting_need& item) { return item.holder == settings_.incarnation; });
    const tokens need_in_ledger = waiting == state->waiting.end() ? 0 : waiting->need;
    const tokens need = std::max<tokens>(view.need - std::max<tokens>(view.free, 0), 0);
    // A draw that can bring nothing is worth an append only if it tells others of a changed need.
    const tokens brings = std::min(std::max<tokens>(view.available, 0), decision.draw);
    const bool can_bring = brings >= view.largest_bound || (brings > 0 && need > 0);
    const bool need_changed = need != need_in_ledger;
    if (can_bring || need_changed) {
        const tokens amount = std::max(decision.draw, need);
        local.drawing = true;
        pending_.emplace_back(draw_operation{budget, amount, need});
        urgent_ = urgent_ || need > 0;
        return;
    }
    if (decision.give_back > 0 && view.free >= decision.give_back) {
        local.returning = decision.give_back;
        pending_.emplace_back(return_operation{budget, decision.give_back});
        urgent_ = urgent_ || view.first_need_elsewhere > 0;
    }
}

grant_view budget_home::view_of(instant now, const budget_state& state,
                                const account& local) const {
    grant_view view;
    view.limit = state.limit;
    view.available = state.available();
    view.held = state.outstanding_of(settings_.incarnation);
    view.free = view.held - local.reserved - local.unsettled - local.returning;
    for (const holding& item : state.holdings) {
        view.held_by_all += item.outstanding;
    }
    view.need = local.need;
    const bool other_first =
        !state.waiting.empty() && state.waiting.front().holder != settings_.incarnation;
    if (other_first) {
        view.first_need_elsewhere = state.waiting.front().need;
    }
    view.recent_demand = local.recent_demand.rate(now);
    view.demand = local.demand.rate(now);
    view.demand_memory = settings_.demand_memory;
    view.demand_of_all = local.demand_of_all.rate(now);
    view.largest_bound = std::max(local.largest_bound, settings_.assumed_bound);
    view.homes = settings_.homes;
    view.drawn = view.held + local.spent;
    return view;
}

std::vector<ledger_operation> budget_home::take_batch() {
    if (batch_under_way_ || pending_.empty()) {
        return {};
    }
    batch_under_way_ = true;
    const std::size_t count = std::min(pending_.size(), most_operations_a_batch);
    const auto end = pending_.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<ledger_operation> batch(std::make_move_iterator(pending_.begin()),
                                        std::make_move_iterator(end));
    pending_.erase(pending_.begin(), end);
    urgent_ = urgent_ && !pending_.empty();
    return batch;
}

std::vector<ticket_id> budget_home::batch_applied(instant now,
                                                  std::span<const ledger_operation> batch) {
    batch_under_way_ = false;
    std::vector<ticket_id> settled;
    for (std::size_t index = 0; index < batch.size(); ++index) {
        if (const auto* settle = std::get_if<settle_operation>(&batch[index])) {
            ++settlements_applied_;
            settled.push_back(settle->settled.ticket);
            settlement_applied(settle->settled);
        } else if (const auto* draw = std::get_if<draw_operation>(&batch[index])) {
            account& local = account_of(draw->budget);
            local.drawing = false;
            serve_parked(now, draw->budget);
        } else if (const auto* back = std::get_if<return_operation>(&batch[index])) {
            account& local = account_of(back->budget);
            local.returning = 0;
        } else if (const auto* claim = std::get_if<claim_key_operation>(&batch[index])) {
            unwritten_claims_.erase(claim->key);
        } else if (std::holds_alternative<hold_keys_operation>(batch[index]) ||
                   std::holds_alternative<release_keys_operation>(batch[index])) {
            keys_answered(now);
        }
    }
    return settled;
}

void budget_home::settlement_applied(const charge& settled) {
    const auto counted = unsettled_.find(settled.ticket);
    if (counted == unsettled_.end()) {
        return;
    }
    account& local = account_of(settled.budget);
    local.unsettled -= counted->second;
    local.spent += counted->second;
    unsettled_.erase(counted);
}

void budget_home::enqueue(ledger_operation operation) {
    if (std::holds_alternative<settle_operation>(operation)) {
        ++settlements_queued_;
    } else {
        urgent_ = true;
    }
    pending_.push_back(std::move(operation));
}

bool budget_home::idle() const {
    return tickets_.size() == 0 && parked_.empty() && pending_.empty() && !batch_under_way_;
}

bool budget_home::cleared_of(incarnation_id guard) const {
    const auto found = exposures_.find(guard);
    if (found == exposures_.end()) {
        return true;
    }
    return found->second.tickets.empty() && settlements_applied_ >= found->second.settled_after;
}

tokens budget_home::free_of(budget_id budget) const {
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

budget_home::account& budget_home::account_of(budget_id budget) {
    const auto found = accounts_.find(budget);
    if (found != accounts_.end()) {
        return found->second;
    }
    const demand_estimator recent(settings_.recent_memory);
    const demand_estimator fresh(settings_.demand_memory);
    account local{0, 0, 0, 0, 0, 0, false, 1.0, recent, fresh, fresh};
    return accounts_.emplace(budget, local).first->second;
}

}  // namespace wrenswitch
