#include "roles/entry/allocator_service.hpp"

#include <algorithm>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// Maximum time that a request waits for the ledger replica, in addition to its wait for tokens.
constexpr microseconds deferral_timeout = seconds(2);

/// Interval at which the reclaim from a fenced holder is retried until the ledger shows it.
constexpr microseconds reclaim_retry = seconds(3);

/// A ticket without a report for this long is queried at the guards.
constexpr microseconds confirmation_timeout = seconds(30);

/// How long a shard for which this entry is not the primary allocator stays open after its last
/// use.
constexpr microseconds unused_shard_retention = seconds(30);

constexpr std::uint32_t unreachable_retry_ms = 5000;

reservation_reply unreachable() {
    reservation_reply reply;
    reply.outcome = reservation_outcome::budget_unreachable;
    reply.retry_after = milliseconds(unreachable_retry_ms);
    return reply;
}

reservation_request decode_reservation_request(const wire::ReserveRequest& in) {
    reservation_request request;
    request.budget = in.budget();
    request.key = digest{in.key_high(), in.key_low()};
    request.body = digest{in.body_high(), in.body_low()};
    request.bound = in.bound();
    request.repeatable = in.repeatable();
    request.keyed = in.keyed();
    request.max_wait = milliseconds(in.wait_ms());
    request.replaces = ticket_id{in.replaces_ticket()};
    return request;
}

}  // namespace

allocator_service::allocator_service(const entry_settings& settings,
                                     allocator_service_context context)
    : settings_(settings), context_(context) {}

allocator_service::~allocator_service() = default;

shard_index allocator_service::shard_of(budget_id budget) const {
    return shard_index{static_cast<std::uint32_t>(raw(budget) % settings_.process.ledger_shards)};
}

void allocator_service::restart(incarnation_id incarnation) {
    incarnation_ = incarnation;
    ticket_shards_.clear();
    charge_reporters_.clear();
    for (auto& [index, item] : shards_) {
        for (auto& [number, done] : item->waiting_replies) {
            done(unreachable());
        }
        item->waiting_replies.clear();
        create_allocator(*item);
    }
}

void allocator_service::create_allocator(served_shard& shard) {
    allocator_settings settings;
    settings.incarnation = incarnation_;
    settings.endpoint = context_.bus.endpoint();
    settings.policy = grant_policy_named(settings_.policy, settings_.grants);
    settings.allocator_count = context_.cluster.allocator_count();
    settings.confirmation_timeout = confirmation_timeout;
    shard.submitted_batch.clear();
    shard.replica->set_writer(incarnation_);
    served_shard* owner = &shard;
    shard.allocator = std::make_unique<budget_allocator>(
        settings, shard.replica->state(), context_.random,
        [owner](std::uint64_t number, const reservation_reply& reply) {
            auto waiting = owner->waiting_replies.extract(number);
            if (!waiting.empty()) {
                waiting.mapped()(reply);
            }
        });
    const member* self = context_.control.state().find(incarnation_);
    const log_offset registered = self == nullptr ? log_offset{} : self->registered_at;
    shard.allocator->set_least_control_offset(
        std::max(registered, context_.control.state().last_guard_fence()));
}

allocator_service::served_shard& allocator_service::open_shard(shard_index index) {
    const auto known = shards_.find(index);
    if (known != shards_.end()) {
        known->second->last_used = monotonic_now();
        return *known->second;
    }
    auto new_shard = std::make_unique<served_shard>();
    served_shard* shard = new_shard.get();
    ledger_replica_hooks hooks;
    hooks.applied =
        [this, shard](const ledger_batch& batch, std::span<const operation_outcome> outcomes,
                      bool submitted_here) { on_applied(*shard, batch, outcomes, submitted_here); };
    hooks.caught_up = [this, shard] { on_caught_up(*shard); };
    hooks.restored = [this, shard] {
        // A restored snapshot may have skipped outcomes of batches from this entry, so the counts
        // of the allocator are invalid. It can keep the incarnation only if nothing is outstanding.
        if (shard->allocator != nullptr && !shard->allocator->idle()) {
            log_event(log_level::warning, "home_lost_its_place", {});
            context_.control.submit(fence_record{incarnation_});
        }
    };
    shard->replica = std::make_unique<ledger_replica>(
        context_.loop, context_.log, index, settings_.process.snapshot_records, context_.random,
        context_.counters, std::move(hooks));
    shards_.emplace(index, std::move(new_shard));
    create_allocator(*shard);
    if (draining_) {
        shard->allocator->set_draining(true);
    }
    shard->last_used = monotonic_now();
    shard->replica->start();
    return *shard;
}

const ledger_replica& allocator_service::replica(shard_index index) {
    return *open_shard(index).replica;
}

void allocator_service::reserve(const reservation_request& request, reply_hook done) {
    served_shard& shard = open_shard(shard_of(budget_id_of(request.budget)));
    if (!shard.replica->live()) {
        shard.deferred.push_back({request, std::move(done), monotonic_now() + deferral_timeout});
        return;
    }
    reserve_at(shard, request, std::move(done));
}

void allocator_service::reserve_at(served_shard& shard, const reservation_request& request,
                                   reply_hook done) {
    const instant now = monotonic_now();
    reservation_request numbered = request;
    numbered.request_id = next_request_id_++;
    const shard_index index = shard_of(budget_id_of(request.budget));
    reply_hook on_reply = [this, index, done = std::move(done)](const reservation_reply& reply) {
        context_.counters.counter(
            labelled("home_reservations_total", {{"outcome", name_of(reply.outcome)}})) += 1;
        if (reply.outcome == reservation_outcome::granted) {
            ticket_shards_[reply.granted.id] = index;
        }
        done(reply);
    };
    shard.allocator->set_log_reachable(shard.replica->log_healthy(now));
    shard.allocator->set_control_offset(context_.control.position());
    shard.allocator->set_draining(draining_);
    // The allocator may reply during reserve(), so the hook is registered first.
    shard.waiting_replies[numbered.request_id] = on_reply;
    const std::optional<reservation_reply> reply = shard.allocator->reserve(now, numbered);
    if (reply) {
        shard.waiting_replies.erase(numbered.request_id);
        on_reply(*reply);
    }
    append_due_batches(now);
}

void allocator_service::on_reserve(const message_origin& origin,
                                   const wire::ReserveRequest& request) {
    const std::uint64_t number = request.request();
    reserve(decode_reservation_request(request), [this, origin,
                                                  number](const reservation_reply& reply) {
        wire::Envelope message;
        message.set_sender(raw(incarnation_));
        wire::ReserveReply& out = *message.mutable_reserve_reply();
        out.set_request(number);
        out.set_outcome(encode_outcome(reply.outcome));
        if (reply.outcome == reservation_outcome::granted) {
            encode_ticket(reply.granted, *out.mutable_ticket());
        }
        out.set_guard_endpoint(reply.guard_endpoint);
        out.set_key_holder(raw(reply.key_holder));
        const auto wait = std::chrono::duration_cast<milliseconds>(reply.retry_after).count();
        out.set_retry_after_ms(static_cast<std::uint32_t>(wait));
        context_.bus.answer(origin, message);
    });
}

budget_allocator* allocator_service::allocator_of_ticket(ticket_id id) {
    const auto known = ticket_shards_.find(id);
    return known == ticket_shards_.end() ? nullptr : shards_.at(known->second)->allocator.get();
}

void allocator_service::ticket_started(ticket_id id, incarnation_id guard,
                                       const std::string& guard_endpoint) {
    budget_allocator* allocator = allocator_of_ticket(id);
    if (allocator != nullptr && !allocator->ticket_started(id, guard, guard_endpoint)) {
        context_.counters.counter("home_impossible_transitions_total") += 1;
    }
}

void allocator_service::release_ticket(ticket_id id) {
    budget_allocator* allocator = allocator_of_ticket(id);
    if (allocator != nullptr && !allocator->release_ticket(id)) {
        context_.counters.counter("home_impossible_transitions_total") += 1;
    }
    ticket_shards_.erase(id);
}

void allocator_service::on_charges(const message_origin& origin, const wire::ChargeReport& report) {
    const instant now = monotonic_now();
    for (const wire::Charge& item : report.charges()) {
        const charge ended = decode_charge(item, incarnation_id{});
        charge_reporters_[ended.ticket] = origin;
        open_shard(shard_of(ended.budget)).allocator->charge_reported(now, ended);
    }
}

void allocator_service::on_void_reply(const wire::VoidReply& reply) {
    const incarnation_id guard{reply.guard()};
    for (const std::uint64_t number : reply.voided()) {
        budget_allocator* allocator = allocator_of_ticket(ticket_id{number});
        if (allocator != nullptr) {
            allocator->ticket_voided(ticket_id{number}, guard);
        }
    }
    const std::string endpoint = context_.cluster.endpoint_of(guard);
    for (const std::uint64_t number : reply.started()) {
        ticket_started(ticket_id{number}, guard, endpoint);
    }
}

void allocator_service::on_fence(incarnation_id fenced) {
    const member* known = context_.control.state().find(fenced);
    if (known == nullptr || known->info.role != member_role::guard) {
        return;
    }
    for (auto& [index, item] : shards_) {
        item->allocator->guard_fenced(fenced);
        item->allocator->set_least_control_offset(known->fenced_at);
    }
}

void allocator_service::submit(shard_index index, ledger_operation operation, outcome_hook done) {
    served_shard& shard = open_shard(index);
    if (const auto* set = std::get_if<set_budget_operation>(&operation)) {
        shard.operator_operations[set->operation] = std::move(done);
    } else {
        done(operation_outcome::accepted);
    }
    shard.allocator->enqueue(std::move(operation));
    append_due_batches(monotonic_now());
}

void allocator_service::on_applied(served_shard& shard, const ledger_batch& batch,
                                   std::span<const operation_outcome> outcomes,
                                   bool submitted_here) {
    const instant now = monotonic_now();
    for (const ledger_operation& operation : batch.operations) {
        if (const auto* settle = std::get_if<settle_operation>(&operation)) {
            shard.allocator->observe_settlement(now, settle->settled.budget,
                                                settle->settled.amount);
        }
        const auto* draw = std::get_if<draw_operation>(&operation);
        if (draw != nullptr && draw->need > 0 && batch.writer != incarnation_) {
            shard.allocator->remote_need_changed(now, draw->budget);
        }
    }
    if (submitted_here && !shard.submitted_batch.empty()) {
        const std::vector<ledger_operation> sent = std::exchange(shard.submitted_batch, {});
        acknowledge_charges(shard.allocator->batch_applied(now, sent));
    }
    report_operator_outcomes(shard, batch, outcomes);
    shard.allocator->ledger_changed(now);
}

void allocator_service::report_operator_outcomes(served_shard& shard, const ledger_batch& batch,
                                                 std::span<const operation_outcome> outcomes) {
    if (shard.operator_operations.empty()) {
        return;
    }
    for (std::size_t index = 0; index < batch.operations.size(); ++index) {
        const auto* set = std::get_if<set_budget_operation>(&batch.operations[index]);
        if (set == nullptr) {
            continue;
        }
        auto pending = shard.operator_operations.extract(set->operation);
        if (!pending.empty()) {
            pending.mapped()(outcomes[index]);
        }
    }
}

void allocator_service::acknowledge_charges(const std::vector<ticket_id>& settled) {
    std::map<std::string, wire::Envelope> acks_by_connection;
    std::map<std::string, message_origin> origins;
    for (const ticket_id id : settled) {
        ticket_shards_.erase(id);
        context_.events.add(timeline_kind::charge_settled, "", {}, id, "");
        const auto reporter = charge_reporters_.find(id);
        if (reporter == charge_reporters_.end()) {
            continue;
        }
        const std::string connection = reporter->second.connection + reporter->second.endpoint;
        origins[connection] = reporter->second;
        acks_by_connection[connection].mutable_charge_ack()->add_tickets(raw(id));
        charge_reporters_.erase(reporter);
    }
    for (auto& [connection, message] : acks_by_connection) {
        message.set_sender(raw(incarnation_));
        context_.bus.answer(origins[connection], message);
    }
}

void allocator_service::on_caught_up(served_shard& shard) {
    std::vector<deferred_request> deferred = std::exchange(shard.deferred, {});
    for (deferred_request& item : deferred) {
        reserve_at(shard, item.request, std::move(item.done));
    }
    append_due_batches(monotonic_now());
}

void allocator_service::append_due_batches(instant now) {
    const bool can_write =
        incarnation_ != incarnation_id{} && context_.control.state().is_active(incarnation_);
    if (!can_write) {
        return;
    }
    for (auto& [index, item] : shards_) {
        const bool due =
            item->allocator->urgent() || now - item->last_append >= settings_.settle_period;
        if (!due || item->replica->busy() || !item->replica->live()) {
            continue;
        }
        std::vector<ledger_operation> batch = item->allocator->take_batch();
        if (batch.empty()) {
            continue;
        }
        item->last_append = now;
        item->submitted_batch = batch;
        item->replica->submit(std::move(batch));
    }
}

void allocator_service::tick(instant now) {
    for (std::uint32_t index = 0; index < settings_.process.ledger_shards; ++index) {
        if (context_.cluster.is_primary_allocator(shard_index{index})) {
            open_shard(shard_index{index});
        }
    }
    for (auto& [index, item] : shards_) {
        item->allocator->set_log_reachable(item->replica->log_healthy(now));
        item->allocator->set_control_offset(context_.control.position());
        item->replica->tick(now);
        std::vector<deferred_request> remaining;
        for (deferred_request& waiting : item->deferred) {
            if (waiting.deadline <= now) {
                waiting.done(unreachable());
            } else {
                remaining.push_back(std::move(waiting));
            }
        }
        item->deferred = std::move(remaining);
        if (!item->replica->live() || !context_.control.state().is_active(incarnation_)) {
            continue;
        }
        item->allocator->tick(now);
        query_unconfirmed_tickets(*item, now);
        reclaim_from_fenced(*item, now);
    }
    close_unused_shards(now);
    append_due_batches(now);
}

bool allocator_service::has_no_state(const served_shard& shard) const {
    return shard.allocator->idle() && shard.deferred.empty() && shard.waiting_replies.empty() &&
           shard.operator_operations.empty() && !shard.replica->busy() &&
           shard.replica->state().budgets_of(incarnation_).empty() &&
           shard.replica->state().key_holder() != incarnation_;
}

/// Closes shards that were opened for an operator's query or in place of a primary allocator that
/// is back: reading each costs about a kilobyte per second at the design size.
void allocator_service::close_unused_shards(instant now) {
    std::erase_if(shards_, [&](const auto& item) {
        served_shard& shard = *item.second;
        const bool unused = !context_.cluster.is_primary_allocator(item.first) &&
                            shard.replica->live() && now - shard.last_used > unused_shard_retention;
        if (!unused) {
            return false;
        }
        shard.allocator->set_draining(true);
        return has_no_state(shard);
    });
}

void allocator_service::query_unconfirmed_tickets(served_shard& shard, instant now) {
    const std::vector<incarnation_id>& guards = context_.cluster.guards();
    const std::vector<ticket_id> unconfirmed = shard.allocator->take_unconfirmed(now, guards);
    if (unconfirmed.empty()) {
        return;
    }
    context_.counters.counter("home_unclear_tickets_total") += unconfirmed.size();
    wire::Envelope message;
    message.set_sender(raw(incarnation_));
    message.mutable_void_request()->set_home(raw(incarnation_));
    for (const ticket_id id : unconfirmed) {
        message.mutable_void_request()->add_tickets(raw(id));
    }
    for (const incarnation_id guard : guards) {
        context_.bus.send(context_.cluster.endpoint_of(guard), message);
    }
}

void allocator_service::reclaim_from_fenced(served_shard& shard, instant now) {
    const ledger_state& ledger = shard.replica->state();
    for (const auto& [fenced, fence] : context_.control.state().fences()) {
        const member* known = context_.control.state().find(fenced);
        const bool reclaimable = known != nullptr && known->info.role == member_role::entry &&
                                 fence.complete() && !ledger.is_closed(fenced) &&
                                 ledger.writers().count(fenced) > 0;
        if (!reclaimable) {
            continue;
        }
        const auto last_tried = shard.last_reclaim.find(fenced);
        if (last_tried != shard.last_reclaim.end() && now - last_tried->second < reclaim_retry) {
            continue;
        }
        shard.last_reclaim[fenced] = now;
        reclaim_operation reclaim;
        reclaim.holder = fenced;
        for (const charge& item : fence.charges) {
            if (ledger.find(item.budget) != nullptr) {
                reclaim.charges.push_back(item);
            }
        }
        context_.events.add(timeline_kind::grant_reclaimed, "", {}, {},
                            std::to_string(raw(fenced)));
        shard.allocator->enqueue(reclaim);
    }
}

void allocator_service::start_drain() {
    draining_ = true;
    for (auto& [index, item] : shards_) {
        item->allocator->set_draining(true);
    }
}

bool allocator_service::idle() const {
    return std::all_of(shards_.begin(), shards_.end(), [this](const auto& item) {
        const served_shard& shard = *item.second;
        return has_no_state(shard);
    });
}

bool allocator_service::is_guard_settled(incarnation_id guard) const {
    return std::all_of(shards_.begin(), shards_.end(), [guard](const auto& item) {
        return item.second->allocator->is_guard_settled(guard);
    });
}

void allocator_service::forget_guard(incarnation_id guard) {
    for (auto& [index, item] : shards_) {
        item->allocator->forget_guard(guard);
    }
}

bool allocator_service::ready() const {
    return std::all_of(shards_.begin(), shards_.end(),
                       [](const auto& item) { return item.second->replica->live(); });
}

}  // namespace wrenswitch
