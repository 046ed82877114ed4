// What a forwarded request does from its target's answer on.

#include <algorithm>
#include <utility>

#include "roles/gateway/forwarded_request.hpp"
#include "roles/gateway/http_status.hpp"
#include "roles/gateway/retry_after.hpp"

namespace wrenswitch {
namespace {

/// A target that refuses a connection does so at once; one that takes longer says nothing.
constexpr microseconds least_silence = milliseconds(300);

/// Events that may be on their way when an answer ends unseen, beside what its silence allows.
constexpr tokens unseen_events = 8;

/// How long a target has to end a run that was called off, before the worst is assumed.
constexpr microseconds longest_call_off = milliseconds(250);

/// A target that says these without saying that it did not run a request promises too much.
bool promises_not_run(unsigned status) {
    return status == status_unavailable || status == status_too_many || status == status_timeout ||
           status == status_misdirected;
}

/// Where a request may be, for logs.
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

void forwarded_request::on_head(const message_head& head) {
    const instant now = monotonic_now();
    note_life();
    suspicion_.heard(now);
    if (head.status != status_misdirected) {
        // Else another target has the address, and speaks of itself.
        context_.signals.heard(now, life_, sent_at_, request_.id,
                               context_.dialect.read_signals(head));
    }
    context_.counters.histogram("gateway_target_ms").observe(now - sent_at_);
    if (!engine_request_) {
        context_.plain_answers.observe(admitted_.service, now - sent_at_);
    }
    trace_.add(now, "target_answered",
               {{"target", target_},
                {"status", std::to_string(head.status)},
                {"after_ms", millis_text(now - sent_at_)}});
    answer_ = head;
    answer_refused_ = head.count(context_.dialect.not_run) > 0 || head.status == status_misdirected;
    if (answer_refused_) {
        return;
    }
    history_.record_possible_run();
    rollout_.note_reached();
    charge_.prompt_read(now);
    streaming_ = is_stream(admitted_.route.kind) && head.status == status_ok;
    if (!streaming_) {
        rollout_.note_first(now);
    }
}

/// Engines stand on the fleet's own hosts: one that answers shows that this entry reaches them.
void forwarded_request::note_life() {
    if (admitted_.engine) {
        context_.heard();
    }
}

void forwarded_request::on_piece(std::string_view piece) {
    if (streaming_) {
        pass_stream(piece);
        return;
    }
    answer_body_.append(piece);
}

void forwarded_request::pass_stream(std::string_view piece) {
    const whole_events whole = events_.add(piece);
    if (whole.count == 0) {
        return;
    }
    note_events(whole.count);
    charge_.handed_out(stream_.last(), tokens_per_event() * static_cast<tokens>(whole.count));
    if (called_off_) {
        return;
    }
    if (!to_caller_.begun()) {
        context_.counters.histogram("gateway_first_event_ms")
            .observe(monotonic_now() - exchange_->received());
        note_first_answer();
    }
    if (!to_caller_.pass_events(answer_, whole.bytes)) {
        caller_gone();
    }
}

/// Learns from the times at which events come, and keeps what held one up for too long.
void forwarded_request::note_events(std::size_t count) {
    const instant now = monotonic_now();
    suspicion_.heard(now);
    const bool first = stream_.events() == 0;
    const microseconds gap = stream_.note(now, count);
    if (first) {
        context_.placements.first_event(run_);
        rollout_.note_first(now);
        return;
    }
    if (const std::optional<microseconds> span = stream_.take_span()) {
        context_.placements.next_events(run_, *span);
        note_life();
    }
    context_.pauses.observe(gap);
    const microseconds bound = admitted_.route.max_event_gap;
    if (bound > microseconds(0) && gap > bound) {
        context_.counters.counter("gateway_late_pauses_total") += 1;
        trace_.add(now, "stream_paused",
                   {{"target", target_},
                    {"pause_ms", millis_text(gap)},
                    {"load", context_.targets.describe(now, target_)}});
    }
}

void forwarded_request::on_end() {
    const bool well = answer_.status < first_server_error || answer_refused_;
    if (called_off_) {
        suspicion_.left(monotonic_now());
        end_attempt(run_end::left, rollout_gate::outcome::inconclusive);
        call_off_ended();
        return;
    }
    const bool whole = well && !(streaming_ && events_.has_rest());
    const bool is_success = answer_.status >= status_ok && answer_.status < first_redirection;
    suspicion_.answered(whole && is_success && !answer_refused_);
    const auto answer = whole ? rollout_gate::outcome::succeeded : rollout_gate::outcome::failed;
    end_attempt(well ? run_end::answered_well : run_end::answered_badly,
                answer_refused_ ? rollout_gate::outcome::inconclusive : answer);
    context_.targets.on_response(monotonic_now(), target_, well);
    if (answer_refused_) {
        if (answer_.status == status_misdirected) {
            // Another life of the target has its address.
            context_.targets.remove(monotonic_now(), target_);
            context_.targets.on_failure(monotonic_now(), target_);
        }
        answer_refused();
        return;
    }
    if (streaming_) {
        end_stream();
        return;
    }
    answer_complete();
}

void forwarded_request::end_stream() {
    if (events_.has_rest()) {
        attempt_broken();
        return;
    }
    to_caller_.end_stream(answer_);
    finish("served", answer_.status);
}

void forwarded_request::answer_complete() {
    const bool failure = answer_.status >= first_server_error;
    if (failure && try_again()) {
        return;
    }
    if (promises_not_run(answer_.status)) {
        fail(status_bad_gateway, "target_answered_" + std::to_string(answer_.status));
        return;
    }
    pass_answer();
}

void forwarded_request::answer_refused() {
    history_.record_refusal();
    if (try_again()) {
        return;
    }
    if (history_.may_have_run()) {
        fail(status_bad_gateway, "refused_after_a_run");
        return;
    }
    refuse(status_unavailable, "target_refused_" + std::to_string(answer_.status),
           until_another_target());
}

/// The target's own answer, as it came.
void forwarded_request::pass_answer() {
    if (to_caller_.begun()) {
        cut("resumed_with_" + std::to_string(answer_.status));
        return;
    }
    note_first_answer();
    to_caller_.pass_whole(answer_, answer_body_);
    finish("served", answer_.status);
}

void forwarded_request::end_attempt(run_end how, rollout_gate::outcome answer) {
    call_.reset();
    rollout_.end(answer, stream_.pace());
    context_.targets.on_finished(target_);
    const placed_run run = std::exchange(run_, {});
    if (run.number != 0) {
        context_.placements.ended(run, how);
    }
}

void forwarded_request::on_failed(upstream_failure failure) {
    // What ends targets of one version and of another says nothing of either.
    const bool says_nothing = called_off_ || failure == upstream_failure::not_sent ||
                              suspicion_.held() != suspicion::none;
    if (called_off_) {
        suspicion_.left(monotonic_now());
    } else {
        suspicion_.broke(monotonic_now(), failure);
    }
    end_attempt(called_off_ ? run_end::left : run_end::failed,
                says_nothing ? rollout_gate::outcome::inconclusive : rollout_gate::outcome::failed);
    if (called_off_) {
        if (failure != upstream_failure::cut_short) {
            assume_unseen();
        }
        call_off_ended();
        return;
    }
    trace_.add(monotonic_now(), "attempt_failed",
               {{"target", target_},
                {"attempt", std::to_string(history_.attempt_number())},
                {"failure", std::string(name_of(failure))},
                {"fingerprint", suspicion_.fingerprint().to_hex()},
                {"held", std::string(name_of(suspicion_.held()))},
                {"after_ms", millis_text(monotonic_now() - sent_at_)}});
    context_.targets.on_failure(monotonic_now(), target_);
    if (failure == upstream_failure::not_sent) {
        attempt_unsent();
        return;
    }
    history_.record_possible_run();
    attempt_broken();
}

/// The target couldn't be connected to, so that another may be offered the request.
void forwarded_request::attempt_unsent() {
    history_.record_unsent();
    if (admitted_.engine && monotonic_now() - sent_at_ >= least_silence) {
        context_.target_silent(target_);
    }
    const bool may_offer = history_.can_retry_unsent() && time_left() > microseconds(0);
    if (may_offer && !context_.isolated()) {
        context_.retries.followed_unsent(admitted_.service);
        dispatch();
        return;
    }
    if (history_.may_have_run()) {
        fail(status_bad_gateway, "target_lost");
        return;
    }
    refuse(status_unavailable, "targets_unreachable", until_targets);
}

/// An attempt that may have run ended without a whole answer.
void forwarded_request::attempt_broken() {
    events_.drop_rest();
    assume_unseen();
    if (try_again()) {
        return;
    }
    fail(status_bad_gateway, "target_lost");
}

/// A suspect that is under way elsewhere waits for the end of that run, which clears it or doesn't.
void forwarded_request::refuse_suspect() {
    const bool quarantined = suspicion_.held() == suspicion::quarantined;
    if (quarantined || history_.may_have_run()) {
        fail(status_bad_gateway, quarantined ? "request_quarantined" : "suspect_under_way");
        return;
    }
    refuse(status_unavailable, "suspect_under_way", until_suspect_ended);
}

void forwarded_request::stop_if_quarantined(const digest& request) {
    if (ended_ || called_off_ || call_ == nullptr || !suspicion_.is_under_way(request)) {
        return;
    }
    const bool sent = call_->sent();
    suspicion_.left(monotonic_now());
    end_attempt(run_end::left, rollout_gate::outcome::inconclusive);
    if (sent) {
        history_.record_possible_run();
        assume_unseen();
    }
    fail(status_bad_gateway, "request_quarantined");
}

/// True if the request may go to another target: the answer can go on from there, and the retries
/// allow it, of which this takes one.
bool forwarded_request::take_retry() {
    const bool can_go_on = !to_caller_.begun() || !events_.last_id().empty();
    const bool may_try = can_go_on && suspicion_.held() == suspicion::none &&
                         time_left() > microseconds(0) &&
                         history_.can_resend(admitted_.route.kind, admitted_.route.max_attempts);
    if (!may_try) {
        return false;
    }
    const instant now = monotonic_now();
    const double allowed = context_.retries.allowed(now, admitted_.service);
    const bool taken = context_.retries.take(now, admitted_.service);
    trace_.add(now, taken ? "retry_taken" : "retry_denied",
               {{"service", admitted_.service}, {"allowed", std::to_string(allowed)}});
    return taken;
}

/// Sends the request to another target, if it may go there.
bool forwarded_request::try_again() {
    if (!take_retry()) {
        return false;
    }
    dispatch();
    return true;
}

void forwarded_request::deadline_passed() {
    if (ended_ || called_off_) {
        return;
    }
    const bool sent = call_ != nullptr && call_->sent();
    suspicion_.left(monotonic_now());
    if (call_) {
        end_attempt(run_end::left,
                    sent ? answer_at_deadline() : rollout_gate::outcome::inconclusive);
    }
    if (!sent && !history_.may_have_run()) {
        refuse(status_unavailable, "deadline_before_sending", until_targets);
        return;
    }
    history_.record_possible_run();
    if (sent) {
        assume_unseen();
    }
    fail(status_gateway_timeout, "deadline");
}

/// A target that had most of the time that the caller gave, and didn't end, did badly. One that got
/// the request late says nothing.
rollout_gate::outcome forwarded_request::answer_at_deadline() const {
    const microseconds had = deadline_ - sent_at_;
    const microseconds given = deadline_ - exchange_->received();
    return had * 2 >= given ? rollout_gate::outcome::failed : rollout_gate::outcome::inconclusive;
}

void forwarded_request::join_rollout(const std::string& service) {
    if (!ended_ && call_ != nullptr && admitted_.service == service) {
        rollout_.join(context_.targets.find(target_));
    }
}

/// Calls the run off. A target that hadn't begun ends the connection without a word, so that the
/// account needn't pay for what the caller never could have got.
void forwarded_request::caller_gone() {
    if (ended_ || called_off_) {
        return;
    }
    called_off_ = true;
    waiting_.reset();
    placing_.reset();
    drop_turn();
    if (call_ == nullptr || !call_->sent()) {
        call_off_ended();
        return;
    }
    call_->call_off();
    context_.loop.call_after(longest_call_off, [self = weak_from_this()] {
        if (const auto alive = self.lock()) {
            alive->assume_unseen();
            alive->call_off_ended();
        }
    });
}

void forwarded_request::call_off_ended() {
    if (ended_) {
        return;
    }
    if (call_) {
        suspicion_.left(monotonic_now());
        end_attempt(run_end::left, rollout_gate::outcome::inconclusive);
    }
    finish("caller_gone", 0);
}

void forwarded_request::refuse(unsigned status, std::string_view reason, microseconds retry_after) {
    if (to_caller_.begun()) {
        cut(reason);
        return;
    }
    to_caller_.refuse(request_.id, status, reason, retry_after);
    finish(reason, status);
}

/// Charges what the target of an attempt may have handed out since its last event came. To be
/// called once an attempt, when its connection is closed: nothing more can be handed to this
/// process then.
void forwarded_request::assume_unseen() {
    const instant now = monotonic_now();
    const microseconds silence = now - std::max(sent_at_, stream_.last());
    const tokens possible = silence / context_.settings.least_time_per_token;
    charge_.assume(now, possible + tokens_per_event() * unseen_events);
}

/// Ends an answer that was begun and can't be finished, so that the caller sees that it isn't
/// whole.
void forwarded_request::cut(std::string_view reason) {
    to_caller_.cut();
    finish(reason, 0);
}

void forwarded_request::fail(unsigned status, std::string_view reason) {
    if (to_caller_.begun()) {
        cut(reason);
        return;
    }
    to_caller_.fail(request_.id, status, reason);
    finish(reason, status);
}

/// Counts an answer, or the first event of a stream, that comes later than its route's aim.
void forwarded_request::note_first_answer() const {
    const microseconds aim = admitted_.route.first_response_objective;
    if (aim > microseconds(0) && monotonic_now() - exchange_->received() > aim) {
        count_by_region("gateway_late_by_region_total");
    }
}

/// Counts by the regions of this entry, to which the caller came, and of the last target. A region
/// that nobody named, or that of no target, is empty.
void forwarded_request::count_by_region(std::string_view what) const {
    const gateway_settings& settings = context_.settings;
    const metric_label caller{"caller", settings.regions.region_of(settings.failure_domain)};
    const metric_label target{"target", context_.targets.region_of(target_)};
    context_.counters.counter(labelled(what, {caller, target})) += 1;
}

/// Counts the end and tells the request's story: all of one that failed, and of a sample of the
/// rest.
void forwarded_request::note_end(std::string_view outcome, unsigned status) {
    const bool served = outcome == "served" && status < first_server_error;
    const bool has_content = !served && !admitted_.service.empty();
    const instant now = monotonic_now();
    const microseconds took = now - exchange_->received();
    const std::string_view result = served ? "served" : (status == 0 ? "cut" : "failed");
    count_by_region(status == status_unavailable ? "gateway_refused_by_region_total"
                                                 : "gateway_requests_by_region_total");
    context_.counters.histogram(labelled("gateway_request_ms", {{"outcome", result}}))
        .observe(took);
    trace_.add(now, "request_ended",
               {{"outcome", std::string(outcome)},
                {"status", std::to_string(status)},
                {"route", admitted_.route.name},
                {"configuration", std::to_string(context_.configuration.current().version)},
                {"account", admitted_.account},
                {"fingerprint", has_content ? suspicion_.fingerprint().to_hex() : ""},
                {"target", target_},
                {"target_region", std::string(context_.targets.region_of(target_))},
                {"allowed_regions", describe(admitted_.regions)},
                {"attempts", std::to_string(history_.attempt_number())},
                {"tokens", std::to_string(charge_.spent())},
                {"prompt", std::to_string(charge_.prompt_spent())},
                {"longest_pause_ms", millis_text(stream_.longest_pause())},
                {"took_ms", millis_text(took)}});
    const bool wanted =
        !served || request_trace::sampled(trace_.id(), context_.settings.log_served_percent);
    if (wanted) {
        context_.events.tell(trace_, !served);
    }
}

void forwarded_request::finish(std::string_view outcome, unsigned status) {
    ended_ = true;
    waiting_.reset();
    placing_.reset();
    drop_turn();
    charge_.close();
    context_.counters.counter("gateway_outcome_" + std::string(outcome) + "_total") += 1;
    note_end(outcome, status);
    context_.loop.call_after(
        microseconds(0),
        [&requests = context_.requests, self = shared_from_this()] { requests.erase(self); });
}

}  // namespace wrenswitch
