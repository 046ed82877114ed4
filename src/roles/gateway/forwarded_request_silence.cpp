// The part of forwarded_request that handles targets that don't respond or can't be connected to.

#include <algorithm>

#include "roles/gateway/forwarded_request.hpp"
#include "roles/gateway/retry_after.hpp"
#include "roles/shared/http_status.hpp"

namespace wrenswitch {
namespace {

/// A failed connection attempt counts as unresponsiveness of the target from this duration on. A
/// target that refuses a connection does so at once, whatever the link does.
constexpr microseconds min_unresponsive_time = milliseconds(300);

}  // namespace

void forwarded_request::start_silence_timer() {
    const instant due = silence_deadline(monotonic_now());
    context_.loop.call_after(std::max(microseconds(0), due - monotonic_now()),
                             [self = weak_from_this(), due, attempt = history_.attempt_number()] {
                                 const auto alive = self.lock();
                                 if (alive && !alive->ended_ && alive->upstream_call_ &&
                                     alive->history_.attempt_number() == attempt) {
                                     alive->check_silence(due);
                                 }
                             });
}

instant forwarded_request::silence_deadline(instant now) const {
    return sent_at_ + context_.plain_response_times.silence_threshold(
                          admitted_.service, context_.targets.slowdown_of(now, target_));
}

/// The target may have reported a slowdown with other responses since the timer was started.
void forwarded_request::check_silence(instant due) {
    const instant now = monotonic_now();
    if (context_.targets.slowdown_of(now, target_) > 1.0 && silence_deadline(now) > due) {
        start_silence_timer();
        return;
    }
    on_target_unresponsive();
}

/// A target that hangs looks healthy to all other checks: it accepts connections and reports that
/// it is ready. One of four targets that hung for 7 s cost 160 requests, each of which waited for
/// its deadline. Detecting the silence reduces the cost to one request per gateway, and to none if
/// the request may be repeated.
void forwarded_request::on_target_unresponsive() {
    if (response_head_.status != 0 || !upstream_call_->sent()) {
        return;
    }
    const instant now = monotonic_now();
    context_.counters.counter("gateway_targets_silent_total") += 1;
    trace_.add(now, "target_silent",
               {{"target", target_}, {"after_ms", millis_text(now - sent_at_)}});
    context_.targets.on_unresponsive(now, target_);
    if (cancelled_ || !may_repeat(admitted_.route.kind)) {
        return;
    }
    if (!context_.targets.has_untried(now, admitted_.service, excluded_targets(),
                                      current_constraints())) {
        // The target may still respond, and no other target is available.
        return;
    }
    if (try_acquire_retry()) {
        history_.record_possible_run();
        suspicion_.record_abandonment(now);
        end_attempt(attempt_outcome::abandoned, rollout_gate::outcome::failed);
        dispatch();
    }
}

/// The connection to the target could not be opened, so the request may be sent to another one.
void forwarded_request::on_attempt_unsent() {
    history_.record_unsent();
    if (admitted_.engine && monotonic_now() - sent_at_ >= min_unresponsive_time) {
        context_.record_unresponsive_target(target_);
    }
    if (refuse_futile_resend()) {
        return;
    }
    const bool can_resend_unsent = history_.can_retry_unsent() && time_left() > microseconds(0);
    if (can_resend_unsent && !context_.is_isolated()) {
        context_.retries.record_unbudgeted_retry(admitted_.service);
        dispatch();
        return;
    }
    if (history_.may_have_run()) {
        fail(status_bad_gateway, "target_lost");
        return;
    }
    refuse(status_unavailable, "targets_unreachable", targets_retry_after);
}

/// Refuses a request that could not be sent while the entry's own link is saturated. Another
/// attempt would queue behind the same bytes and end in another connection timeout of 400 ms.
bool forwarded_request::refuse_futile_resend() {
    const instant now = monotonic_now();
    if (now - sent_at_ < min_unresponsive_time || history_.may_have_run() ||
        !context_.sharing.is_resend_futile()) {
        return false;
    }
    context_.sharing.trace_state(now, trace_, "resend_refused", admitted_.key_owner,
                                 exchange_->waited());
    context_.counters.counter("gateway_link_resends_refused_total") += 1;
    refuse(status_unavailable, "link_share",
           context_.sharing.retry_after(now, admitted_.key_owner, admitted_.priority));
    return true;
}

}  // namespace wrenswitch
