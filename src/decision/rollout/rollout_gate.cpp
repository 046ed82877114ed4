#include "wrenswitch/decision/rollout/rollout_gate.hpp"

#include <algorithm>
#include <utility>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// The part of the operator's limit that is used, as others may count over slightly different
/// periods.
constexpr double exposure_safety_factor = 0.9;

/// The fractions of the budget that streams may use before the cutover window and retryable
/// requests during it. The rest is for requests that can't stay at old targets.
constexpr double stream_cutover_fraction = 0.75;
constexpr double retryable_fraction = 0.6;

/// How long before the deadline streams that can't be retried elsewhere avoid old targets: streams
/// of about 7 events take 0.3 to 0.8 s, and one left there delays completion.
constexpr microseconds stream_cutover_window = milliseconds(1200);

/// How long before the deadline everything moves: a report takes 250 ms to reach the decider, its
/// log append about 10 ms, and plain responses 20 ms. A tenth of 8 s of traffic, less the canary's
/// part, is the traffic of 430 ms.
constexpr microseconds cutover_window = milliseconds(400);

/// Selects more sessions than the canary's share, since the budget is only used up if eligible
/// requests wait for budget instead of budget for requests.
constexpr double cohort_oversampling = 1.5;

/// Between these multiples of its share a route sends only sessions of the canary cohort; below the
/// first any request, above the second none. Sessions differ in size by orders of magnitude.
constexpr double min_route_share = 0.5;
constexpr double max_route_share = 1.5;

/// If less than this part of the canary's budget is used, any request on a route below its share is
/// selected: the fraction may have been raised, and ongoing sessions don't follow that fast.
constexpr double min_used_fraction = 0.8;

/// The number of bad responses beyond the old version's rate that an entry acts on by itself. Half
/// of the fleet-wide total of 50, above which each further request matters.
constexpr double conclusive_bad_responses = 25.0;

/// Required bad responses of targets other than the worst one; with fewer, the fault may be that
/// one target's.
constexpr std::uint64_t min_bad_on_other_targets = 5;

/// How long requests stay limited to the new version after completion. Later no other version
/// exists until the next one is deployed without an order.
constexpr microseconds completed_hold_time = seconds(10);

/// Maps a session to [0, 1): the same at all entries, and different for each rollout.
double session_position(std::uint64_t session, std::uint64_t order) {
    constexpr double hash_range = 18446744073709551616.0;
    return static_cast<double>(spread_hash(std::to_string(session), order)) / hash_range;
}

}  // namespace

rollout_gate::rollout_gate(instant now, rollout_order order, double exposed_share,
                           version_set excluded)
    : order_(std::move(order)),
      exposed_share_(exposed_share * exposure_safety_factor),
      excluded_(std::move(excluded)),
      order_known_since_(now),
      directive_received_at_(now),
      exposure_(exposed_share_) {
    directive_.service = order_.service;
    directive_.order = order_.number;
    directive_.version = order_.version;
    directive_.remaining = order_.duration;
}

version_set rollout_gate::excluded_after() const {
    version_set versions = excluded_;
    if (!already_deployed_ && directive_.phase != rollout_phase::completed) {
        versions.insert(order_.version);
    }
    return versions;
}

bool rollout_gate::apply(instant now, const rollout_directive& directive) {
    if (directive.order != order_.number || directive.version != order_.version ||
        is_over(directive_.phase)) {
        return false;
    }
    const rollout_phase before = directive_.phase;
    directive_ = directive;
    directive_received_at_ = now;
    found_bad_ = found_bad_ || directive.version_bad;
    if (directive.phase == rollout_phase::canary) {
        canary_fraction_ = directive.canary_fraction;
    }
    return directive_.phase != before;
}

bool rollout_gate::withdraw(instant now) {
    rollout_directive ended = directive_;
    ended.phase = already_deployed_ ? rollout_phase::completed : rollout_phase::rolled_back;
    return apply(now, ended);
}

bool rollout_gate::past_deadline(instant now) const {
    return directive_.phase == rollout_phase::moving && !found_bad_ &&
           remaining(now) <= microseconds(0);
}

bool rollout_gate::in_cutover(instant now) const {
    return directive_.phase == rollout_phase::moving && !found_bad_ &&
           remaining(now) <= cutover_window;
}

/// During the cutover window nothing that would be lost with the old targets may start there.
bool rollout_gate::must_avoid_old(instant now, const rollout_request& request) const {
    return in_cutover(now) && !request.retryable;
}

/// The old targets are being stopped, so nothing may start there.
bool rollout_gate::has_just_completed(instant now) const {
    return directive_.phase == rollout_phase::completed &&
           now - directive_received_at_ < completed_hold_time;
}

version_constraint rollout_gate::only_new() const {
    version_constraint result = constraint(version_rule::only);
    if (directive_.phase == rollout_phase::canary) {
        result.group_size = directive_.group_size;
        result.group_seed = directive_.group_seed;
    }
    return result;
}

/// True if the canary takes a request, judging by its session and route only.
bool rollout_gate::is_selected_for_canary(const rollout_request& request) const {
    const double canary_share = exposed_share_ * canary_fraction_;
    const auto found = routes_.find(request.route);
    const route_counts counts = found == routes_.end() ? route_counts{} : found->second;
    const double proportional = canary_share * static_cast<double>(counts.to_old + counts.to_new);
    const double count_with_this = static_cast<double>(counts.to_new + 1);
    const bool budget_underused = exposure_.used_fraction(canary_fraction_) < min_used_fraction;
    if (count_with_this <= (budget_underused ? 1.0 : min_route_share) * proportional) {
        return true;
    }
    return count_with_this <= max_route_share * proportional + 1.0 &&
           session_position(request.session, order_.number) < cohort_oversampling * canary_share;
}

double rollout_gate::usable_fraction(instant now, const rollout_request& request) const {
    if (directive_.phase != rollout_phase::moving) {
        return directive_.canary_fraction;
    }
    if (!in_cutover(now)) {
        // The canary continues meanwhile, as nothing else detects a version that fails late.
        const bool stream_avoids_old =
            request.streaming && !request.retryable && remaining(now) <= stream_cutover_window;
        return stream_avoids_old ? stream_cutover_fraction : canary_fraction_;
    }
    return request.retryable ? retryable_fraction : 1.0;
}

/// True if a request should go to the unproven version and its budget allows it.
bool rollout_gate::may_expose(instant now, const rollout_request& request) const {
    if (found_bad_ || request.already_sent || !exposure_.may_send(usable_fraction(now, request))) {
        return false;
    }
    const bool cutover_near =
        directive_.phase == rollout_phase::moving && remaining(now) <= stream_cutover_window;
    return cutover_near || is_selected_for_canary(request);
}

std::optional<version_constraint> rollout_gate::constraint_for(
    instant now, const rollout_request& request) const {
    if (already_deployed_) {
        return constraint(version_rule::any);
    }
    if (directive_.phase == rollout_phase::completed) {
        return has_just_completed(now) ? only_new() : constraint(version_rule::any);
    }
    if (directive_.phase == rollout_phase::rolled_back) {
        return only_old();
    }
    return directive_.phase == rollout_phase::waiting ? only_old()
                                                      : constraint_while_running(now, request);
}

std::optional<version_constraint> rollout_gate::constraint_while_running(
    instant now, const rollout_request& request) const {
    if (past_deadline(now)) {
        return only_new();
    }
    if (must_avoid_old(now, request)) {
        return exposure_.may_send() ? std::optional(only_new()) : std::nullopt;
    }
    return may_expose(now, request) ? only_new() : only_old();
}

std::optional<version_constraint> rollout_gate::fallback_constraint(
    const version_constraint& preferred) const {
    if (preferred.rule == version_rule::only) {
        return only_old();
    }
    const bool may_use_new =
        preferred.rule == version_rule::other_than && !is_over(directive_.phase) && !found_bad_;
    if (!may_use_new || !exposure_.may_send()) {
        return std::nullopt;
    }
    return constraint(version_rule::only);
}

std::optional<version_constraint> rollout_gate::continuation_constraint(
    instant now, const rollout_request& request, const std::string& version, bool suspected) const {
    if (excluded_.contains(version)) {
        return std::nullopt;
    }
    const bool is_proven = already_deployed_ || directive_.phase == rollout_phase::completed;
    if (is_new(version)) {
        const bool allowed = may_begin_at_new(now) && (is_proven || !suspected);
        return allowed ? std::optional(only_new()) : std::nullopt;
    }
    if (!may_begin_at_old(now, request)) {
        return std::nullopt;
    }
    return version_constraint{version_rule::only, version, 0, 0, excluded_};
}

bool rollout_gate::begin_attempt(instant now, const rollout_request& request,
                                 const std::string& version, const std::string& target) {
    if (excluded_.contains(version)) {
        // The version was chosen before this order arrived.
        return false;
    }
    const bool to_new = is_new(version);
    if (to_new ? !may_begin_at_new(now) : !may_begin_at_old(now, request)) {
        return false;
    }
    if (to_new) {
        exposure_.note_sent();
    } else if (!request.retryable) {
        add_pinned_request();
    }
    route_counts& counts = routes_[request.route];
    (to_new ? counts.to_new : counts.to_old) += 1;
    evidence_.counts[{request.route, to_new ? target : std::string()}].sent += 1;
    return true;
}

bool rollout_gate::may_begin_at_old(instant now, const rollout_request& request) const {
    const bool avoid_old = must_avoid_old(now, request) || has_just_completed(now);
    return !avoid_old || request.no_candidates || already_deployed_;
}

bool rollout_gate::may_begin_at_new(instant now) const {
    if (already_deployed_) {
        return true;
    }
    if (directive_.phase == rollout_phase::rolled_back) {
        return false;
    }
    const bool unlimited = directive_.phase == rollout_phase::completed || past_deadline(now);
    return unlimited || (!found_bad_ && exposure_.may_send());
}

void rollout_gate::end_attempt(const rollout_request& request, const std::string& version,
                               const std::string& target, outcome result,
                               std::optional<microseconds> first_event,
                               std::optional<microseconds> event_interval) {
    const bool to_new = is_new(version);
    response_counts& counts = evidence_.counts[{request.route, to_new ? target : std::string()}];
    counts.succeeded += result == outcome::succeeded ? 1 : 0;
    counts.failed += result == outcome::failed ? 1 : 0;
    counts.inconclusive += result == outcome::inconclusive ? 1 : 0;
    if (first_event) {
        counts.first_event.add(*first_event);
    }
    if (event_interval) {
        counts.event_interval.add(*event_interval);
    }
    if (!to_new && !request.retryable) {
        remove_pinned_request();
    }
    if (to_new && result == outcome::failed) {
        update_found_bad();
    }
}

void rollout_gate::update_found_bad() {
    const response_counts new_version = evidence_.of_new_version();
    const response_counts old_version = evidence_.of_old_version();
    const double old_responses = static_cast<double>(old_version.succeeded + old_version.failed);
    if (already_deployed_ || old_responses <= 0.0) {
        // Without responses of the old version there is no baseline.
        return;
    }
    const double baseline_rate = static_cast<double>(old_version.failed) / old_responses;
    const double expected =
        baseline_rate * static_cast<double>(new_version.succeeded + new_version.failed);
    std::map<std::string_view, std::uint64_t> by_target;
    for (const auto& [key, counts] : evidence_.counts) {
        if (!key.target.empty()) {
            by_target[key.target] += counts.failed;
        }
    }
    std::uint64_t worst_target_failures = 0;
    for (const auto& [target, failed] : by_target) {
        worst_target_failures = std::max(worst_target_failures, failed);
    }
    const bool not_single_outlier =
        by_target.size() == 1 ||
        new_version.failed - worst_target_failures >= min_bad_on_other_targets;
    const bool is_conclusive =
        static_cast<double>(new_version.failed) - expected >= conclusive_bad_responses;
    found_bad_ = found_bad_ || (is_conclusive && not_single_outlier);
}

rollout_report rollout_gate::report(instant now) const {
    rollout_report result;
    result.service = order_.service;
    result.order = order_.number;
    result.known_for = now - order_known_since_;
    result.moved = in_cutover(now) && pinned_to_old_ == 0;
    result.reached = exposure_.reached();
    result.exposed = exposure_.sent();
    result.found_bad = found_bad_;
    return result;
}

}  // namespace wrenswitch
