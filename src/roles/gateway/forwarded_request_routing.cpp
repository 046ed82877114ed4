// The part of forwarded_request that chooses a target and waits for a permit to send to it.

#include <algorithm>
#include <utility>

#include "roles/gateway/forwarded_request.hpp"
#include "roles/gateway/retry_after.hpp"
#include "roles/shared/http_status.hpp"
#include "wrenswitch/core/bounded_number.hpp"

namespace wrenswitch {
namespace {

/// How often a request is retried that a rollout currently allows no version.
constexpr microseconds version_poll_period = milliseconds(40);

/// The longest wait for a send permit if the route has no objective for its first response.
constexpr microseconds default_permit_wait = milliseconds(300);

/// A version that isn't recorded by then may not be for long, since the log doesn't take records.
constexpr microseconds max_record_wait = milliseconds(200);

}  // namespace

void forwarded_request::dispatch() {
    admitted_.regions =
        current_allowed_regions(context_.configuration, admitted_, request_.host, request_.path);
    if (admitted_.engine && request_.prompt.prompt_tokens > 0 && !engine_request_) {
        engine_request_ = {request_.prompt,
                           *admitted_.engine,
                           admitted_.route.first_response_objective,
                           admitted_.route.max_event_gap,
                           {}};
    }
    const auto versions = choose_versions();
    if (versions) {
        choose_target(*versions);
    } else if (stream_version_) {
        refuse_interrupted("stream_version_withdrawn", targets_retry_after);
    } else {
        wait_for_versions();
    }
}

/// Shortly before the deadline of a rollout the old version gets no request that it could not
/// finish, and the new one no more than its bound allows. This lasts at most about 400 ms. The
/// record of a version that has just appeared takes some milliseconds.
void forwarded_request::wait_for_versions() {
    context_.counters.counter("gateway_waits_for_versions_total") += 1;
    context_.loop.call_after(version_poll_period, [self = weak_from_this()] {
        const auto alive = self.lock();
        if (alive && !alive->ended_ && !alive->cancelled_) {
            alive->dispatch();
        }
    });
}

/// Chooses among the targets of the service that the configuration and the rollout allow.
void forwarded_request::choose_target(const version_constraint& versions) {
    const candidate_constraints constraints{admitted_.regions, versions};
    if (!engine_request_) {
        on_target_chosen(
            context_.targets.pick(monotonic_now(), admitted_.service, excluded_targets(),
                                  admitted_.route.first_response_objective,
                                  may_repeat(admitted_.route.kind), constraints),
            {});
        return;
    }
    engine_request_->constraints = constraints;
    set_admission_class();
    const unsigned placement_number = ++placement_count_;
    auto handle = context_.placements.place(
        admitted_.service, *engine_request_, excluded_targets(), time_left(),
        [self = weak_from_this()](const target_choice& chosen, const placed_attempt& attempt) {
            if (const auto alive = self.lock()) {
                alive->on_target_chosen(chosen, attempt);
            }
        });
    if (placement_number == placement_count_) {
        // Otherwise the callback was called at once and has started another choice.
        placement_ = std::move(handle);
    }
}

/// Lets the request take part in admission control where requests of the service compete. One that
/// was sent to a target before does not, since it may have run and must not be refused, and neither
/// does a resumed stream, on which work was done already.
void forwarded_request::set_admission_class() {
    engine_request_->priority.reset();
    const bool is_first_attempt = history_.attempt_number() == 0 && !stream_version_;
    if (is_first_attempt && context_.configuration.has_competing_requests(admitted_.service)) {
        engine_request_->account = admitted_.account;
        engine_request_->priority = admitted_.priority;
    }
}

/// Refuses a request that would cost others more than its own value.
void forwarded_request::refuse_for_others(const target_choice& choice,
                                          const placed_attempt& attempt) {
    trace_.add(monotonic_now(), "engine_share",
               {{"account", admitted_.account},
                {"priority", std::to_string(admitted_.priority)},
                {"retry_ms", millis_text(choice.admission_wait)},
                {"first_event_ms", whole_text(choice.price.first_event_ms)},
                {"backlog_ms", whole_text(choice.price.backlog_ms)},
                {"pause_ms", whole_text(choice.price.pause_ms)},
                {"keeper", attempt.coordinator},
                {"asked_for_us", std::to_string(attempt.selection_time.count())}});
    refuse(status_unavailable, "engine_share", choice.admission_wait);
}

/// The targets that this request is not sent to now: those already tried, and those whose
/// advertised limits or backoffs give this gateway no permit in time.
std::vector<std::string> forwarded_request::excluded_targets() {
    std::vector<std::string> excluded = context_.targets.targets_without_permit(
        monotonic_now(), admitted_.service, make_permit_request());
    excluded.insert(excluded.end(), history_.tried_targets().begin(),
                    history_.tried_targets().end());
    return excluded;
}

/// The longest acceptable wait for a send permit; the higher the priority of a request, the longer.
/// This alone isn't enough, since the most frequent requests would get most of the permits. So
/// requests of lower priority also spare a permit for higher ones.
microseconds forwarded_request::max_permit_wait() const {
    return base_permit_wait() / (1 + admitted_.priority);
}

microseconds forwarded_request::base_permit_wait() const {
    const microseconds objective = admitted_.route.first_response_objective;
    return objective > microseconds(0) ? objective : default_permit_wait;
}

permit_request forwarded_request::make_permit_request() const {
    const bool leave_permit =
        context_.priorities.has_more_urgent(monotonic_now(), admitted_.service, admitted_.priority);
    return {allowed_permit_wait_, leave_permit ? base_permit_wait() : microseconds(0)};
}

void forwarded_request::on_target_chosen(const target_choice& choice,
                                         const placed_attempt& attempt) {
    if (choice.admission == admission_outcome::refuse) {
        refuse_for_others(choice, attempt);
        return;
    }
    if (choice.target == nullptr) {
        on_no_target(choice.all_cold);
        return;
    }
    const std::optional<send_permit> acquired =
        context_.targets.reserve_permit(monotonic_now(), choice.target->id, allowed_permit_wait_);
    if (!acquired) {
        // Another request has taken the permit since the engine's coordinator was queried.
        context_.counters.counter("gateway_turns_lost_total") += 1;
        cancel_placement(attempt);
        dispatch();
        return;
    }
    const send_permit permit{std::max(acquired->wait, choice.wait), acquired->limit_epoch};
    if (permit.wait > microseconds(0)) {
        wait_for_permit(choice, attempt, permit);
    } else {
        send_to(choice, attempt, permit);
    }
}

/// Waits for a send permit: a target that is warming up or advertises a limit gets its requests one
/// after the other. The wait is known and short enough for a response in time, while a refusal
/// would cost the caller its first attempt.
void forwarded_request::wait_for_permit(const target_choice& choice, const placed_attempt& attempt,
                                        const send_permit& permit) {
    trace_.add(monotonic_now(), "turn_awaited",
               {{"target", choice.target->id},
                {"wait_ms", millis_text(permit.wait)},
                {"load", context_.targets.describe(monotonic_now(), choice.target->id)}});
    context_.counters.histogram("gateway_turn_wait_ms").observe(permit.wait);
    pending_send_ =
        pending_send{choice, choice.target->id,
                     choice.copy_from == nullptr ? "" : choice.copy_from->id, attempt, permit};
    context_.loop.call_after(permit.wait, [self = weak_from_this()] {
        const auto alive = self.lock();
        if (alive && alive->pending_send_) {
            alive->on_permit_due();
        }
    });
}

/// The target may have been lost, evacuated or excluded by its region meanwhile; then another one
/// is chosen.
void forwarded_request::on_permit_due() {
    admitted_.regions =
        current_allowed_regions(context_.configuration, admitted_, request_.host, request_.path);
    if (!context_.targets.is_usable(monotonic_now(), pending_send_->target, admitted_.service,
                                    current_constraints())) {
        cancel_pending_send();
        dispatch();
        return;
    }
    pending_send pending = std::move(*pending_send_);
    pending_send_.reset();
    pending.choice.target = context_.targets.find(pending.target);
    const bool may_copy_prefix =
        context_.targets.may_copy(pending.copy_from, pending.target, admitted_.regions);
    pending.choice.copy_from = may_copy_prefix ? context_.targets.find(pending.copy_from) : nullptr;
    send_to(pending.choice, pending.attempt, pending.permit);
}

/// Cancels the wait for a permit, and the attempt that was counted at the engine.
void forwarded_request::cancel_pending_send() {
    if (!pending_send_) {
        return;
    }
    const placed_attempt attempt = std::move(pending_send_->attempt);
    pending_send_.reset();
    cancel_placement(attempt);
}

/// Reports that a chosen engine does not get the request.
void forwarded_request::cancel_placement(const placed_attempt& attempt) {
    if (attempt.id != 0) {
        context_.placements.end_attempt(attempt, attempt_outcome::abandoned);
    }
}

/// Allows the request to wait for a send permit if no target is available without one. Returns true
/// if another choice can now succeed.
bool forwarded_request::enable_permit_wait() {
    if (allowed_permit_wait_ > microseconds(0)) {
        return false;
    }
    if (!context_.targets.has_permit(monotonic_now(), admitted_.service, max_permit_wait())) {
        return false;
    }
    allowed_permit_wait_ = max_permit_wait();
    return true;
}

void forwarded_request::on_no_target(bool all_cold) {
    if (enable_permit_wait()) {
        dispatch();
        return;
    }
    const auto versions = stream_version_
                              ? std::nullopt
                              : without_unrecorded(rollout_.choose_fallback_versions(all_cold));
    if (versions) {
        choose_target(*versions);
    } else if (may_wait_for_record()) {
        wait_for_versions();
    } else {
        refuse_without_target(all_cold);
    }
}

/// True if a version may be recorded in a moment that could then serve the request.
bool forwarded_request::may_wait_for_record() const {
    return monotonic_now() - exchange_->received() < max_record_wait &&
           !unrecorded_versions().empty();
}

/// Refuses a request that no target can serve in time, with the time at which the next permit is
/// due.
void forwarded_request::refuse_without_target(bool all_cold) {
    const auto earliest = context_.targets.earliest_permit(monotonic_now(), admitted_.service);
    if (stream_version_ && !has_target_of_stream_version()) {
        refuse_interrupted("no_target_of_version", version_retry_after);
    } else if (history_.may_have_run()) {
        fail(status_bad_gateway, "no_target_left");
    } else if (!unrecorded_versions().empty()) {
        refuse(status_unavailable, "version_not_recorded", targets_retry_after);
    } else if (all_cold) {
        refuse(status_unavailable, "targets_cold", permit_retry_after);
    } else if (earliest) {
        refuse(status_unavailable, earliest->is_backoff ? "targets_resting" : "targets_limited",
               std::clamp(earliest->wait, permit_retry_after, max_permit_retry_after));
    } else if (admitted_.regions) {
        refuse(status_unavailable, "no_target_in_allowed_regions", targets_retry_after);
    } else {
        refuse(status_unavailable, "no_target", targets_retry_after);
    }
}

/// The time after which the caller should retry: soon if another target is available, else when the
/// first backoff ends or the first permit is due.
microseconds forwarded_request::next_target_retry_after() {
    const instant now = monotonic_now();
    if (context_.targets.has_untried(now, admitted_.service, excluded_targets(),
                                     current_constraints())) {
        return targets_retry_after;
    }
    const auto earliest = context_.targets.earliest_permit(now, admitted_.service);
    return earliest ? std::clamp(earliest->wait, targets_retry_after, max_permit_retry_after)
                    : targets_retry_after;
}

}  // namespace wrenswitch
