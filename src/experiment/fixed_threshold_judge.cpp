#include "experiment/fixed_threshold_judge.hpp"

#include <algorithm>
#include <cmath>
#include <span>

#include "decision/rollout/response_statistics.hpp"

namespace wrenswitch::experiment {
namespace {

constexpr double bad_deviations = 3.1;
constexpr double doubted_deviations = 2.0;
constexpr double least_answers = 16.0;

/// By how many standard deviations the new version's share is larger.
double deviations(const route_comparison& scope) {
    const sample_proportion fresh = scope.treatment();
    sample_proportion both = fresh;
    both.add(scope.control);
    const double share = both.value();
    const double variance = share * (1.0 - share) * (1.0 / fresh.total + 1.0 / scope.control.total);
    return variance > 0.0 ? (fresh.value() - scope.control.value()) / std::sqrt(variance) : 0.0;
}

}  // namespace

evaluation_result fixed_threshold_opinion(const rollout_evidence& evidence) {
    constexpr double level = 0.05;
    const response_statistics table(std::span(&evidence, 1));
    std::vector<route_comparison> scopes = table.failures();
    const double answers = scopes.empty() ? 0.0 : scopes.front().treatment().total;
    for (const auto time : {latency_kind::first_event, latency_kind::event_interval}) {
        for (route_comparison& scope : table.slow({time, 2.0, level})) {
            scopes.push_back(std::move(scope));
        }
    }
    double most = 0.0;
    for (const route_comparison& scope : scopes) {
        most = std::max(most, deviations(scope));
    }
    if (most >= bad_deviations && answers >= least_answers) {
        return evaluation_result::bad;
    }
    return answers >= least_answers && most < doubted_deviations ? evaluation_result::good
                                                                 : evaluation_result::undecided;
}

}  // namespace wrenswitch::experiment
