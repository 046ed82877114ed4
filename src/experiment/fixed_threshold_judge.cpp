#include "experiment/fixed_threshold_judge.hpp"

#include <algorithm>
#include <cmath>
#include <span>

#include "decision/rollout/answer_table.hpp"

namespace wrenswitch::experiment {
namespace {

constexpr double bad_deviations = 3.1;
constexpr double doubted_deviations = 2.0;
constexpr double least_answers = 16.0;

/// By how many standard deviations the new version's share is larger.
double deviations(const marked_scope& scope) {
    const answer_share fresh = scope.fresh();
    answer_share both = fresh;
    both.add(scope.control);
    const double share = both.value();
    const double variance = share * (1.0 - share) * (1.0 / fresh.all + 1.0 / scope.control.all);
    return variance > 0.0 ? (fresh.value() - scope.control.value()) / std::sqrt(variance) : 0.0;
}

}  // namespace

rollout_opinion fixed_threshold_opinion(const rollout_evidence& evidence) {
    constexpr double level = 0.05;
    const answer_table table(std::span(&evidence, 1));
    std::vector<marked_scope> scopes = table.failures();
    const double answers = scopes.empty() ? 0.0 : scopes.front().fresh().all;
    for (const auto time : {answer_time::first, answer_time::pace}) {
        for (marked_scope& scope : table.slow({time, 2.0, level})) {
            scopes.push_back(std::move(scope));
        }
    }
    double most = 0.0;
    for (const marked_scope& scope : scopes) {
        most = std::max(most, deviations(scope));
    }
    if (most >= bad_deviations && answers >= least_answers) {
        return rollout_opinion::bad;
    }
    return answers >= least_answers && most < doubted_deviations ? rollout_opinion::good
                                                                 : rollout_opinion::undecided;
}

}  // namespace wrenswitch::experiment
