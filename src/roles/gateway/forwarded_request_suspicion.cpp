// The part of forwarded_request that keeps requests from targets that they would crash.

#include "roles/gateway/forwarded_request.hpp"
#include "roles/gateway/retry_after.hpp"
#include "roles/shared/http_status.hpp"

namespace wrenswitch {

/// Fails a request whose content, or a part of whose prompt, is held responsible for crashes of
/// targets, since it would also crash the next one, with all other requests there. Sent on by
/// gateways that did not know of each other's attempts, one such request crashed eleven of twelve
/// engines within 15 s.
bool forwarded_request::check_quarantine() {
    if (suspicion_.level() != suspicion::quarantined) {
        return true;
    }
    fail_quarantined();
    return false;
}

void forwarded_request::record_suspicion_of_response() {
    const bool is_success = !target_refused_ && response_head_.status >= status_ok &&
                            response_head_.status < first_redirection;
    if (is_success && ends_with_connection(response_head_)) {
        suspicion_.record_unconfirmed_response(monotonic_now());
    } else {
        suspicion_.record_response(is_success);
    }
}

/// Refuses a suspected request. While another attempt of it is active, it has to wait for the
/// result of that attempt, which clears or confirms the suspicion.
void forwarded_request::refuse_suspect() {
    if (suspicion_.level() == suspicion::quarantined) {
        fail_quarantined();
        return;
    }
    if (history_.may_have_run()) {
        fail(status_bad_gateway, "suspect_under_way");
        return;
    }
    refuse(status_unavailable, "suspect_under_way", suspect_retry_after);
}

/// Status 502 without a retry time tells the caller that its request failed at targets. It is not
/// charged again.
void forwarded_request::fail_quarantined() {
    const digest* part = suspicion_.quarantined_part();
    if (part == nullptr) {
        fail(status_bad_gateway, "request_quarantined");
        return;
    }
    const instant now = monotonic_now();
    suspicion_.record_refusal();
    const part_record record = context_.suspects.parts().record_of(*part);
    trace_.add(now, "part_quarantined",
               {{"part", part_name(*part)},
                {"ends", std::to_string(record.crashes)},
                {"age_ms", millis_text(now - record.first_crash)}});
    fail(status_bad_gateway, "part_quarantined");
}

/// An attempt whose target writes already either crashes it anyway or shows that the part is sound.
void forwarded_request::abort_if_quarantined(const digest& fingerprint) {
    if (ended_ || cancelled_ || !suspicion_.concerns(fingerprint) ||
        (is_prompt_part(fingerprint) && suspicion_.has_begun_answer())) {
        return;
    }
    if (upstream_call_ == nullptr) {
        fail_quarantined();
        return;
    }
    const bool sent = upstream_call_->sent();
    suspicion_.record_abandonment(monotonic_now());
    end_attempt(attempt_outcome::abandoned, rollout_gate::outcome::inconclusive);
    if (sent) {
        history_.record_possible_run();
        charge_unobserved_output();
    }
    fail_quarantined();
}

}  // namespace wrenswitch
