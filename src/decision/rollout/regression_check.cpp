#include "decision/rollout/regression_check.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace wrenswitch {
namespace {

/// The excess of failures that is tolerated in a version whose targets have just started. With
/// zero, 3 failures in 10,000 responses would be a regression; 0.01 would need twice as many
/// responses as 0.003 to detect 5% failures.
constexpr double tolerated_failure_excess = 0.003;
/// The slowdown that is tolerated. Bucket bounds round it up to 2.25.
constexpr double tolerated_slowdown = 2.0;
/// If most responses take as long as the old version's, those slower by this factor indicate that a
/// part is slower by more. With 30% of responses 4 times slower, the share above the old version's
/// median bucket exceeds the old one's by 0.15 to 0.23; with all of them 1.9 times slower it does
/// by 0.40 to 0.47 (log-normal latencies with a spread of 0.5).
constexpr double partial_slowdown = 1.5;
constexpr double max_share_above_median = 0.33;
/// The partial slowdown that is tolerated: no two versions have the same tail latency.
constexpr double tolerated_partial_excess = 0.02;
/// The slowdown of a response due to an empty cache: a prompt of 6,300 shared and 2,890 own tokens
/// takes 3.2 times as long if none of it is cached. Bucket bounds round it up to 3.4.
constexpr double cold_cache_slowdown = 3.3;
/// One in this many rollouts has an outlier target. The e-value required of the other targets alone
/// is lower by this factor.
constexpr double outlier_odds = 20.0;
/// Fewer bad responses of a version with a single target may be the target's fault, and are as many
/// as are needed to exclude an outlier for its own failures.
constexpr double min_bad_of_single_target = 8.0;
/// The number of bad responses beyond the old version's share that ends a rollout regardless of the
/// tests: half of what users may be exposed to by a bad version.
constexpr double max_bad_responses = 25.0;
/// The same limit while one of several targets gave nearly all of them; still less than the limit
/// for users.
constexpr double max_bad_of_one_target = 40.0;
constexpr double negligible_bad_responses = 5.0;
/// Bad responses of one target don't count if another target gave as many responses and the others
/// rule out this excess: a bad version shows on all of its targets.
constexpr double acceptable_excess = 0.05;
/// Deviations from the old version's share up to this many standard deviations are chance.
constexpr double max_chance_deviations = 4.0;

/// A kind of slowness that good versions don't have, and its description for the log.
struct slow_check {
    slowness_criterion criterion;
    bool partial = false;
    const char* description = "";
};

std::vector<slow_check> slow_checks(double load_ratio) {
    using enum latency_kind;
    return {{{first_event, tolerated_slowdown * load_ratio, 0.0, cold_cache_allowance},
             false,
             "began late"},
            {{first_event, cold_cache_slowdown * load_ratio}, false, "began several times later"},
            {{event_interval, tolerated_slowdown * load_ratio}, false, "went on slowly"},
            {{first_event, partial_slowdown * load_ratio, 0.0, cold_cache_allowance},
             true,
             "began late"},
            {{event_interval, partial_slowdown * load_ratio}, true, "went on slowly"}};
}

/// Slow responses, without the routes where most responses are slower: there the version is slower
/// by a small factor, instead of a part of its responses by a large one.
std::vector<route_comparison> partially_slow(const response_statistics& responses,
                                             const slowness_criterion& criterion) {
    const std::vector<route_comparison> median_comparisons =
        responses.slow({criterion.latency, 1.0, 0.5});
    std::vector<route_comparison> comparisons = responses.slow(criterion);
    for (route_comparison& comparison : comparisons) {
        const auto found = std::find_if(
            median_comparisons.begin(), median_comparisons.end(),
            [&](const route_comparison& candidate) { return candidate.route == comparison.route; });
        if (found == median_comparisons.end() ||
            found->treatment().value() > found->control.value() + max_share_above_median) {
            comparison.targets.clear();
        }
    }
    return comparisons;
}

/// Flagged responses beyond the control's share.
double unexplained_count(const route_comparison& comparison, const sample_proportion& treatment) {
    const double share = comparison.control.value();
    const double mean = treatment.total * share;
    const double spread = std::sqrt(mean * (1.0 - share));
    return std::max(0.0, treatment.flagged - mean - max_chance_deviations * spread);
}

}  // namespace

std::optional<std::string> regression_check::find(const response_statistics& responses) const {
    if (auto regression = find_by_count(responses)) {
        return regression;
    }
    const double half_rate = settings_.false_bad_rate / 2.0;
    if (auto regression = find_by_proportion(responses.failures(), half_rate,
                                             tolerated_failure_excess, "failed")) {
        return regression;
    }
    const std::vector<slow_check> checks = slow_checks(load_ratio_);
    const double rate_per_check =
        half_rate / static_cast<double>(checks.size() * slowness_levels.size());
    for (slow_check check : checks) {
        for (const double level : slowness_levels) {
            check.criterion.level = level;
            const auto comparisons = check.partial ? partially_slow(responses, check.criterion)
                                                   : responses.slow(check.criterion);
            const double tolerance =
                check.partial ? tolerated_partial_excess : tolerated_failure_excess;
            if (auto regression =
                    find_by_proportion(comparisons, rate_per_check, tolerance, check.description)) {
                return regression;
            }
        }
    }
    return std::nullopt;
}

std::optional<std::string> regression_check::find_by_count(
    const response_statistics& responses) const {
    const slowness_criterion first_event{latency_kind::first_event,
                                         cold_cache_slowdown * load_ratio_};
    const slowness_criterion event_interval{latency_kind::event_interval,
                                            tolerated_slowdown * load_ratio_};
    // Plain responses have no cache that could be cold.
    slowness_criterion plain{latency_kind::first_event, tolerated_slowdown * load_ratio_};
    plain.skip_streams = true;
    bad_count slow_responses;
    for (slowness_criterion criterion : {first_event, event_interval, plain}) {
        for (const double level : slowness_levels) {
            criterion.level = level;
            slow_responses.update_max(count_bad(responses.slow(criterion)));
        }
    }
    bad_count failures = count_bad(responses.failures());
    failures.all += slow_responses.all;
    failures.without_worst += slow_responses.without_worst;
    const bool on_one_target = failures.targets > settings_.min_targets &&
                               failures.without_worst < negligible_bad_responses;
    if (failures.all < (on_one_target ? max_bad_of_one_target : max_bad_responses)) {
        return std::nullopt;
    }
    std::ostringstream output;
    output.precision(3);
    output << failures.all << " bad answers beyond what the old version's share explains, "
           << failures.without_worst << " of them not of the worst target of " << failures.targets;
    return output.str();
}

regression_check::bad_count regression_check::count_bad(
    const std::vector<route_comparison>& comparisons) const {
    if (comparisons.empty()) {
        return {};
    }
    const route_comparison& comparison = comparisons.front();
    const sample_proportion treatment = comparison.treatment();
    const double all = unexplained_count(comparison, treatment);
    const std::size_t targets = comparison.targets_with_responses();
    const std::optional<std::size_t> worst = comparison.worst_target();
    if (!worst) {
        return {all, all, targets};
    }
    const sample_proportion rest = treatment.without(comparison.targets[*worst]);
    const double without_worst = unexplained_count(comparison, rest);
    const bool rest_acceptable = comparison.has_comparable_load(*worst) &&
                                 excess_upper_bound(rest, comparison.control.value(),
                                                    settings_.false_good_rate) <= acceptable_excess;
    return {rest_acceptable ? without_worst : all, without_worst, targets};
}

std::optional<std::string> regression_check::find_by_proportion(
    const std::vector<route_comparison>& comparisons, double false_positive_rate, double tolerance,
    const std::string& flag) const {
    const auto comparison_count = static_cast<double>(comparisons.size());
    for (const route_comparison& comparison : comparisons) {
        // Half of the error rate is for all routes together, the single routes share the other
        // half.
        const double rate_divisor = comparison_count < 2.0     ? 1.0
                                    : comparison.route.empty() ? 2.0
                                                               : 2.0 * (comparison_count - 1.0);
        if (is_regression(comparison, false_positive_rate / rate_divisor, tolerance)) {
            return comparison.describe(flag);
        }
    }
    return std::nullopt;
}

bool regression_check::is_regression(const route_comparison& comparison, double false_positive_rate,
                                     double tolerance) const {
    const sample_proportion treatment = comparison.treatment();
    if (comparison.log_evidence(treatment, tolerance) < std::log(1.0 / false_positive_rate)) {
        return false;
    }
    if (comparison.targets_with_responses() < settings_.min_targets) {
        return comparison.excess_count() >= min_bad_of_single_target;
    }
    const double min_log_evidence = std::log(1.0 / (false_positive_rate * outlier_odds));
    return std::all_of(comparison.targets.begin(), comparison.targets.end(),
                       [&](const sample_proportion& target) {
                           return comparison.log_evidence(treatment.without(target), tolerance) >=
                                  min_log_evidence;
                       });
}

}  // namespace wrenswitch
