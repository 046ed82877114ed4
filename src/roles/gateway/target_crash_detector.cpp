#include "roles/gateway/target_crash_detector.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include "wrenswitch/core/log.hpp"
#include "wrenswitch/decision/suspects/request_fingerprint.hpp"

namespace wrenswitch {
namespace {

/// A host refuses connections for a process that is gone within one round trip.
constexpr microseconds probe_timeout = milliseconds(400);

/// A second refusal after this time confirms the crash. An overloaded target may refuse single
/// connections, while one that crashed is away for seconds.
constexpr microseconds probe_interval = milliseconds(50);
constexpr unsigned refusals_for_crash = 2;

/// How long a target that didn't accept a connection isn't probed again for further interrupted
/// attempts. One that accepted is probed at once, since it may have crashed since.
constexpr microseconds probe_result_lifetime = milliseconds(500);

/// Data that a target sent before it crashed may be read after another of its connections was seen
/// to close, within an iteration or two of the event loop. A generous bound.
constexpr microseconds unread_data_window = milliseconds(120);

/// How long a target whose response ended with its connection has to show with other data that it
/// is alive, before it is probed.
constexpr microseconds confirmation_delay = milliseconds(150);

/// Requests named in one log line; all of them are counted.
constexpr std::size_t max_logged_requests = 6;

/// Prompt parts named in one log line.
constexpr std::size_t max_logged_parts = 24;

std::string fingerprints_of(std::span<const digest> requests) {
    std::string fingerprints;
    for (const digest& request : requests.first(std::min(max_logged_requests, requests.size()))) {
        fingerprints += (fingerprints.empty() ? "" : ",") + request.to_hex();
    }
    return fingerprints;
}

}  // namespace

target_incarnation incarnation_of(const gateway_target& target) {
    return {target.id, target.started.value_or(0)};
}

/// A draining or unlisted target ends as planned.
bool target_crash_detector::is_expected_to_run(const target_incarnation& incarnation) const {
    const gateway_target* target = targets_.find(incarnation.target);
    return target != nullptr && !target->draining && targets_.is_listed(incarnation.target);
}

void target_crash_detector::record_interrupted(instant now, const target_incarnation& incarnation,
                                               std::span<const digest> fingerprints) {
    counters_.counter("gateway_runs_broken_total") += 1;
    if (!is_expected_to_run(incarnation)) {
        return;
    }
    attempts_.record_interrupted(now, incarnation, fingerprints);
    if (targets_.find(incarnation.target)->started.value_or(0) > incarnation.started) {
        report_crash(incarnation, "restarted");
        return;
    }
    probe_state& state = probes_[incarnation];
    const bool recently_probed =
        state.probed_at && now - *state.probed_at <= probe_result_lifetime && !state.accepted;
    if (state.probe == nullptr && !recently_probed) {
        state = {};
        state.interrupted_at = now;
        start_probe(incarnation);
    }
}

void target_crash_detector::record_unconfirmed(instant now, const target_incarnation& incarnation,
                                               unconfirmed_response response) {
    if (!is_expected_to_run(incarnation)) {
        return;
    }
    counters_.counter("gateway_unconfirmed_responses_total") += 1;
    attempts_.record_unconfirmed(now, incarnation, std::move(response));
    probes_[incarnation].interrupted_at = now;
    probe_later(incarnation, confirmation_delay);
}

void target_crash_detector::confirm(std::span<const unconfirmed_response> responses) const {
    for (const unconfirmed_response& response : responses) {
        hooks_.confirmed(response);
    }
}

/// Probes the target after a delay, unless the cause is known or another probe is under way by
/// then.
void target_crash_detector::probe_later(const target_incarnation& incarnation, microseconds delay) {
    loop_.call_after(delay, [this, incarnation, alive = alive_] {
        if (!*alive || !attempts_.has_interrupted(incarnation)) {
            return;
        }
        const auto found = probes_.find(incarnation);
        if (found != probes_.end() && found->second.probe == nullptr) {
            start_probe(incarnation);
        }
    });
}

void target_crash_detector::start_probe(const target_incarnation& incarnation) {
    const gateway_target* target = targets_.find(incarnation.target);
    const result<http_address> address =
        http_address::parse(target == nullptr ? std::string_view{} : target->address);
    if (!address) {
        return;
    }
    probe_state& state = probes_[incarnation];
    state.probed_at = monotonic_now();
    counters_.counter("gateway_target_probes_total") += 1;
    state.probe = std::make_unique<connection_probe>(
        loop_, address.value(), probe_timeout,
        [this, incarnation](probe_answer result) { on_probe_result(incarnation, result); });
}

void target_crash_detector::on_probe_result(const target_incarnation& incarnation,
                                            probe_answer result) {
    const auto found = probes_.find(incarnation);
    if (found == probes_.end()) {
        return;
    }
    probe_state& state = found->second;
    // The probe that calls this function is still on the stack.
    loop_.call_after(
        microseconds(0),
        [finished_probe = std::shared_ptr<connection_probe>(std::move(state.probe))] {});
    state.accepted = result == probe_answer::accepted;
    state.refusals += result == probe_answer::refused ? 1 : 0;
    if (state.accepted) {
        state.refusals = 0;
        confirm(attempts_.take_unconfirmed(incarnation));
        return;
    }
    if (result != probe_answer::refused || !attempts_.has_interrupted(incarnation)) {
        return;
    }
    if (state.refusals >= refusals_for_crash) {
        report_crash(incarnation, "refused");
        return;
    }
    probe_later(incarnation, probe_interval);
}

void target_crash_detector::record_activity(instant now, const target_incarnation& incarnation) {
    if (probes_.empty()) {
        return;
    }
    const auto found = probes_.find(incarnation);
    if (found != probes_.end() && now - found->second.interrupted_at > unread_data_window) {
        probes_.erase(found);
        confirm(attempts_.discard(incarnation));
    }
}

void target_crash_detector::on_unlisted(const std::string& id) {
    for (const target_incarnation& incarnation : attempts_.interrupted_incarnations(id)) {
        const auto found = probes_.find(incarnation);
        const bool listens = found != probes_.end() && found->second.accepted;
        if (!listens) {
            report_crash(incarnation, "unlisted");
        }
    }
}

void target_crash_detector::on_restarted(const std::string& id) {
    for (const target_incarnation& incarnation : attempts_.interrupted_incarnations(id)) {
        report_crash(incarnation, "restarted");
    }
}

void target_crash_detector::report_crash(const target_incarnation& incarnation,
                                         std::string_view evidence) {
    std::vector<digest> fingerprints = attempts_.take_in_flight(incarnation);
    probes_.erase(incarnation);
    if (fingerprints.empty()) {
        return;
    }
    const auto first_part =
        std::stable_partition(fingerprints.begin(), fingerprints.end(),
                              [](const digest& suspect) { return !is_prompt_part(suspect); });
    const std::span<const digest> requests(fingerprints.begin(), first_part);
    const std::span<const digest> parts(first_part, fingerprints.end());
    counters_.counter("gateway_targets_ended_total") += 1;
    log_event(log_level::warning, "target_ended",
              {{"target", incarnation.target},
               {"started", std::to_string(incarnation.started)},
               {"seen_by", std::string(evidence)},
               {"requests", std::to_string(requests.size())},
               {"fingerprints", fingerprints_of(requests)},
               {"parts", part_names(parts.first(std::min(max_logged_parts, parts.size())))}});
    hooks_.crashed(incarnation, fingerprints);
}

void target_crash_detector::tick(instant now) {
    attempts_.discard_expired(now);
    std::erase_if(probes_, [&](const auto& each) {
        return each.second.probe == nullptr && !attempts_.has_interrupted(each.first);
    });
}

}  // namespace wrenswitch
