#include "decision/rollout/answer_table.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// Fewer answers of the old version don't tell how long its slowest hundredth takes.
constexpr double least_control_times = 30.0;
/// The step between the bounds of two buckets of times.
constexpr double bucket_growth = 1.5;
constexpr int last_bucket = static_cast<int>(time_counts::buckets) - 1;

/// Bad versions fail from some percent to a third of their answers, which costs 1.7 nats of
/// evidence at 5 of 100; old ones mostly near none, which costs 0.7 nats at none of 1,000.
constexpr share_guess guess_of_failures{1.0, 4.0, 0.1, 1.0};
/// So many answers' worth is known beforehand of the old version's share of slow ones: it is what
/// was sought, but for the width of a bucket.
constexpr double known_control = 20.0;

/// How many buckets a factor spans, rounded up, so that a version that is slower by less never
/// looks slower.
int buckets_of(double factor) {
    constexpr double rounding = 1e-9;
    return static_cast<int>(std::ceil(std::log(factor) / std::log(bucket_growth) - rounding));
}

}  // namespace

answer_table::answer_table(std::span<const rollout_evidence> stretches) {
    for (const rollout_evidence& stretch : stretches) {
        add(stretch);
    }
    for (route_sums& route : routes_) {
        route.targets.resize(targets_.size());
    }
    std::stable_sort(
        routes_.begin(), routes_.end(),
        [](const route_sums& left, const route_sums& right) { return left.route < right.route; });
}

void answer_table::add(const rollout_evidence& stretch) {
    const std::string* current = nullptr;
    for (const auto& [key, answers] : stretch.counts) {
        if (current == nullptr || *current != key.route) {
            current = &key.route;
            routes_.push_back({key.route, {}, {}});
        }
        route_sums& route = routes_.back();
        if (key.target.empty()) {
            route.control = sums_of(answers);
            continue;
        }
        const std::size_t number = number_of(key.target);
        route.targets.resize(std::max(route.targets.size(), number + 1));
        route.targets[number] = sums_of(answers);
    }
}

std::size_t answer_table::number_of(const std::string& target) {
    const auto found = std::find(targets_.begin(), targets_.end(), target);
    if (found != targets_.end()) {
        return static_cast<std::size_t>(found - targets_.begin());
    }
    targets_.push_back(target);
    return targets_.size() - 1;
}

answer_table::sums answer_table::sums_of(const answer_counts& answers) {
    return {{static_cast<double>(answers.badly), static_cast<double>(answers.well + answers.badly)},
            tails_of(answers.first),
            tails_of(answers.pace)};
}

answer_table::tail_counts answer_table::tails_of(const time_counts& times) {
    tail_counts tails{};
    for (std::size_t bucket = time_counts::buckets; bucket-- > 0;) {
        tails[bucket] = tails[bucket + 1] + times.counts()[bucket];
    }
    return tails;
}

/// The answers that took longer than a bucket's bound; all of them for a bucket before the first.
double answer_table::beyond(const tail_counts& tails, int bucket) {
    return tails[static_cast<std::size_t>(std::clamp(bucket + 1, 0, last_bucket + 1))];
}

/// The first bucket beyond whose bound, divided by the factor, no more than a share of the old
/// version's answers lie; nothing if no later bucket counts what is slow.
std::optional<int> answer_table::slow_from(const tail_counts& control, int shift, double level) {
    for (int bucket = 0; bucket < last_bucket; ++bucket) {
        if (beyond(control, bucket - shift) <= level * control[0]) {
            return bucket;
        }
    }
    return std::nullopt;
}

std::vector<answer_table::route_answers> answer_table::routes() const {
    std::vector<route_answers> result;
    for (const route_sums& route : routes_) {
        if (result.empty() || result.back().route != route.route) {
            result.push_back({route.route});
        }
        result.back().old_answers += route.control.failed.all;
        for (const sums& target : route.targets) {
            result.back().new_answers += target.failed.all;
        }
    }
    return result;
}

std::vector<marked_scope> answer_table::failures() const {
    std::vector<marked_scope> parts;
    for (const route_sums& route : routes_) {
        marked_scope part{
            route.route, route.control.failed, route.control.failed, {}, guess_of_failures};
        part.targets.reserve(route.targets.size());
        for (const sums& target : route.targets) {
            part.targets.push_back(target.failed);
        }
        parts.push_back(std::move(part));
    }
    return joined(std::move(parts));
}

std::vector<marked_scope> answer_table::slow(const slowness& kind) const {
    const int shift = buckets_of(kind.factor);
    const share_guess guess{1.0, 1.0, known_control * kind.level,
                            known_control * (1.0 - kind.level)};
    std::vector<marked_scope> parts;
    for (const route_sums& route : routes_) {
        const bool streams = route.control.pace[0] > 0.0;
        const tail_counts& control = route.control.of(kind.time);
        const std::optional<int> slow = slow_from(control, shift, kind.level);
        if (control[0] < least_control_times || !slow || (streams && kind.plain_only)) {
            continue;
        }
        const answer_share counted{beyond(control, *slow - shift), control[0]};
        marked_scope part{route.route, counted, counted, {}, guess};
        part.targets.reserve(route.targets.size());
        for (const sums& target : route.targets) {
            const tail_counts& times = target.of(kind.time);
            const double marked = beyond(times, *slow);
            const double cold = streams ? std::min(marked, kind.cold_streams) : 0.0;
            part.targets.push_back({marked - cold, times[0] - cold});
        }
        parts.push_back(std::move(part));
    }
    return joined(std::move(parts));
}

/// Several parts together, with the control weighted by the new version's answers in each. It
/// counts as many answers as a control without parts that is as sure.
marked_scope answer_table::pooled(std::span<const marked_scope> parts) {
    marked_scope result;
    result.guess = parts.front().guess;
    result.targets.resize(parts.front().targets.size());
    double expected = 0.0;
    double answers = 0.0;
    double unsure = 0.0;
    for (const marked_scope& part : parts) {
        const double fresh = part.fresh().all;
        expected += fresh * part.control.value();
        answers += fresh;
        result.counted.add(part.counted);
        unsure += fresh * fresh / part.control.all;
        for (std::size_t target = 0; target < part.targets.size(); ++target) {
            result.targets[target].add(part.targets[target]);
        }
    }
    const double control = answers * answers / unsure;
    result.control = {control * expected / answers, control};
    return result;
}

/// The parts of each route as one scope.
std::vector<marked_scope> answer_table::joined(std::vector<marked_scope> parts) {
    std::erase_if(parts, [](const marked_scope& part) {
        return part.control.all <= 0.0 || part.fresh().all <= 0.0;
    });
    std::vector<marked_scope> scopes;
    for (auto begin = parts.begin(); begin != parts.end();) {
        const auto end = std::find_if(begin, parts.end(), [&](const marked_scope& part) {
            return part.route != begin->route;
        });
        scopes.push_back(end - begin == 1 ? *begin : pooled({begin, end}));
        scopes.back().route = begin->route;
        begin = end;
    }
    if (scopes.size() > 1) {
        scopes.insert(scopes.begin(), pooled(parts));
    }
    return scopes;
}

}  // namespace wrenswitch
