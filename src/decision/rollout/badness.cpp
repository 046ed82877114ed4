#include "decision/rollout/badness.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace wrenswitch {
namespace {

/// A version may fail that much more often and is never bad: its targets have just begun. With none
/// borne, 3 failures of 10,000 answers would do; with 0.01, twice as many answers are needed to
/// find 5% failures as with 0.003.
constexpr double borne_excess = 0.003;
/// How much slower a version may be and is never bad. Buckets round it up to 2.25.
constexpr double borne_slowness = 2.0;
/// Where most answers take as long as the old version's, those that are slower by this are a part
/// that is slower by more: if 30% are 4 times slower, 0.15 to 0.23 more of them than of the old
/// version's lie beyond its median bucket; if all are 1.9 times slower, 0.40 to 0.47 (times whose
/// logarithm spreads by 0.5).
constexpr double part_slowness = 1.5;
constexpr double most_beyond_median = 0.33;
/// So large a part may be slower: no tail is the same for two versions.
constexpr double borne_part = 0.02;
/// How much slower an answer may be for an empty cache: a prompt of 6,300 shared and 2,890 own
/// tokens is read in 3.2 times the time if nothing of it is kept. Buckets round it up to 3.4.
constexpr double cold_slowness = 3.3;
/// One in so many roll-outs has a target that differs from the others of its version: what the
/// others show beside it needs that much less evidence than all together.
constexpr double seldom_odd = 20.0;
/// A single target's answers may be the target's fault. With fewer bad ones than this, which it
/// takes to be put aside for its own failures, nothing is held of the version.
constexpr double least_of_single_target = 8.0;
/// Bad answers beyond what the old version explains that end a roll-out, whatever the tests say:
/// half of what users bear of a bad version.
constexpr double most_bad_answers = 25.0;
/// The same while one target of several has given nearly all of them, still less than users bear.
constexpr double most_of_one_target = 40.0;
constexpr double nearly_none = 5.0;
/// No number of bad answers of one target counts if another had as many answers and the others rule
/// out so large an excess: a bad version shows on all.
constexpr double cleared_excess = 0.05;
/// So many standard deviations of the old version's share aren't beyond it.
constexpr double chance_deviations = 4.0;

/// A kind of slowness that good versions don't have, and its name in the log.
struct slow_kind {
    slowness marks;
    bool of_a_part = false;
    const char* words = "";
};

std::vector<slow_kind> kinds_of_slowness(double stress) {
    using enum answer_time;
    return {{{first, borne_slowness * stress, 0.0, cold_answers}, false, "began late"},
            {{first, cold_slowness * stress}, false, "began several times later"},
            {{pace, borne_slowness * stress}, false, "went on slowly"},
            {{first, part_slowness * stress, 0.0, cold_answers}, true, "began late"},
            {{pace, part_slowness * stress}, true, "went on slowly"}};
}

/// The slow answers, without those by routes where most are slower: there the version is slower by
/// a little, not a part of its answers by much.
std::vector<marked_scope> slow_part(const answer_table& answers, const slowness& kind) {
    const std::vector<marked_scope> usual = answers.slow({kind.time, 1.0, 0.5});
    std::vector<marked_scope> scopes = answers.slow(kind);
    for (marked_scope& scope : scopes) {
        const auto found = std::find_if(usual.begin(), usual.end(), [&](const marked_scope& each) {
            return each.route == scope.route;
        });
        if (found == usual.end() ||
            found->fresh().value() > found->control.value() + most_beyond_median) {
            scope.targets.clear();
        }
    }
    return scopes;
}

/// Bad answers that the control's share doesn't explain.
double unexplained(const marked_scope& scope, const answer_share& fresh) {
    const double share = scope.control.value();
    const double mean = fresh.all * share;
    const double spread = std::sqrt(mean * (1.0 - share));
    return std::max(0.0, fresh.marked - mean - chance_deviations * spread);
}

}  // namespace

std::optional<std::string> badness::shown_by(const answer_table& answers) const {
    if (auto shown = shown_by_number(answers)) {
        return shown;
    }
    const double half = settings_.wrongly_bad / 2.0;
    if (auto shown = shown_by_shares(answers.failures(), half, borne_excess, "failed")) {
        return shown;
    }
    const std::vector<slow_kind> kinds = kinds_of_slowness(stress_);
    const double each = half / static_cast<double>(kinds.size() * slowness_levels.size());
    for (slow_kind kind : kinds) {
        for (const double level : slowness_levels) {
            kind.marks.level = level;
            const auto scopes =
                kind.of_a_part ? slow_part(answers, kind.marks) : answers.slow(kind.marks);
            const double tolerance = kind.of_a_part ? borne_part : borne_excess;
            if (auto shown = shown_by_shares(scopes, each, tolerance, kind.words)) {
                return shown;
            }
        }
    }
    return std::nullopt;
}

std::optional<std::string> badness::shown_by_number(const answer_table& answers) const {
    const slowness first{answer_time::first, cold_slowness * stress_};
    const slowness pace{answer_time::pace, borne_slowness * stress_};
    // What is plain has no caches that could be cold.
    slowness plain{answer_time::first, borne_slowness * stress_};
    plain.plain_only = true;
    bad_number slow;
    for (slowness kind : {first, pace, plain}) {
        for (const double level : slowness_levels) {
            kind.level = level;
            slow.take_larger(number_in(answers.slow(kind)));
        }
    }
    bad_number bad = number_in(answers.failures());
    bad.all += slow.all;
    bad.without_worst += slow.without_worst;
    const bool of_one = bad.targets > settings_.least_targets && bad.without_worst < nearly_none;
    if (bad.all < (of_one ? most_of_one_target : most_bad_answers)) {
        return std::nullopt;
    }
    std::ostringstream text;
    text.precision(3);
    text << bad.all << " bad answers beyond what the old version's share explains, "
         << bad.without_worst << " of them not of the worst target of " << bad.targets;
    return text.str();
}

badness::bad_number badness::number_in(const std::vector<marked_scope>& scopes) const {
    if (scopes.empty()) {
        return {};
    }
    const marked_scope& scope = scopes.front();
    const answer_share fresh = scope.fresh();
    const double all = unexplained(scope, fresh);
    const std::size_t targets = scope.targets_with_answers();
    const std::optional<std::size_t> worst = scope.worst_target();
    if (!worst) {
        return {all, all, targets};
    }
    const answer_share rest = fresh.without(scope.targets[*worst]);
    const double without_worst = unexplained(scope, rest);
    const bool cleared =
        scope.bore_as_others(*worst) &&
        ruled_out_excess(rest, scope.control.value(), settings_.wrongly_good) <= cleared_excess;
    return {cleared ? without_worst : all, without_worst, targets};
}

std::optional<std::string> badness::shown_by_shares(const std::vector<marked_scope>& scopes,
                                                    double wrongly, double tolerance,
                                                    const std::string& marks) const {
    const auto count = static_cast<double>(scopes.size());
    for (const marked_scope& scope : scopes) {
        // All routes together have half of the chance of error, the routes share the other.
        const double parts = count < 2.0 ? 1.0 : scope.route.empty() ? 2.0 : 2.0 * (count - 1.0);
        if (shows(scope, wrongly / parts, tolerance)) {
            return scope.text(marks);
        }
    }
    return std::nullopt;
}

bool badness::shows(const marked_scope& scope, double wrongly, double tolerance) const {
    const answer_share fresh = scope.fresh();
    if (scope.log_evidence(fresh, tolerance) < std::log(1.0 / wrongly)) {
        return false;
    }
    if (scope.targets_with_answers() < settings_.least_targets) {
        return scope.excess() >= least_of_single_target;
    }
    const double wanted = std::log(1.0 / (wrongly * seldom_odd));
    return std::all_of(scope.targets.begin(), scope.targets.end(),
                       [&](const answer_share& left_out) {
                           return scope.log_evidence(fresh.without(left_out), tolerance) >= wanted;
                       });
}

}  // namespace wrenswitch
