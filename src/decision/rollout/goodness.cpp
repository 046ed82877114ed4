#include "decision/rollout/goodness.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

#include "decision/rollout/badness.hpp"

namespace wrenswitch {
namespace {

/// The least excess of failures that a good verdict should rule out.
constexpr double sought_excess = 0.05;
/// With fewer answers nothing is held of a version: 16 without a failure rule out 22% failures.
constexpr double least_answers = 16.0;
/// A version with a single target that answers isn't held for good before so many answers: by then
/// its other targets would have had their turn.
constexpr double least_of_single_target = 20.0;
/// A route with a smaller share of the old version's answers isn't waited for.
constexpr double notable_share = 0.05;
/// Of the answers that a route should have had by its share, so large a part must have come; at
/// least one, and no more than ten are waited for. At 7 expected, one in 1,000 has none.
constexpr double wanted_part = 0.25;
constexpr double most_wanted = 10.0;
/// The share of good versions that have more failures than is borne here and come late for it.
constexpr double wrongly_doubted = 0.008;
/// Nor is a version that so much more likely fails in 5% more than as often as the old one: at 0.2%
/// failures of the old one, one failure of 31 is borne, two are of 110, and 2% of good versions
/// at 124 requests/s and 8 s come late for it.
constexpr double doubted_odds = 10.0;
/// A version that is slower by this or more isn't held for good.
constexpr double doubted_slowness = 1.5;
/// So much evidence that a version is slower by that speaks against it.
constexpr double doubted_evidence = 5.0;
/// The evidence that a target differs from the others of its version, so that it is left out.
constexpr double odd_target = 6.0;
/// The least by which its share of marks is larger than the others'.
constexpr double odd_excess = 0.02;

/// The old version's share, as if one more answer had come and failed: none of some hundred doesn't
/// mean never.
double careful_share(const marked_scope& scope) {
    return std::max(scope.control.value(),
                    (scope.counted.marked + 1.0) / (scope.counted.all + 1.0));
}

/// Leaves out, in all scopes, the one target that differs from the others, if one does.
std::optional<std::size_t> leave_out_odd_target(std::vector<marked_scope>& scopes,
                                                std::size_t least_targets) {
    if (scopes.empty() || scopes.front().targets_with_answers() <= least_targets) {
        return std::nullopt;
    }
    const marked_scope& all = scopes.front();
    const std::optional<std::size_t> worst = all.worst_target();
    if (!worst || !all.bore_as_others(*worst)) {
        return std::nullopt;
    }
    const answer_share odd = all.targets[*worst];
    const answer_share others = all.fresh().without(odd);
    if (log_evidence_of_excess(odd, others, odd_excess, all.guess) < std::log(odd_target)) {
        return std::nullopt;
    }
    for (marked_scope& scope : scopes) {
        scope.targets[*worst] = {};
    }
    return worst;
}

}  // namespace

goodness::answer goodness::ask(const answer_table& answers) const {
    std::vector<marked_scope> failures = answers.failures();
    if (std::string unknown = missing(failures); !unknown.empty()) {
        return {false, std::move(unknown)};
    }
    const double all_answers = failures.front().fresh().all;
    if (std::string unknown = missing_route(answers, all_answers); !unknown.empty()) {
        return {false, std::move(unknown)};
    }
    const std::optional<std::size_t> odd = leave_out_odd_target(failures, settings_.least_targets);
    if (std::string doubt = doubted_by_failures(failures); !doubt.empty()) {
        return {false, std::move(doubt)};
    }
    if (std::string doubt = doubted_by_slowness(answers); !doubt.empty()) {
        return {false, std::move(doubt)};
    }
    const marked_scope& all = failures.front();
    std::ostringstream text;
    text.precision(3);
    text << all.text("failed") << ": rules out "
         << ruled_out_excess(all.fresh(), all.control.value(), settings_.wrongly_good) * 100.0
         << "% more failures";
    if (odd) {
        text << "; left out target " << answers.target_name(*odd) << ", which differs";
    }
    return {true, text.str()};
}

std::string goodness::missing(const std::vector<marked_scope>& failures) const {
    if (failures.empty()) {
        return "no route has answers of both versions";
    }
    const marked_scope& all = failures.front();
    const double answers = all.fresh().all;
    const bool few_targets = all.targets_with_answers() < settings_.least_targets;
    if (answers < (few_targets ? least_of_single_target : least_answers)) {
        return "too few answers: " + std::to_string(std::lround(answers));
    }
    return {};
}

std::string goodness::missing_route(const answer_table& answers, double all) {
    double old = 0.0;
    for (const auto& route : answers.routes()) {
        old += route.old_answers;
    }
    for (const auto& route : answers.routes()) {
        const double share = route.old_answers / old;
        const double wanted = std::clamp(std::floor(all * share * wanted_part), 1.0, most_wanted);
        if (share >= notable_share && route.new_answers < wanted) {
            return "too few answers on route " + route.route + ": " +
                   std::to_string(std::lround(route.new_answers));
        }
    }
    return {};
}

std::string goodness::doubted_by_failures(const std::vector<marked_scope>& scopes) const {
    const auto count = static_cast<double>(scopes.size());
    for (const marked_scope& scope : scopes) {
        const answer_share fresh = scope.fresh();
        const double control = careful_share(scope);
        const double parts = count < 2.0 ? 1.0 : scope.route.empty() ? 2.0 : 2.0 * (count - 1.0);
        const bool unlikely =
            fresh.marked > most_by_chance(fresh.all, control, wrongly_doubted / parts) &&
            ruled_out_excess(fresh, control, settings_.wrongly_good) > sought_excess;
        const double odds =
            log_likelihood(fresh, control + sought_excess) - log_likelihood(fresh, control);
        if (unlikely || odds > std::log(doubted_odds * parts)) {
            return scope.text("failed") + ": more than chance explains";
        }
    }
    return {};
}

std::string goodness::doubted_by_slowness(const answer_table& answers) const {
    slowness first{answer_time::first, doubted_slowness * stress_, 0.0, cold_answers};
    slowness pace{answer_time::pace, doubted_slowness * stress_};
    for (slowness* kind : {&first, &pace}) {
        for (const double level : slowness_levels) {
            kind->level = level;
            std::vector<marked_scope> scopes = answers.slow(*kind);
            leave_out_odd_target(scopes, settings_.least_targets);
            for (const marked_scope& scope : scopes) {
                if (scope.log_evidence(scope.fresh(), 0.0) >= std::log(doubted_evidence)) {
                    return scope.text(kind == &first ? "began late" : "went on slowly");
                }
            }
        }
    }
    return {};
}

}  // namespace wrenswitch
