// The part of forwarded_request that ends a request.

#include "roles/gateway/forwarded_request.hpp"
#include "roles/shared/http_status.hpp"

namespace wrenswitch {
namespace {

/// Events that may be in transit when a response ends unobserved, in addition to those that the
/// time since the last event allows.
constexpr tokens unobserved_events = 8;

/// Formats the allowed regions for logs.
std::string describe(const allowed_regions& regions) {
    if (!regions) {
        return "any";
    }
    std::string names;
    for (const std::string& region : *regions) {
        names += (names.empty() ? "" : ",") + region;
    }
    return names.empty() ? "none" : names;
}

}  // namespace

void forwarded_request::refuse(unsigned status, std::string_view reason, microseconds retry_after) {
    if (caller_response_.started()) {
        abort_response(reason);
        return;
    }
    caller_response_.refuse(request_.id, status, reason, retry_after);
    finish(reason, status);
}

/// Refuses a stream that can't continue anywhere. If a target may have run this request, the caller
/// is not told that it didn't run.
void forwarded_request::refuse_interrupted(std::string_view reason, microseconds retry_after) {
    if (history_.may_have_run()) {
        fail(status_bad_gateway, reason);
        return;
    }
    refuse(status_unavailable, reason, retry_after);
}

/// Charges the tokens that the target of an attempt may have produced since its last event. To be
/// called once per attempt, when its connection is closed: this process can receive nothing more
/// then.
void forwarded_request::charge_unobserved_output() {
    const instant now = monotonic_now();
    const microseconds silence = now - std::max(sent_at_, stream_timing_.last_event_at());
    const tokens possible_tokens = silence / context_.settings.min_time_per_token;
    charge_.charge_unobserved(now, possible_tokens + tokens_per_event() * unobserved_events);
}

/// Closes a started response that can't be completed, so that the caller sees that it is
/// incomplete.
void forwarded_request::abort_response(std::string_view reason) {
    caller_response_.abort();
    finish(reason, 0);
}

void forwarded_request::fail(unsigned status, std::string_view reason) {
    if (caller_response_.started()) {
        abort_response(reason);
        return;
    }
    caller_response_.fail(request_.id, status, reason);
    finish(reason, status);
}

/// Counts a response, or the first event of a stream, that is later than the objective of its
/// route, and keeps how full the link was meanwhile.
void forwarded_request::record_first_response() {
    const microseconds objective = admitted_.route.first_response_objective;
    if (objective > microseconds(0) &&
        monotonic_now() - exchange_->received() + exchange_->waited() > objective) {
        count_by_region("gateway_late_by_region_total");
        context_.sharing.record_late(monotonic_now(), admitted_.key_owner);
        late_peak_ = peak_while_waiting();
    }
}

std::optional<link_peak> forwarded_request::peak_while_waiting() const {
    return context_.sharing.peak_since(monotonic_now(),
                                       exchange_->received() - exchange_->waited());
}

bool forwarded_request::is_due_to_another_account(const std::optional<link_peak>& peak) const {
    return peak && !peak->account.empty() && peak->account != admitted_.key_owner;
}

/// Increments a counter that is labelled with the region of this gateway, to which the caller
/// connected, and that of the last target. The label is empty for a failure domain without a region
/// or if there is no target.
void forwarded_request::count_by_region(std::string_view counter) const {
    const gateway_settings& settings = context_.settings;
    const metric_label caller{"caller", settings.regions.region_of(settings.failure_domain)};
    const metric_label target{"target", context_.targets.region_of(target_)};
    context_.counters.counter(labelled(counter, {caller, target})) += 1;
}

/// Counts the outcome and logs the trace: of every request that failed, of every one that was late
/// while another account used the link the most, and of a sample of the others.
void forwarded_request::record_end(std::string_view outcome, unsigned status) {
    const bool served = outcome == "served" && status < first_server_error;
    const instant now = monotonic_now();
    const microseconds duration = now - exchange_->received();
    const std::string_view outcome_label = served ? "served" : (status == 0 ? "cut" : "failed");
    count_by_region(status == status_unavailable ? "gateway_refused_by_region_total"
                                                 : "gateway_requests_by_region_total");
    context_.counters.histogram(labelled("gateway_request_ms", {{"outcome", outcome_label}}))
        .observe(duration);
    const std::optional<link_peak> peak = served || late_peak_ ? late_peak_ : peak_while_waiting();
    trace_end(now, outcome, status, served, peak);
    const bool should_log =
        !served || resumes_stream() || is_due_to_another_account(peak) ||
        request_trace::is_sampled(trace_.id(), context_.settings.log_served_percent);
    if (should_log) {
        context_.log.log_request(trace_, !served);
    }
}

void forwarded_request::trace_end(instant now, std::string_view outcome, unsigned status,
                                  bool served, const std::optional<link_peak>& peak) {
    const bool has_content = !served && !admitted_.service.empty();
    std::vector<log_field> fields{
        {"outcome", std::string(outcome)},
        {"status", std::to_string(status)},
        {"route", admitted_.route.name},
        {"configuration", std::to_string(context_.configuration.current().version)},
        {"account", admitted_.account},
        {"fingerprint", has_content ? suspicion_.fingerprint().to_hex() : ""},
        {"parts", has_content ? suspicion_.describe_parts() : ""},
        {"target", target_},
        {"version", target_version_},
        {"target_region", std::string(context_.targets.region_of(target_))},
        {"allowed_regions", describe(admitted_.regions)},
        {"attempts", std::to_string(history_.attempt_number())},
        {"tokens", std::to_string(charge_.spent())},
        {"prompt", std::to_string(charge_.prompt_spent())},
        {"longest_pause_ms", millis_text(stream_timing_.longest_gap())},
        {"took_ms", millis_text(now - exchange_->received())}};
    if (peak) {
        link_sharing::append_peak(fields, *peak);
    }
    trace_.add(now, "request_ended", fields);
}

void forwarded_request::finish(std::string_view outcome, unsigned status) {
    ended_ = true;
    token_wait_.reset();
    origin_question_.reset();
    placement_.reset();
    cancel_pending_send();
    charge_.settle();
    if (outcome == "served") {
        context_.streams.end_stream(request_.id, stream_account());
        context_.sharing.record_response(admitted_.route.name, caller_response_.sent_bytes());
    }
    context_.counters.counter("gateway_outcome_" + std::string(outcome) + "_total") += 1;
    record_end(outcome, status);
    context_.loop.call_after(microseconds(0),
                             [&requests = context_.active_requests, self = shared_from_this()] {
                                 requests.erase(self);
                             });
}

}  // namespace wrenswitch
