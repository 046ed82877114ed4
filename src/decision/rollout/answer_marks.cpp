#include "decision/rollout/answer_marks.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>

namespace wrenswitch {
namespace {

/// Fewer answers of the old version don't tell how long its slowest hundredth takes.
constexpr double least_control_times = 30.0;
/// The step between the bounds of two buckets of times.
constexpr double bucket_growth = 1.5;

/// Bad versions fail from some percent to a third of their answers, which costs 1.7 nats of
/// evidence at 5 of 100; old ones mostly near none, which costs 0.7 nats at none of 1,000.
constexpr share_guess guess_of_failures{1.0, 4.0, 0.1, 1.0};
/// So many answers' worth is known beforehand of the old version's share of slow ones: it is what
/// was sought, but for the width of a bucket.
constexpr double known_control = 20.0;

using scopes_by_route = std::map<std::string, marked_scope>;

/// The answers that took longer than a bucket's bound; all of them for a bucket before the first.
double beyond(const time_counts& times, int bucket) {
    double sum = 0.0;
    for (int each = std::max(0, bucket + 1); each < static_cast<int>(time_counts::buckets);
         ++each) {
        sum += times.counts()[static_cast<std::size_t>(each)];
    }
    return sum;
}

/// How many buckets a factor spans, rounded up, so that a version that is slower by less never
/// looks slower.
int buckets_of(double factor) {
    constexpr double rounding = 1e-9;
    return static_cast<int>(std::ceil(std::log(factor) / std::log(bucket_growth) - rounding));
}

/// The first bucket beyond whose bound, divided by the factor, no more than a share of the old
/// version's answers lie; nothing if the last bucket is too early.
std::optional<int> slow_from(const time_counts& control, int shift, double level) {
    const auto total = static_cast<double>(control.total());
    for (int bucket = 0; bucket + 1 < static_cast<int>(time_counts::buckets); ++bucket) {
        if (beyond(control, bucket - shift) <= level * total) {
            return bucket;
        }
    }
    return std::nullopt;
}

/// All routes together, with the control weighted by the new version's answers by each route.
marked_scope pooled(const scopes_by_route& routes) {
    marked_scope result;
    result.guess = routes.begin()->second.guess;
    double expected = 0.0;
    double answers = 0.0;
    double thinnest = std::numeric_limits<double>::max();
    for (const auto& [route, scope] : routes) {
        const double fresh = scope.fresh().all;
        expected += fresh * scope.control.value();
        answers += fresh;
        thinnest = std::min(thinnest, scope.control.all / fresh);
        for (const auto& [target, share] : scope.targets) {
            result.targets[target].add(share);
        }
    }
    result.control = {expected * thinnest, answers * thinnest};
    return result;
}

std::vector<marked_scope> with_pooled(scopes_by_route routes) {
    std::erase_if(routes, [](const auto& each) {
        return each.second.control.all <= 0.0 || each.second.fresh().all <= 0.0;
    });
    std::vector<marked_scope> result;
    if (routes.size() > 1) {
        result.push_back(pooled(routes));
    }
    for (auto& [route, scope] : routes) {
        result.push_back(std::move(scope));
    }
    return result;
}

}  // namespace

answer_share marked_scope::fresh() const {
    answer_share sum;
    for (const auto& [target, share] : targets) {
        sum.add(share);
    }
    return sum;
}

double marked_scope::excess() const {
    const answer_share all = fresh();
    return all.marked - all.all * control.value();
}

std::string marked_scope::worst_target() const {
    std::string worst;
    double most = 0.0;
    for (const auto& [target, share] : targets) {
        const double over = share.marked - share.all * control.value();
        if (over > most) {
            most = over;
            worst = target;
        }
    }
    return worst;
}

bool marked_scope::bore_as_others(const std::string& target) const {
    // One that has all of the canary for a fifth of the time has twice the answers of three others.
    constexpr double about = 0.65;
    const double least = about * targets.at(target).all;
    return std::any_of(targets.begin(), targets.end(), [&](const auto& each) {
        return each.first != target && each.second.all >= least;
    });
}

std::vector<marked_scope> failures_by_scope(const rollout_evidence& evidence) {
    scopes_by_route routes;
    for (const auto& [key, answers] : evidence.counts) {
        const answer_share share{static_cast<double>(answers.badly),
                                 static_cast<double>(answers.well + answers.badly)};
        marked_scope& scope = routes[key.route];
        scope.route = key.route;
        scope.guess = guess_of_failures;
        if (key.target.empty()) {
            scope.control = share;
        } else if (share.all > 0.0) {
            scope.targets[key.target] = share;
        }
    }
    return with_pooled(std::move(routes));
}

std::vector<marked_scope> slow_answers_by_scope(const rollout_evidence& evidence,
                                                const slowness& kind) {
    scopes_by_route routes;
    const int shift = buckets_of(kind.factor);
    const share_guess guess{1.0, 1.0, known_control * kind.level,
                            known_control * (1.0 - kind.level)};
    // The old version's answers of a route come first, since an empty target sorts before all.
    const std::string* route = nullptr;
    std::optional<int> slow;
    bool streams = false;
    for (const auto& [key, answers] : evidence.counts) {
        const time_counts& times = answers.*kind.time;
        const auto total = static_cast<double>(times.total());
        marked_scope& scope = routes[key.route];
        if (route == nullptr || *route != key.route) {
            route = &key.route;
            scope.route = key.route;
            scope.guess = guess;
            slow.reset();
        }
        if (key.target.empty() && total >= least_control_times) {
            slow = slow_from(times, shift, kind.level);
            streams = answers.pace.total() > 0;
            scope.control =
                slow ? answer_share{beyond(times, *slow - shift), total} : answer_share{};
        } else if (!key.target.empty() && slow && total > 0.0) {
            const double marked = beyond(times, *slow);
            const double cold = std::min(marked, kind.cold(total, streams));
            scope.targets[key.target] = {marked - cold, total - cold};
        }
    }
    return with_pooled(std::move(routes));
}

}  // namespace wrenswitch
