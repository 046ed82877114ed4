// The part of request_handler that reserves the request's tokens at the account's allocator.

#include "roles/entry/request_handler.hpp"
#include "roles/shared/http_status.hpp"

namespace wrenswitch {
namespace {

/// Reply timeout of an allocator, in addition to the wait for tokens.
constexpr microseconds allocator_timeout = milliseconds(600);

constexpr microseconds in_progress_delay = milliseconds(50);
constexpr unsigned max_allocators = 3;
constexpr unsigned max_key_redirects = 3;

}  // namespace

reservation_request request_handler::make_reservation_request() const {
    reservation_request request;
    request.request_id = request_.number;
    request.budget = request_.budget;
    request.key = request_.key;
    request.body = request_.body_digest;
    request.bound = request_.bound;
    request.repeatable = request_.repeatable;
    request.keyed = request_.caller_keyed;
    request.max_wait = std::min(context_.settings.token_wait, time_left());
    request.replaces = replaced_ticket_;
    return request;
}

void request_handler::reserve() {
    phase_ = request_handler_phase::reserving;
    const instant now = monotonic_now();
    const shard_index shard = context_.allocators.shard_of(budget_id_of(request_.budget));
    const std::vector<incarnation_id> allocators = context_.cluster.allocators_of(shard, now);
    const auto next = std::find_if(allocators.begin(), allocators.end(), [this](incarnation_id id) {
        return std::find(tried_allocators_.begin(), tried_allocators_.end(), id) ==
               tried_allocators_.end();
    });
    if (next == allocators.end() || tried_allocators_.size() >= max_allocators) {
        fail(status_unavailable, "no_home", "No home of the budget can be reached.",
             execution_status::not_run, overload_retry_after);
        return;
    }
    reserve_at(*next);
}

void request_handler::reserve_at(incarnation_id allocator) {
    phase_ = request_handler_phase::reserving;
    allocator_ = allocator;
    tried_allocators_.push_back(allocator_);
    ++phase_generation_;
    if (allocator_ == context_.incarnation) {
        context_.allocators.reserve(make_reservation_request(),
                                    [weak = weak_from_this(), generation = phase_generation_,
                                     context = context_](const reservation_reply& reply) mutable {
                                        const auto self = weak.lock();
                                        const bool is_current =
                                            self && self->phase_generation_ == generation &&
                                            self->phase_ != request_handler_phase::ended;
                                        if (is_current) {
                                            self->on_reservation(reply);
                                        } else if (reply.outcome == reservation_outcome::granted) {
                                            context.allocators.release_ticket(reply.granted.id);
                                        }
                                    });
        return;
    }
    const reservation_request request = make_reservation_request();
    wire::Envelope message;
    message.set_sender(raw(context_.incarnation));
    wire::ReserveRequest& out = *message.mutable_reserve_request();
    out.set_request(request_.number);
    out.set_client_account(request_.client_account);
    out.set_budget(request.budget);
    out.set_key_high(request.key.high);
    out.set_key_low(request.key.low);
    out.set_body_high(request.body.high);
    out.set_body_low(request.body.low);
    out.set_bound(request.bound);
    out.set_repeatable(request.repeatable);
    out.set_keyed(request.keyed);
    out.set_wait_ms(static_cast<std::uint32_t>(
        std::chrono::duration_cast<milliseconds>(request.max_wait).count()));
    out.set_replaces_ticket(raw(request.replaces));
    context_.bus.send(context_.cluster.endpoint_of(allocator_), message);
    schedule(allocator_timeout + request.max_wait, &request_handler::try_next_allocator);
}

/// Called when the allocator did not reply in time.
void request_handler::try_next_allocator() {
    context_.counters.counter("homes_silent_total") += 1;
    context_.cluster.mark_unresponsive(monotonic_now(), allocator_);
    reserve();
}

void request_handler::on_reserve_reply(const wire::ReserveReply& reply) {
    const bool granted = reply.outcome() == wire::RESERVE_GRANTED;
    const bool is_current = phase_ == request_handler_phase::reserving &&
                            (!granted || incarnation_id{reply.ticket().holder()} == allocator_);
    if (!is_current) {
        if (granted) {
            // The reply came too late, so the ticket was not used.
            wire::Envelope message;
            message.set_sender(raw(context_.incarnation));
            message.mutable_release_ticket()->set_ticket(reply.ticket().ticket());
            context_.bus.send(reply.ticket().holder_endpoint(), message);
        }
        return;
    }
    reservation_reply decoded;
    decoded.outcome = decode_outcome(reply.outcome());
    decoded.granted = decode_ticket(reply.ticket());
    decoded.guard_endpoint = reply.guard_endpoint();
    decoded.key_holder = incarnation_id{reply.key_holder()};
    decoded.retry_after = milliseconds(reply.retry_after_ms());
    on_reservation(decoded);
}

void request_handler::on_reservation(const reservation_reply& reply) {
    ++phase_generation_;
    switch (reply.outcome) {
        case reservation_outcome::granted:
            ticket_ = reply.granted;
            replaced_ticket_ = ticket_id{};
            context_.events.add(timeline_kind::reservation_granted, request_id_, {}, ticket_.id,
                                std::to_string(ticket_.bound) + " tokens");
            dispatch();
            return;
        case reservation_outcome::join:
            join(reply.guard_endpoint, reply.guard);
            return;
        case reservation_outcome::in_progress:
            phase_ = request_handler_phase::backing_off;
            tried_allocators_.clear();
            schedule(in_progress_delay, &request_handler::reserve);
            return;
        case reservation_outcome::keys_elsewhere:
            redirect_to_key_holder(reply);
            return;
        default:
            fail_reservation(reply);
    }
}

void request_handler::redirect_to_key_holder(const reservation_reply& reply) {
    const bool reachable = reply.key_holder != incarnation_id{} &&
                           context_.cluster.control().is_active(reply.key_holder);
    if (!reachable || key_redirects_ >= max_key_redirects) {
        fail(status_unavailable, "keys_unreachable",
             "Whoever decides about calls that may not be repeated cannot be reached now.",
             execution_status::not_run, reply.retry_after);
        return;
    }
    ++key_redirects_;
    reserve_at(reply.key_holder);
}

void request_handler::fail_reservation(const reservation_reply& reply) {
    context_.events.add(timeline_kind::reservation_refused, request_id_, {}, {},
                        std::string(name_of(reply.outcome)));
    const std::string code(name_of(reply.outcome));
    switch (reply.outcome) {
        case reservation_outcome::budget_exhausted:
            fail(reply.retry_after > microseconds(0) ? status_too_many_requests
                                                     : status_payment_required,
                 code, "The budget has too little left for this request.",
                 execution_status::not_run, reply.retry_after);
            return;
        case reservation_outcome::key_reused:
            fail(status_unprocessable, code, "The key was used before with another request.",
                 execution_status::not_run, microseconds(0));
            return;
        case reservation_outcome::unknown_outcome:
            fail(status_conflict, code,
                 "The request may have run before; it may not be repeated and nobody can tell.",
                 execution_status::unknown, microseconds(0));
            return;
        case reservation_outcome::no_budget:
            fail(status_payment_required, code, "The client account has no budget.",
                 execution_status::not_run, microseconds(0));
            return;
        default:
            fail(status_unavailable, code,
                 "What this region holds of the budget is used up and the log cannot be reached.",
                 execution_status::not_run, reply.retry_after);
    }
}

}  // namespace wrenswitch
