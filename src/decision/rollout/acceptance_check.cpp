#include "decision/rollout/acceptance_check.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "decision/rollout/regression_check.hpp"

namespace wrenswitch {
namespace {

/// The excess of failures that a good result should rule out.
constexpr double detectable_excess = 0.05;
/// The responses required for a good result: 16 without a failure rule out 22% failures.
constexpr double min_responses = 16.0;
/// The responses required if only a single target of the version has responded: with as many, its
/// other targets would have had their turn.
constexpr double min_single_target_responses = 20.0;
/// Routes with a smaller share of the old version's responses aren't waited for.
constexpr double min_route_traffic_share = 0.05;
/// The fraction of the responses expected on a route, by its share of the traffic, that must have
/// arrived: at least one and at most ten. At 7 expected, one route in 1,000 has none.
constexpr double min_response_fraction = 0.25;
constexpr double max_required_responses = 10.0;
/// The share of good versions that exceed the failures tolerated here and therefore complete late.
constexpr double false_doubt_rate = 0.008;
/// Reject a version that is this many times likelier to fail in 5% more of its responses than as
/// often as the old one. With 0.2% failures of the old version, one failure in 31 responses is
/// tolerated and two in 110, and 2% of good versions complete late at 124 requests/s and 8 s.
constexpr double doubt_likelihood_ratio = 10.0;
/// A version that is slower by this factor or more isn't accepted.
constexpr double doubt_slowdown = 1.5;
/// The e-value for such a slowdown that rejects a version.
constexpr double doubt_e_value = 5.0;
/// The e-value for a target being worse than the others of its version that excludes it.
constexpr double outlier_e_value = 6.0;
/// The smallest difference between its share and that of the others that counts.
constexpr double min_outlier_excess = 0.02;

/// The old version's share as if one more response had failed: none in a hundred doesn't mean
/// never.
double conservative_control_share(const route_comparison& comparison) {
    return std::max(comparison.control.value(),
                    (comparison.raw_control.flagged + 1.0) / (comparison.raw_control.total + 1.0));
}

/// Excludes the one target that differs from the others, if there is one, from all comparisons.
std::optional<std::size_t> exclude_outlier_target(std::vector<route_comparison>& comparisons,
                                                  std::size_t min_targets) {
    if (comparisons.empty() || comparisons.front().targets_with_responses() <= min_targets) {
        return std::nullopt;
    }
    const route_comparison& overall = comparisons.front();
    const std::optional<std::size_t> worst = overall.worst_target();
    if (!worst || !overall.has_comparable_load(*worst)) {
        return std::nullopt;
    }
    const sample_proportion outlier = overall.targets[*worst];
    const sample_proportion others = overall.treatment().without(outlier);
    if (log_e_value(outlier, others, min_outlier_excess, overall.priors) <
        std::log(outlier_e_value)) {
        return std::nullopt;
    }
    for (route_comparison& comparison : comparisons) {
        comparison.targets[*worst] = {};
    }
    return worst;
}

}  // namespace

acceptance_check::result acceptance_check::check(const response_statistics& responses) const {
    std::vector<route_comparison> failures = responses.failures();
    if (std::string missing = find_missing_data(failures); !missing.empty()) {
        return {false, std::move(missing)};
    }
    const double total_responses = failures.front().treatment().total;
    if (std::string missing = find_missing_route(responses, total_responses); !missing.empty()) {
        return {false, std::move(missing)};
    }
    const std::optional<std::size_t> outlier =
        exclude_outlier_target(failures, settings_.min_targets);
    if (std::string problem = find_excess_failures(failures); !problem.empty()) {
        return {false, std::move(problem)};
    }
    if (std::string problem = find_slowdown(responses); !problem.empty()) {
        return {false, std::move(problem)};
    }
    const route_comparison& overall = failures.front();
    std::ostringstream output;
    output.precision(3);
    output << overall.describe("failed") << ": rules out "
           << excess_upper_bound(overall.treatment(), overall.control.value(),
                                 settings_.false_good_rate) *
                  100.0
           << "% more failures";
    if (outlier) {
        output << "; left out target " << responses.target_name(*outlier) << ", which differs";
    }
    return {true, output.str()};
}

std::string acceptance_check::find_missing_data(
    const std::vector<route_comparison>& failures) const {
    if (failures.empty()) {
        return "no route has answers of both versions";
    }
    const route_comparison& overall = failures.front();
    const double responses = overall.treatment().total;
    const bool few_targets = overall.targets_with_responses() < settings_.min_targets;
    if (responses < (few_targets ? min_single_target_responses : min_responses)) {
        return "too few answers: " + std::to_string(std::lround(responses));
    }
    return {};
}

std::string acceptance_check::find_missing_route(const response_statistics& responses,
                                                 double total_responses) {
    double old_total = 0.0;
    for (const auto& route : responses.routes()) {
        old_total += route.old_responses;
    }
    for (const auto& route : responses.routes()) {
        const double share = route.old_responses / old_total;
        const double required =
            std::clamp(std::floor(total_responses * share * min_response_fraction), 1.0,
                       max_required_responses);
        if (share >= min_route_traffic_share && route.new_responses < required) {
            return "too few answers on route " + route.route + ": " +
                   std::to_string(std::lround(route.new_responses));
        }
    }
    return {};
}

std::string acceptance_check::find_excess_failures(
    const std::vector<route_comparison>& comparisons) const {
    const auto comparison_count = static_cast<double>(comparisons.size());
    for (const route_comparison& comparison : comparisons) {
        const sample_proportion treatment = comparison.treatment();
        const double control = conservative_control_share(comparison);
        const double rate_divisor = comparison_count < 2.0     ? 1.0
                                    : comparison.route.empty() ? 2.0
                                                               : 2.0 * (comparison_count - 1.0);
        const bool unlikely =
            treatment.flagged >
                binomial_quantile(treatment.total, control, false_doubt_rate / rate_divisor) &&
            excess_upper_bound(treatment, control, settings_.false_good_rate) > detectable_excess;
        const double log_likelihood_ratio = log_likelihood(treatment, control + detectable_excess) -
                                            log_likelihood(treatment, control);
        if (unlikely || log_likelihood_ratio > std::log(doubt_likelihood_ratio * rate_divisor)) {
            return comparison.describe("failed") + ": more than chance explains";
        }
    }
    return {};
}

std::string acceptance_check::find_slowdown(const response_statistics& responses) const {
    slowness_criterion first_event{latency_kind::first_event, doubt_slowdown * load_ratio_, 0.0,
                                   cold_cache_allowance};
    slowness_criterion event_interval{latency_kind::event_interval, doubt_slowdown * load_ratio_};
    for (slowness_criterion* criterion : {&first_event, &event_interval}) {
        for (const double level : slowness_levels) {
            criterion->level = level;
            std::vector<route_comparison> comparisons = responses.slow(*criterion);
            exclude_outlier_target(comparisons, settings_.min_targets);
            for (const route_comparison& comparison : comparisons) {
                if (comparison.log_evidence(comparison.treatment(), 0.0) >=
                    std::log(doubt_e_value)) {
                    return comparison.describe(criterion == &first_event ? "began late"
                                                                         : "went on slowly");
                }
            }
        }
    }
    return {};
}

}  // namespace wrenswitch
