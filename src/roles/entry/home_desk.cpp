#include "roles/entry/home_desk.hpp"

#include <algorithm>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// An ask may wait this long for the ledger to be read, on top of its own wait.
constexpr microseconds early_patience = seconds(2);

/// How often the reclaim of a fenced holder is tried until the ledger shows it.
constexpr microseconds reclaim_retry = seconds(3);

/// After this, a ticket of which nothing was heard is asked for at the guards.
constexpr microseconds confirmation_timeout = seconds(30);

/// How long a shard that this entry does not serve is read after its last use.
constexpr microseconds unused_shard_kept = seconds(30);

constexpr std::uint32_t unreachable_retry_ms = 5000;

reservation_reply unreachable() {
    reservation_reply answer;
    answer.outcome = reservation_outcome::budget_unreachable;
    answer.retry_after = milliseconds(unreachable_retry_ms);
    return answer;
}

reservation_request decode_ask(const wire::ReserveRequest& in) {
    reservation_request ask;
    ask.budget = in.budget();
    ask.key = digest{in.key_high(), in.key_low()};
    ask.body = digest{in.body_high(), in.body_low()};
    ask.bound = in.bound();
    ask.repeatable = in.repeatable();
    ask.keyed = in.keyed();
    ask.max_wait = milliseconds(in.wait_ms());
    ask.replaces = ticket_id{in.replaces_ticket()};
    return ask;
}

}  // namespace

home_desk::home_desk(const entry_settings& settings, home_desk_parts parts)
    : settings_(settings), parts_(parts) {}

home_desk::~home_desk() = default;

shard_index home_desk::shard_of(budget_id budget) const {
    return shard_index{static_cast<std::uint32_t>(raw(budget) % settings_.process.ledger_shards)};
}

void home_desk::restart(incarnation_id own) {
    own_ = own;
    ticket_shards_.clear();
    reporters_.clear();
    for (auto& [index, item] : shards_) {
        for (auto& [number, done] : item->parked) {
            done(unreachable());
        }
        item->parked.clear();
        start_home(*item);
    }
}

void home_desk::start_home(desk_shard& target) {
    allocator_settings settings;
    settings.incarnation = own_;
    settings.endpoint = parts_.bus.endpoint();
    settings.policy = grant_policy_named(settings_.policy, settings_.grants);
    settings.allocator_count = parts_.fleet.home_count();
    settings.confirmation_timeout = confirmation_timeout;
    target.batch.clear();
    target.replica->set_writer(own_);
    desk_shard* shard = &target;
    target.home = std::make_unique<budget_allocator>(
        settings, target.replica->state(), parts_.random,
        [shard](std::uint64_t number, const reservation_reply& answer) {
            auto waiting = shard->parked.extract(number);
            if (!waiting.empty()) {
                waiting.mapped()(answer);
            }
        });
    const member* self = parts_.control.state().find(own_);
    const log_offset registered = self == nullptr ? log_offset{} : self->registered_at;
    target.home->set_least_control_offset(
        std::max(registered, parts_.control.state().last_guard_fence()));
}

home_desk::desk_shard& home_desk::shard(shard_index index) {
    const auto known = shards_.find(index);
    if (known != shards_.end()) {
        known->second->last_used = monotonic_now();
        return *known->second;
    }
    auto made = std::make_unique<desk_shard>();
    desk_shard* target = made.get();
    ledger_replica_hooks hooks;
    hooks.applied = [this, target](const ledger_batch& batch,
                                   std::span<const operation_outcome> outcomes,
                                   bool own) { on_applied(*target, batch, outcomes, own); };
    hooks.caught_up = [this, target] { on_caught_up(*target); };
    hooks.restored = [this, target] {
        // Outcomes of own batches may have been skipped, so what this home counted is void. It goes
        // on under the same incarnation only if it has nothing out.
        if (target->home != nullptr && !target->home->idle()) {
            log_event(log_level::warning, "home_lost_its_place", {});
            parts_.control.submit(fence_record{own_});
        }
    };
    target->replica = std::make_unique<ledger_replica>(
        parts_.loop, parts_.log, index, settings_.process.snapshot_records, parts_.random,
        parts_.counters, std::move(hooks));
    shards_.emplace(index, std::move(made));
    start_home(*target);
    if (draining_) {
        target->home->set_draining(true);
    }
    target->last_used = monotonic_now();
    target->replica->start();
    return *target;
}

const ledger_replica& home_desk::replica(shard_index index) {
    return *shard(index).replica;
}

void home_desk::reserve(const reservation_request& ask, answer_hook done) {
    desk_shard& target = shard(shard_of(budget_id_of(ask.budget)));
    if (!target.replica->live()) {
        target.early.push_back({ask, std::move(done), monotonic_now() + early_patience});
        return;
    }
    reserve_at(target, ask, std::move(done));
}

void home_desk::reserve_at(desk_shard& target, const reservation_request& ask, answer_hook done) {
    const instant now = monotonic_now();
    reservation_request numbered = ask;
    numbered.request_id = next_ask_++;
    const shard_index index = shard_of(budget_id_of(ask.budget));
    answer_hook told = [this, index, done = std::move(done)](const reservation_reply& answer) {
        parts_.counters.counter(
            labelled("home_reservations_total", {{"outcome", name_of(answer.outcome)}})) += 1;
        if (answer.outcome == reservation_outcome::granted) {
            ticket_shards_[answer.granted.id] = index;
        }
        done(answer);
    };
    target.home->set_log_reachable(target.replica->log_healthy(now));
    target.home->set_control_offset(parts_.control.position());
    target.home->set_draining(draining_);
    // The answer may come while the ask is being made, so the hook is put in place first.
    target.parked[numbered.request_id] = told;
    const std::optional<reservation_reply> answer = target.home->reserve(now, numbered);
    if (answer) {
        target.parked.erase(numbered.request_id);
        told(*answer);
    }
    pump(now);
}

void home_desk::on_reserve(const message_origin& origin, const wire::ReserveRequest& request) {
    const std::uint64_t number = request.request();
    reserve(decode_ask(request), [this, origin, number](const reservation_reply& answer) {
        wire::Envelope message;
        message.set_sender(raw(own_));
        wire::ReserveReply& reply = *message.mutable_reserve_reply();
        reply.set_request(number);
        reply.set_outcome(encode_outcome(answer.outcome));
        if (answer.outcome == reservation_outcome::granted) {
            encode_ticket(answer.granted, *reply.mutable_ticket());
        }
        reply.set_guard_endpoint(answer.guard_endpoint);
        reply.set_key_holder(raw(answer.key_holder));
        const auto wait = std::chrono::duration_cast<milliseconds>(answer.retry_after).count();
        reply.set_retry_after_ms(static_cast<std::uint32_t>(wait));
        parts_.bus.answer(origin, message);
    });
}

budget_allocator* home_desk::home_with(ticket_id id) {
    const auto known = ticket_shards_.find(id);
    return known == ticket_shards_.end() ? nullptr : shards_.at(known->second)->home.get();
}

void home_desk::started(ticket_id id, incarnation_id guard, const std::string& guard_endpoint) {
    budget_allocator* home = home_with(id);
    if (home != nullptr && !home->ticket_started(id, guard, guard_endpoint)) {
        parts_.counters.counter("home_impossible_transitions_total") += 1;
    }
}

void home_desk::release(ticket_id id) {
    budget_allocator* home = home_with(id);
    if (home != nullptr && !home->release_ticket(id)) {
        parts_.counters.counter("home_impossible_transitions_total") += 1;
    }
    ticket_shards_.erase(id);
}

void home_desk::on_charges(const message_origin& origin, const wire::ChargeReport& report) {
    const instant now = monotonic_now();
    for (const wire::Charge& item : report.charges()) {
        const charge ended = decode_charge(item, incarnation_id{});
        reporters_[ended.ticket] = origin;
        shard(shard_of(ended.budget)).home->charge_reported(now, ended);
    }
}

void home_desk::on_void_reply(const wire::VoidReply& reply) {
    const incarnation_id guard{reply.guard()};
    for (const std::uint64_t number : reply.voided()) {
        budget_allocator* home = home_with(ticket_id{number});
        if (home != nullptr) {
            home->ticket_voided(ticket_id{number}, guard);
        }
    }
    const std::string endpoint = parts_.fleet.endpoint_of(guard);
    for (const std::uint64_t number : reply.started()) {
        started(ticket_id{number}, guard, endpoint);
    }
}

void home_desk::on_fence(incarnation_id fenced) {
    const member* known = parts_.control.state().find(fenced);
    if (known == nullptr || known->info.role != member_role::guard) {
        return;
    }
    for (auto& [index, item] : shards_) {
        item->home->guard_fenced(fenced);
        item->home->set_least_control_offset(known->fenced_at);
    }
}

void home_desk::submit(shard_index index, ledger_operation operation, outcome_hook done) {
    desk_shard& target = shard(index);
    if (const auto* set = std::get_if<set_budget_operation>(&operation)) {
        target.operator_operations[set->operation] = std::move(done);
    } else {
        done(operation_outcome::accepted);
    }
    target.home->enqueue(std::move(operation));
    pump(monotonic_now());
}

void home_desk::on_applied(desk_shard& target, const ledger_batch& batch,
                           std::span<const operation_outcome> outcomes, bool own) {
    const instant now = monotonic_now();
    for (const ledger_operation& operation : batch.operations) {
        if (const auto* settle = std::get_if<settle_operation>(&operation)) {
            target.home->observe_settlement(now, settle->settled.budget, settle->settled.amount);
        }
        const auto* draw = std::get_if<draw_operation>(&operation);
        if (draw != nullptr && draw->need > 0 && batch.writer != own_) {
            target.home->remote_need_changed(now, draw->budget);
        }
    }
    if (own && !target.batch.empty()) {
        const std::vector<ledger_operation> sent = std::exchange(target.batch, {});
        acknowledge(target.home->batch_applied(now, sent));
    }
    note_operator_outcomes(target, batch, outcomes);
    target.home->ledger_changed(now);
}

void home_desk::note_operator_outcomes(desk_shard& target, const ledger_batch& batch,
                                       std::span<const operation_outcome> outcomes) {
    if (target.operator_operations.empty()) {
        return;
    }
    for (std::size_t place = 0; place < batch.operations.size(); ++place) {
        const auto* set = std::get_if<set_budget_operation>(&batch.operations[place]);
        if (set == nullptr) {
            continue;
        }
        auto awaited = target.operator_operations.extract(set->operation);
        if (!awaited.empty()) {
            awaited.mapped()(outcomes[place]);
        }
    }
}

void home_desk::acknowledge(const std::vector<ticket_id>& settled) {
    std::map<std::string, wire::Envelope> by_connection;
    std::map<std::string, message_origin> origins;
    for (const ticket_id id : settled) {
        ticket_shards_.erase(id);
        parts_.events.add(timeline_kind::charge_settled, "", {}, id, "");
        const auto reporter = reporters_.find(id);
        if (reporter == reporters_.end()) {
            continue;
        }
        const std::string name = reporter->second.connection + reporter->second.endpoint;
        origins[name] = reporter->second;
        by_connection[name].mutable_charge_ack()->add_tickets(raw(id));
        reporters_.erase(reporter);
    }
    for (auto& [name, message] : by_connection) {
        message.set_sender(raw(own_));
        parts_.bus.answer(origins[name], message);
    }
}

void home_desk::on_caught_up(desk_shard& target) {
    std::vector<waiting_ask> early = std::exchange(target.early, {});
    for (waiting_ask& item : early) {
        reserve_at(target, item.ask, std::move(item.done));
    }
    pump(monotonic_now());
}

void home_desk::pump(instant now) {
    const bool may_write = own_ != incarnation_id{} && parts_.control.state().is_active(own_);
    if (!may_write) {
        return;
    }
    for (auto& [index, item] : shards_) {
        const bool due = item->home->urgent() || now - item->last_append >= settings_.settle_period;
        if (!due || item->replica->busy() || !item->replica->live()) {
            continue;
        }
        std::vector<ledger_operation> batch = item->home->take_batch();
        if (batch.empty()) {
            continue;
        }
        item->last_append = now;
        item->batch = batch;
        item->replica->submit(std::move(batch));
    }
}

void home_desk::tick(instant now) {
    for (std::uint32_t index = 0; index < settings_.process.ledger_shards; ++index) {
        if (parts_.fleet.serves(shard_index{index})) {
            shard(shard_index{index});
        }
    }
    for (auto& [index, item] : shards_) {
        item->home->set_log_reachable(item->replica->log_healthy(now));
        item->home->set_control_offset(parts_.control.position());
        item->replica->tick(now);
        std::vector<waiting_ask> still;
        for (waiting_ask& waiting : item->early) {
            if (waiting.until <= now) {
                waiting.done(unreachable());
            } else {
                still.push_back(std::move(waiting));
            }
        }
        item->early = std::move(still);
        if (!item->replica->live() || !parts_.control.state().is_active(own_)) {
            continue;
        }
        item->home->tick(now);
        ask_for_unclear(*item, now);
        reclaim_fenced(*item, now);
    }
    retire_unused(now);
    pump(now);
}

bool home_desk::keeps_no_state(const desk_shard& target) const {
    return target.home->idle() && target.early.empty() && target.parked.empty() &&
           target.operator_operations.empty() && !target.replica->busy() &&
           target.replica->state().budgets_of(own_).empty() &&
           target.replica->state().key_holder() != own_;
}

/// A shard that was read for an operator's question, or served in place of a home that is back, is
/// given up: each costs about a kilobyte a second to read at the design size.
void home_desk::retire_unused(instant now) {
    std::erase_if(shards_, [&](const auto& item) {
        desk_shard& target = *item.second;
        const bool unused = !parts_.fleet.serves(item.first) && target.replica->live() &&
                            now - target.last_used > unused_shard_kept;
        if (!unused) {
            return false;
        }
        target.home->set_draining(true);
        return keeps_no_state(target);
    });
}

void home_desk::ask_for_unclear(desk_shard& target, instant now) {
    const std::vector<incarnation_id>& guards = parts_.fleet.guards();
    const std::vector<ticket_id> unclear = target.home->take_unconfirmed(now, guards);
    if (unclear.empty()) {
        return;
    }
    parts_.counters.counter("home_unclear_tickets_total") += unclear.size();
    wire::Envelope message;
    message.set_sender(raw(own_));
    message.mutable_void_request()->set_home(raw(own_));
    for (const ticket_id id : unclear) {
        message.mutable_void_request()->add_tickets(raw(id));
    }
    for (const incarnation_id guard : guards) {
        parts_.bus.send(parts_.fleet.endpoint_of(guard), message);
    }
}

void home_desk::reclaim_fenced(desk_shard& target, instant now) {
    const ledger_state& ledger = target.replica->state();
    for (const auto& [fenced, fence] : parts_.control.state().fences()) {
        const member* known = parts_.control.state().find(fenced);
        const bool ready = known != nullptr && known->info.role == member_role::entry &&
                           fence.complete() && !ledger.is_closed(fenced) &&
                           ledger.writers().count(fenced) > 0;
        if (!ready) {
            continue;
        }
        const auto tried = target.reclaim_tried.find(fenced);
        if (tried != target.reclaim_tried.end() && now - tried->second < reclaim_retry) {
            continue;
        }
        target.reclaim_tried[fenced] = now;
        reclaim_operation reclaim;
        reclaim.holder = fenced;
        for (const charge& item : fence.charges) {
            if (ledger.find(item.budget) != nullptr) {
                reclaim.charges.push_back(item);
            }
        }
        parts_.events.add(timeline_kind::grant_reclaimed, "", {}, {}, std::to_string(raw(fenced)));
        target.home->enqueue(reclaim);
    }
}

void home_desk::start_drain() {
    draining_ = true;
    for (auto& [index, item] : shards_) {
        item->home->set_draining(true);
    }
}

bool home_desk::idle() const {
    return std::all_of(shards_.begin(), shards_.end(), [this](const auto& item) {
        const desk_shard& target = *item.second;
        return keeps_no_state(target);
    });
}

bool home_desk::is_guard_settled(incarnation_id guard) const {
    return std::all_of(shards_.begin(), shards_.end(), [guard](const auto& item) {
        return item.second->home->is_guard_settled(guard);
    });
}

void home_desk::forget_guard(incarnation_id guard) {
    for (auto& [index, item] : shards_) {
        item->home->forget_guard(guard);
    }
}

bool home_desk::ready() const {
    return std::all_of(shards_.begin(), shards_.end(),
                       [](const auto& item) { return item.second->replica->live(); });
}

}  // namespace wrenswitch
