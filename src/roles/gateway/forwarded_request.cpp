#include "roles/gateway/forwarded_request.hpp"

#include <algorithm>
#include <utility>

#include "roles/gateway/retry_after.hpp"
#include "roles/gateway/upstream_request_builder.hpp"
#include "roles/shared/http_status.hpp"
#include "wrenswitch/core/bounded_number.hpp"
#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// Formats the cost by which an engine was chosen, for logs.
std::string describe(const placement_cost& cost) {
    return "first_event_ms=" + whole_text(cost.first_event_ms) +
           ",backlog_ms=" + whole_text(cost.backlog_ms) + ",pause_ms=" + whole_text(cost.pause_ms) +
           ",lost_here=" + whole_text(cost.own_cost) +
           ",lost_beside=" + whole_text(cost.stream_cost);
}

}  // namespace

forwarded_request::forwarded_request(gateway_context& context, ingress_exchange_pointer exchange)
    : context_(context),
      exchange_(std::move(exchange)),
      caller_response_(exchange_, context.dialect),
      rollout_(context.rollouts),
      suspicion_(context.suspects, context.crashes),
      response_body_(context.responses) {}

void forwarded_request::start() {
    context_.active_requests.insert(shared_from_this());
    context_.counters.counter("gateway_requests_total") += 1;
    context_.last_request_at = monotonic_now();
    exchange_->on_closed([self = weak_from_this()] {
        if (const auto alive = self.lock()) {
            alive->on_caller_disconnected();
        }
    });
    if (!parse_request() || !admit_request()) {
        return;
    }
    set_deadline();
    if (check_quarantine() && check_allowed_regions() && check_shutdown() && check_isolation() &&
        check_overload()) {
        start_deadline_timer();
        if (resumes_stream()) {
            find_stream_origin();
        } else {
            reserve_tokens();
        }
    }
}

bool forwarded_request::parse_request() {
    result<incoming_request> read = parse_incoming_request(exchange_->head(), context_.dialect);
    if (!read) {
        fail(status_bad_request, "malformed");
        return false;
    }
    request_ = std::move(read.value());
    trace_.begin(request_.id, exchange_->received());
    return true;
}

bool forwarded_request::admit_request() {
    auto admission = admit(context_.configuration, request_.host, request_.path, request_.key,
                           context_.random.unit());
    if (auto* admitted = std::get_if<admitted_request>(&admission)) {
        admitted_ = std::move(*admitted);
        record_account();
        suspicion_.set_content({exchange_->head().method, request_.host, exchange_->head().target,
                                admitted_.account, exchange_->body()},
                               request_.prompt.parts);
        if (exchange_->waited() > microseconds(0)) {
            context_.sharing.trace_state(monotonic_now(), trace_, "link_waited",
                                         admitted_.key_owner, exchange_->waited());
        }
        context_.priorities.record(exchange_->received(), admitted_.service, admitted_.priority);
        set_rollout_request();
        return true;
    }
    const auto refusal = std::get<admission_refusal>(admission);
    const std::string_view reason = name_of(refusal);
    switch (refusal) {
        case admission_refusal::no_configuration:
            refuse(status_unavailable, reason, configuration_retry_after);
            break;
        case admission_refusal::no_service:
            refuse(status_unavailable, reason, targets_retry_after);
            break;
        case admission_refusal::no_route:
            fail(status_not_found, reason);
            break;
        case admission_refusal::unknown_key:
            fail(status_unauthorized, reason);
            break;
    }
    return false;
}

void forwarded_request::set_rollout_request() {
    const bool has_session = !request_.prompt.parts.empty();
    rollout_.set_request(admitted_.service, admitted_.route,
                         has_session ? session_id(request_.prompt) : spread_hash(request_.id));
}

/// Records which account uses the connection.
void forwarded_request::record_account() {
    if (admitted_.account.empty()) {
        return;
    }
    exchange_->set_account(admitted_.account);
    context_.admission.record_request(exchange_->received(), admitted_.account);
}

/// Refuses a request whose allowed regions have no target, before tokens are reserved for it and
/// engines are queried.
bool forwarded_request::check_allowed_regions() {
    if (!admitted_.regions ||
        context_.targets.has_target_in(monotonic_now(), admitted_.service, admitted_.regions)) {
        return true;
    }
    refuse(status_unavailable, "no_target_in_allowed_regions", region_retry_after);
    return false;
}

/// Refuses a request that the stopping gateway might have to abort.
bool forwarded_request::check_shutdown() {
    if (!context_.stopping_since) {
        return true;
    }
    const instant now = monotonic_now();
    const microseconds since = now - *context_.stopping_since;
    const bool accepted = context_.settings.drain.may_accept(since, time_left());
    trace_.add(now, "stop_checked",
               {{"since_stop_ms", millis_text(since)},
                {"left_ms", millis_text(time_left())},
                {"accepted", accepted ? "yes" : "no"}});
    if (accepted) {
        return true;
    }
    refuse(status_unavailable, "stopping", stopping_retry_after);
    return false;
}

/// Refuses requests for engines while the gateway is isolated: it reaches neither tokens nor
/// engines, and with an immediate refusal another gateway can serve the caller in time. Plain
/// targets may still be reachable.
bool forwarded_request::check_isolation() {
    if (!admitted_.engine || !context_.is_isolated()) {
        return true;
    }
    refuse(status_unavailable, "isolated", isolated_retry_after);
    return false;
}

/// Refuses a share of the requests while the gateway is overloaded. A stream costs the gateway
/// about ten times as much as another request, so streams are refused first.
bool forwarded_request::check_overload() {
    const double share = context_.overload.refused_share();
    const double refusal_probability = admitted_.engine ? share : 2.0 * share - 1.0;
    if (refusal_probability <= 0.0 || context_.random.unit() >= refusal_probability) {
        return true;
    }
    refuse(status_unavailable, "overloaded", overloaded_retry_after);
    return false;
}

tokens forwarded_request::tokens_per_event() const {
    return admitted_.engine ? admitted_.engine->tokens_per_event : 1;
}

void forwarded_request::set_deadline() {
    microseconds timeout = admitted_.route.timeout;
    if (request_.deadline) {
        timeout = std::min(timeout, *request_.deadline);
    }
    // The time for which the entry held the request back counts against the caller's.
    deadline_ = exchange_->received() - exchange_->waited() + timeout;
}

void forwarded_request::start_deadline_timer() {
    context_.loop.call_after(time_left(), [self = weak_from_this()] {
        if (const auto alive = self.lock()) {
            alive->on_deadline();
        }
    });
}

microseconds forwarded_request::time_left() const {
    return std::max(microseconds(0), deadline_ - monotonic_now());
}

/// Refuses a request that no engine can run. Placed all the same, it would count as work of an
/// engine for which others wait.
bool forwarded_request::check_engine_memory() {
    if (!admitted_.engine || may_hold(*admitted_.engine, request_.prompt.prompt_tokens)) {
        return true;
    }
    refuse(status_unavailable, "larger_than_engines", max_permit_retry_after);
    return false;
}

void forwarded_request::reserve_tokens() {
    if (!admitted_.is_metered) {
        if (check_engine_memory()) {
            dispatch();
        }
        return;
    }
    if (!context_.grants_loaded()) {
        refuse(status_unavailable, "grants_unknown", configuration_retry_after);
        return;
    }
    const tokens most = max_cost(request_.prompt);
    reservation_start_ = monotonic_now();
    trace_.add(reservation_start_, "tokens_asked",
               {{"account", admitted_.account},
                {"most", std::to_string(most)},
                {"free", std::to_string(context_.grants.free_tokens(admitted_.account))},
                {"available", std::to_string(context_.grants.ungranted(admitted_.account))},
                {"left_at_most", std::to_string(context_.grants.max_remaining(admitted_.account))},
                {"limit", std::to_string(context_.grants.limit(admitted_.account))},
                {"home", context_.tokens.describe_allocator(reservation_start_, admitted_.account)},
                {"ledger", context_.describe_ledger()}});
    if (most > context_.grants.limit(admitted_.account)) {
        // No change of what others hold could make it fit.
        apply_reservation_outcome(reserve_outcome::exhausted);
        return;
    }
    if (!check_engine_memory()) {
        return;
    }
    const auto reservation =
        context_.tokens.reserve(reservation_start_, admitted_.account, most,
                                [self = weak_from_this()](reserve_outcome outcome) {
                                    if (const auto alive = self.lock()) {
                                        alive->on_reservation_outcome(outcome);
                                    }
                                });
    if (!reservation.waiting_handle) {
        apply_reservation_outcome(reservation.outcome);
        return;
    }
    token_wait_ = reservation.waiting_handle;
    context_.counters.counter("gateway_token_waits_total") += 1;
}

void forwarded_request::on_reservation_outcome(reserve_outcome outcome) {
    token_wait_.reset();
    apply_reservation_outcome(outcome);
}

void forwarded_request::apply_reservation_outcome(reserve_outcome outcome) {
    const instant now = monotonic_now();
    context_.counters.histogram("gateway_token_wait_ms").observe(now - reservation_start_);
    trace_.add(now, "tokens_answered", {{"outcome", std::string(name_of(outcome))}});
    if (outcome == reserve_outcome::exhausted) {
        fail(status_payment_required, "budget_exhausted");
        return;
    }
    if (outcome == reserve_outcome::short_of_tokens) {
        refuse(status_unavailable, "short_of_tokens",
               context_.grant_log_reachable() ? tokens_retry_after
                                              : context_.settings.log_outage_retry_after);
        return;
    }
    charge_ = request_charge(context_.grants, admitted_.account, request_.prompt.prompt_tokens,
                             request_.prompt.max_output);
    dispatch();
}

/// Sends the request to a target; no other function does. The limits that the target has advertised
/// since it was chosen are checked here: a request that waited for a permit under a limit of fifty
/// a second must not be sent under a limit of half a request a second.
void forwarded_request::send_to(const target_choice& choice, const placed_attempt& attempt,
                                const send_permit& permit) {
    const gateway_target& target = *choice.target;
    const instant now = monotonic_now();
    if (!context_.targets.may_send(now, target.id, permit)) {
        context_.counters.counter("gateway_turns_void_total") += 1;
        trace_.add(now, "turn_void",
                   {{"target", target.id}, {"load", context_.targets.describe(now, target.id)}});
        cancel_placement(attempt);
        dispatch();
        return;
    }
    if (suspicion_.level() == suspicion::quarantined ||
        !suspicion_.begin_attempt(incarnation_of(target))) {
        cancel_placement(attempt);
        refuse_suspect();
        return;
    }
    if (stream_version_ && target.version != *stream_version_) {
        // The coordinator's list of targets is older or newer than this one.
        suspicion_.cancel_attempt();
        cancel_placement(attempt);
        wait_for_versions();
        return;
    }
    if (!rollout_.begin_attempt(now, target)) {
        suspicion_.cancel_attempt();
        cancel_placement(attempt);
        dispatch();
        return;
    }
    allowed_permit_wait_ = microseconds(0);
    target_ = target.id;
    target_version_ = target.version;
    incarnation_ = incarnation_of(target);
    history_.begin_attempt(target.id);
    response_head_ = message_head{};
    response_body_.clear();
    target_refused_ = false;
    streaming_ = false;
    stream_timing_.begin_attempt();
    sent_at_ = now;
    if (history_.attempt_number() == 1) {
        context_.retries.record_first_try(now, admitted_.service);
    }
    trace_continuation();
    record_stream_begin();
    trace_.add(now, "request_sent",
               {{"target", target_},
                {"version", target_version_},
                {"attempt", std::to_string(history_.attempt_number())},
                {"load", context_.targets.describe(now, target_)},
                {"unread_prompt", std::to_string(choice.uncached_tokens)},
                {"copy_from", choice.copy_from == nullptr ? "" : choice.copy_from->id},
                {"price", describe(choice.price)},
                {"keeper", attempt.coordinator},
                {"asked_for_us", std::to_string(attempt.selection_time.count())},
                {"left_ms", millis_text(time_left())}});
    engine_attempt_ = attempt;
    count_by_region("gateway_sent_by_region_total");
    context_.targets.on_sent(target_);
    context_.signals.record_sent(now, target_);
    const std::string_view copy_from =
        choice.copy_from == nullptr ? std::string_view{} : choice.copy_from->address;
    const upstream_request sent =
        make_upstream_request(exchange_, context_.dialect, request_, admitted_, target, copy_from,
                              splitter_.last_event_id(), time_left());
    upstream_call_ = context_.pool_of(target).send(sent, hooks_for(history_.attempt_number()));
    if (!engine_request_) {
        start_silence_timer();
    }
}

upstream_hooks forwarded_request::hooks_for(unsigned attempt) {
    const auto self = weak_from_this();
    const auto when_current = [self, attempt](auto action) {
        const auto alive = self.lock();
        if (alive && !alive->ended_ && alive->history_.attempt_number() == attempt) {
            action(*alive);
        }
    };
    upstream_hooks hooks;
    hooks.belongs = [id = request_.id, name = context_.dialect.request_id](
                        const message_head& head) { return head.header(name) == id; };
    hooks.on_head = [when_current](const message_head& head) {
        when_current([&head](forwarded_request& request) { request.on_head(head); });
    };
    hooks.on_piece = [when_current](std::string_view piece) {
        when_current([piece](forwarded_request& request) { request.on_piece(piece); });
    };
    hooks.on_end = [when_current] {
        when_current([](forwarded_request& request) { request.on_end(); });
    };
    hooks.on_failed = [when_current](upstream_failure failure) {
        when_current([failure](forwarded_request& request) { request.on_failed(failure); });
    };
    return hooks;
}

}  // namespace wrenswitch
