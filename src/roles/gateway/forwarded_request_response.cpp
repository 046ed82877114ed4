// The part of forwarded_request that handles the response of a target and the end of an attempt.

#include <algorithm>
#include <utility>

#include "roles/gateway/forwarded_request.hpp"
#include "roles/gateway/retry_after.hpp"
#include "roles/shared/http_status.hpp"

namespace wrenswitch {
namespace {

/// How long a target has to end a cancelled attempt, before the largest possible output is charged.
constexpr microseconds cancellation_timeout = milliseconds(250);

/// The longest event of a stream. A target that sends more without ending one is broken.
constexpr std::size_t max_event_bytes = 1024U * 1024U;

/// Events of a stream that hold no token of the response, such as its last one.
constexpr std::size_t max_empty_events = 8;

/// True for statuses that tell a caller that the request did not run. They are not forwarded if the
/// target did not state explicitly that the request did not run.
bool implies_not_run(unsigned status) {
    return status == status_unavailable || status == status_too_many_requests ||
           status == status_request_timeout || status == status_misdirected;
}

}  // namespace

void forwarded_request::on_head(const message_head& head) {
    const instant now = monotonic_now();
    record_engine_contact();
    suspicion_.record_activity(now);
    if (head.status != status_misdirected) {
        // With status 421 another target has the address, and the headers describe that one.
        context_.signals.on_response(now, incarnation_, sent_at_, request_.id,
                                     context_.dialect.read_signals(head));
    }
    context_.counters.histogram("gateway_target_ms").observe(now - sent_at_);
    if (!engine_request_) {
        context_.plain_response_times.observe(admitted_.service, now - sent_at_);
    }
    trace_.add(now, "target_answered",
               {{"target", target_},
                {"status", std::to_string(head.status)},
                {"body_end", ends_with_connection(head) ? "connection" : "known"},
                {"after_ms", millis_text(now - sent_at_)}});
    response_head_ = head;
    target_refused_ = head.count(context_.dialect.not_run) > 0 || head.status == status_misdirected;
    if (target_refused_) {
        return;
    }
    history_.record_possible_run();
    rollout_.record_target_reached();
    charge_.charge_prompt(now);
    streaming_ = is_stream(admitted_.route.kind) && head.status == status_ok;
    if (!streaming_) {
        suspicion_.record_answer_progress(now);
        rollout_.record_first_event(now);
    }
}

/// Records that the gateway reaches an engine. Engines run on hosts of the fleet itself, so a
/// response from one shows that the gateway isn't isolated.
void forwarded_request::record_engine_contact() {
    if (admitted_.engine) {
        context_.record_engine_contact();
    }
}

void forwarded_request::on_piece(std::string_view piece) {
    if (streaming_) {
        forward_stream(piece);
        return;
    }
    if (!response_body_.append(piece)) {
        on_failed(upstream_failure::malformed);
    }
}

/// True if these further events are more than a prepaid request allows. Each holds a token at
/// least, so a target that goes on hands out what the account has not reserved.
bool forwarded_request::exceeds_bound(std::size_t events) const {
    const tokens allowed = request_.prompt.max_output;
    const std::size_t count = stream_timing_.event_count() + events;
    return admitted_.is_metered && allowed > 0 &&
           std::cmp_greater(count, allowed + tokens{max_empty_events});
}

void forwarded_request::forward_stream(std::string_view piece) {
    const complete_events complete = splitter_.add(piece);
    if (splitter_.partial_bytes() > max_event_bytes || exceeds_bound(complete.count)) {
        on_failed(upstream_failure::malformed);
        return;
    }
    if (complete.count == 0) {
        return;
    }
    record_events(complete.count);
    charge_.charge_output(stream_timing_.last_event_at(),
                          tokens_per_event() * static_cast<tokens>(complete.count));
    if (cancelled_) {
        return;
    }
    if (!caller_response_.started()) {
        stream_version_ = target_version_;
        context_.streams.bind_stream(request_.id, stream_account());
        context_.counters.histogram("gateway_first_event_ms")
            .observe(monotonic_now() - exchange_->received());
        record_first_response();
    }
    if (!caller_response_.send_events(response_head_, complete.bytes)) {
        on_caller_disconnected();
    }
}

/// Records the arrival of events, and traces a gap that is longer than the route's maximum.
void forwarded_request::record_events(std::size_t count) {
    const instant now = monotonic_now();
    suspicion_.record_activity(now);
    suspicion_.record_answer_progress(now);
    const bool is_first = stream_timing_.event_count() == 0;
    const microseconds gap = stream_timing_.record_events(now, count);
    if (is_first) {
        context_.placements.record_first_event(engine_attempt_);
        rollout_.record_first_event(now);
        return;
    }
    if (const std::optional<microseconds> span = stream_timing_.take_span()) {
        context_.placements.record_event_span(engine_attempt_, *span);
        record_engine_contact();
    }
    context_.event_gaps.observe(gap);
    const microseconds max_gap = admitted_.route.max_event_gap;
    if (max_gap > microseconds(0) && gap > max_gap) {
        context_.counters.counter("gateway_late_pauses_total") += 1;
        trace_.add(now, "stream_paused",
                   {{"target", target_},
                    {"pause_ms", millis_text(gap)},
                    {"load", context_.targets.describe(now, target_)}});
    }
}

void forwarded_request::on_end() {
    const bool responded_ok = response_head_.status < first_server_error || target_refused_;
    if (cancelled_) {
        suspicion_.record_abandonment(monotonic_now());
        end_attempt(attempt_outcome::abandoned, rollout_gate::outcome::inconclusive);
        finish_cancellation();
        return;
    }
    if (streaming_ && is_stream_broken_off()) {
        on_failed(upstream_failure::cut_short);
        return;
    }
    if (ends_with_connection(response_head_) && upstream_call_) {
        trace_.add(monotonic_now(), "ended_with_connection",
                   {{"target", target_},
                    {"request_unsent", std::to_string(upstream_call_->unsent_bytes())}});
    }
    record_suspicion_of_response();
    const auto attempt_outcome =
        responded_ok ? rollout_gate::outcome::succeeded : rollout_gate::outcome::failed;
    end_attempt(responded_ok ? attempt_outcome::succeeded : attempt_outcome::error_response,
                target_refused_ ? rollout_gate::outcome::inconclusive : attempt_outcome);
    context_.targets.on_response(monotonic_now(), target_, responded_ok);
    if (target_refused_) {
        if (response_head_.status == status_misdirected) {
            // Another incarnation of the target has its address.
            context_.targets.remove(monotonic_now(), target_);
            context_.targets.on_failure(monotonic_now(), target_);
        }
        handle_refusal();
        return;
    }
    if (streaming_) {
        end_stream();
        return;
    }
    handle_response();
}

/// True if the target ended the stream inside an event, or without length before it sent one:
/// whether a stream that another target began was complete can't be told from that.
bool forwarded_request::is_stream_broken_off() const {
    const bool is_empty = stream_timing_.event_count() == 0;
    return splitter_.has_partial_event() || (is_empty && ends_with_connection(response_head_));
}

void forwarded_request::end_stream() {
    caller_response_.end_stream(response_head_);
    finish("served", response_head_.status);
}

void forwarded_request::handle_response() {
    const bool failure = response_head_.status >= first_server_error;
    if (failure && retry()) {
        return;
    }
    if (implies_not_run(response_head_.status)) {
        fail(status_bad_gateway, "target_answered_" + std::to_string(response_head_.status));
        return;
    }
    forward_response();
}

void forwarded_request::handle_refusal() {
    history_.record_refusal();
    if (retry()) {
        return;
    }
    if (history_.may_have_run()) {
        fail(status_bad_gateway, "refused_after_a_run");
        return;
    }
    refuse(status_unavailable, "target_refused_" + std::to_string(response_head_.status),
           next_target_retry_after());
}

/// Forwards the target's complete response unchanged.
void forwarded_request::forward_response() {
    if (caller_response_.started()) {
        abort_response("resumed_with_" + std::to_string(response_head_.status));
        return;
    }
    record_first_response();
    caller_response_.send_complete(response_head_, response_body_.bytes());
    finish("served", response_head_.status);
}

void forwarded_request::end_attempt(attempt_outcome end, rollout_gate::outcome rollout_outcome) {
    upstream_call_.reset();
    rollout_.end_attempt(rollout_outcome, stream_timing_.mean_event_interval());
    context_.targets.on_finished(target_);
    const placed_attempt attempt = std::exchange(engine_attempt_, {});
    if (attempt.id != 0) {
        context_.placements.end_attempt(attempt, end);
    }
}

void forwarded_request::on_failed(upstream_failure failure) {
    const std::size_t request_unsent = upstream_call_ ? upstream_call_->unsent_bytes() : 0;
    // A request that crashes targets of both versions is no evidence against either.
    const bool is_inconclusive = cancelled_ || failure == upstream_failure::not_sent ||
                                 suspicion_.level() != suspicion::none;
    if (cancelled_) {
        suspicion_.record_abandonment(monotonic_now());
    } else {
        suspicion_.record_connection_failure(monotonic_now(), failure);
    }
    end_attempt(
        cancelled_ ? attempt_outcome::abandoned : attempt_outcome::failed,
        is_inconclusive ? rollout_gate::outcome::inconclusive : rollout_gate::outcome::failed);
    if (cancelled_) {
        if (failure != upstream_failure::cut_short) {
            charge_unobserved_output();
        }
        finish_cancellation();
        return;
    }
    trace_.add(monotonic_now(), "attempt_failed",
               {{"target", target_},
                {"attempt", std::to_string(history_.attempt_number())},
                {"failure", std::string(name_of(failure))},
                {"request_unsent", std::to_string(request_unsent)},
                {"fingerprint", suspicion_.fingerprint().to_hex()},
                {"parts", suspicion_.describe_parts()},
                {"held", std::string(name_of(suspicion_.level()))},
                {"after_ms", millis_text(monotonic_now() - sent_at_)}});
    context_.targets.on_failure(monotonic_now(), target_);
    if (failure == upstream_failure::not_sent) {
        on_attempt_unsent();
        return;
    }
    history_.record_possible_run();
    on_attempt_interrupted();
}

/// Handles the end of an attempt that may have run and has no complete response.
void forwarded_request::on_attempt_interrupted() {
    splitter_.discard_partial_event();
    charge_unobserved_output();
    if (retry()) {
        return;
    }
    fail(status_bad_gateway, "target_lost");
}

/// Returns true if the request may be retried at another target: the response can be continued from
/// there, and the retry budget, from which one retry is taken, allows it.
bool forwarded_request::try_acquire_retry() {
    const bool can_continue = !caller_response_.started() || !splitter_.last_event_id().empty();
    const bool may_retry = can_continue && suspicion_.level() == suspicion::none &&
                           time_left() > microseconds(0) &&
                           history_.can_resend(admitted_.route.kind, admitted_.route.max_attempts);
    if (!may_retry) {
        return false;
    }
    const instant now = monotonic_now();
    const double allowed = context_.retries.available_retries(now, admitted_.service);
    const bool acquired = context_.retries.try_acquire_retry(now, admitted_.service);
    trace_.add(now, acquired ? "retry_taken" : "retry_denied",
               {{"service", admitted_.service}, {"allowed", std::to_string(allowed)}});
    return acquired;
}

/// Sends the request to another target if a retry is allowed. Returns false if not.
bool forwarded_request::retry() {
    if (!try_acquire_retry()) {
        return false;
    }
    dispatch();
    return true;
}

void forwarded_request::on_deadline() {
    if (ended_ || cancelled_) {
        return;
    }
    if (abandon_attempt(outcome_at_deadline())) {
        fail(status_gateway_timeout, "deadline");
        return;
    }
    refuse(status_unavailable, "deadline_before_sending", targets_retry_after);
}

void forwarded_request::end_for_shutdown() {
    if (ended_) {
        return;
    }
    if (cancelled_) {
        finish_cancellation();
        return;
    }
    if (abandon_attempt(rollout_gate::outcome::inconclusive)) {
        fail(status_bad_gateway, "stopped_while_running");
        return;
    }
    refuse(status_unavailable, "stopping", stopping_retry_after);
}

/// Ends the current attempt, if there is one, before its response is complete. Returns true if the
/// request may have run. `outcome_if_sent` is what the attempt then tells of its version.
bool forwarded_request::abandon_attempt(rollout_gate::outcome outcome_if_sent) {
    const bool sent = upstream_call_ != nullptr && upstream_call_->sent();
    suspicion_.record_abandonment(monotonic_now());
    if (upstream_call_) {
        end_attempt(attempt_outcome::abandoned,
                    sent ? outcome_if_sent : rollout_gate::outcome::inconclusive);
    }
    if (sent) {
        history_.record_possible_run();
        charge_unobserved_output();
    }
    return history_.may_have_run();
}

/// A target that had the request for at least half of the time that the caller allowed and did not
/// finish it counts as failed. One that received it later is inconclusive.
rollout_gate::outcome forwarded_request::outcome_at_deadline() const {
    const microseconds attempt_time = deadline_ - sent_at_;
    const microseconds request_time = deadline_ - exchange_->received();
    return attempt_time * 2 >= request_time ? rollout_gate::outcome::failed
                                            : rollout_gate::outcome::inconclusive;
}

void forwarded_request::on_rollout_order(const std::string& service) {
    if (!ended_ && upstream_call_ != nullptr && admitted_.service == service) {
        rollout_.adopt_order(context_.targets.find(target_));
    }
}

/// Cancels the current attempt. A target that had not started the request closes the connection
/// without a response, so that the account is not charged for output that the caller could not have
/// received.
void forwarded_request::on_caller_disconnected() {
    if (ended_ || cancelled_) {
        return;
    }
    cancelled_ = true;
    token_wait_.reset();
    origin_question_.reset();
    placement_.reset();
    cancel_pending_send();
    if (upstream_call_ == nullptr || !upstream_call_->sent()) {
        finish_cancellation();
        return;
    }
    upstream_call_->call_off();
    context_.loop.call_after(cancellation_timeout, [self = weak_from_this()] {
        if (const auto alive = self.lock()) {
            alive->charge_unobserved_output();
            alive->finish_cancellation();
        }
    });
}

void forwarded_request::finish_cancellation() {
    if (ended_) {
        return;
    }
    if (upstream_call_) {
        suspicion_.record_abandonment(monotonic_now());
        end_attempt(attempt_outcome::abandoned, rollout_gate::outcome::inconclusive);
    }
    finish("caller_gone", 0);
}

}  // namespace wrenswitch
