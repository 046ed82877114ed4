#include "decision/rollout/response_statistics.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// With fewer responses of the old version the latency of its slowest hundredth is unknown.
constexpr double min_control_responses = 30.0;
/// The factor between the bounds of adjacent latency buckets.
constexpr double bucket_growth = 1.5;
constexpr int last_bucket = static_cast<int>(latency_histogram::buckets) - 1;

/// Bad versions fail in some percent to a third of their responses; this prior costs 1.7 nats of
/// evidence at 5 in 100. Old versions mostly have few failures; it costs 0.7 nats at none in 1,000.
constexpr beta_priors failure_priors{1.0, 4.0, 0.1, 1.0};
/// Weight of the prior of the control's slow share, in responses: the share is known in advance up
/// to the width of a bucket.
constexpr double control_prior_weight = 20.0;

/// The number of buckets that a factor spans, rounded up so that a version slower by less never
/// looks slower.
int bucket_span(double factor) {
    constexpr double rounding = 1e-9;
    return static_cast<int>(std::ceil(std::log(factor) / std::log(bucket_growth) - rounding));
}

}  // namespace

response_statistics::response_statistics(std::span<const rollout_evidence> intervals) {
    for (const rollout_evidence& interval : intervals) {
        add(interval);
    }
    for (route_samples& route : routes_) {
        route.targets.resize(targets_.size());
    }
    std::stable_sort(routes_.begin(), routes_.end(),
                     [](const route_samples& left, const route_samples& right) {
                         return left.route < right.route;
                     });
}

void response_statistics::add(const rollout_evidence& interval) {
    const std::string* current = nullptr;
    for (const auto& [key, responses] : interval.counts) {
        if (current == nullptr || *current != key.route) {
            current = &key.route;
            routes_.push_back({key.route, {}, {}});
        }
        route_samples& route = routes_.back();
        if (key.target.empty()) {
            route.control = samples_of(responses);
            continue;
        }
        const std::size_t index = target_index(key.target);
        route.targets.resize(std::max(route.targets.size(), index + 1));
        route.targets[index] = samples_of(responses);
    }
}

std::size_t response_statistics::target_index(const std::string& target) {
    const auto found = std::find(targets_.begin(), targets_.end(), target);
    if (found != targets_.end()) {
        return static_cast<std::size_t>(found - targets_.begin());
    }
    targets_.push_back(target);
    return targets_.size() - 1;
}

response_statistics::response_samples response_statistics::samples_of(
    const response_counts& responses) {
    return {{static_cast<double>(responses.failed),
             static_cast<double>(responses.succeeded + responses.failed)},
            tail_counts_of(responses.first_event),
            tail_counts_of(responses.event_interval)};
}

response_statistics::tail_counts response_statistics::tail_counts_of(
    const latency_histogram& times) {
    tail_counts tails{};
    for (std::size_t bucket = latency_histogram::buckets; bucket-- > 0;) {
        tails[bucket] = tails[bucket + 1] + times.counts()[bucket];
    }
    return tails;
}

/// The number of responses above a bucket's bound; all of them for a bucket before the first.
double response_statistics::count_above(const tail_counts& tails, int bucket) {
    return tails[static_cast<std::size_t>(std::clamp(bucket + 1, 0, last_bucket + 1))];
}

/// The first bucket whose bound, divided by the factor, is exceeded by at most a share `level` of
/// the old version's responses; empty if no bucket above could count slow responses.
std::optional<int> response_statistics::slow_bucket(const tail_counts& control, int shift,
                                                    double level) {
    for (int bucket = 0; bucket < last_bucket; ++bucket) {
        if (count_above(control, bucket - shift) <= level * control[0]) {
            return bucket;
        }
    }
    return std::nullopt;
}

std::vector<response_statistics::route_responses> response_statistics::routes() const {
    std::vector<route_responses> result;
    for (const route_samples& route : routes_) {
        if (result.empty() || result.back().route != route.route) {
            result.push_back({route.route});
        }
        result.back().old_responses += route.control.failed.total;
        for (const response_samples& target : route.targets) {
            result.back().new_responses += target.failed.total;
        }
    }
    return result;
}

std::vector<route_comparison> response_statistics::failures() const {
    std::vector<route_comparison> comparisons;
    for (const route_samples& route : routes_) {
        route_comparison comparison{
            route.route, route.control.failed, route.control.failed, {}, failure_priors};
        comparison.targets.reserve(route.targets.size());
        for (const response_samples& target : route.targets) {
            comparison.targets.push_back(target.failed);
        }
        comparisons.push_back(std::move(comparison));
    }
    return merge_by_route(std::move(comparisons));
}

std::vector<route_comparison> response_statistics::slow(const slowness_criterion& criterion) const {
    const int shift = bucket_span(criterion.factor);
    const beta_priors priors{1.0, 1.0, control_prior_weight * criterion.level,
                             control_prior_weight * (1.0 - criterion.level)};
    std::vector<route_comparison> comparisons;
    for (const route_samples& route : routes_) {
        const bool streams = route.control.event_interval[0] > 0.0;
        const tail_counts& control = route.control.of(criterion.latency);
        const std::optional<int> slow = slow_bucket(control, shift, criterion.level);
        if (control[0] < min_control_responses || !slow || (streams && criterion.skip_streams)) {
            continue;
        }
        const sample_proportion raw{count_above(control, *slow - shift), control[0]};
        route_comparison comparison{route.route, raw, raw, {}, priors};
        comparison.targets.reserve(route.targets.size());
        for (const response_samples& target : route.targets) {
            const tail_counts& times = target.of(criterion.latency);
            const double flagged = count_above(times, *slow);
            const double cold_count =
                streams ? std::min(flagged, criterion.max_cold_responses) : 0.0;
            comparison.targets.push_back({flagged - cold_count, times[0] - cold_count});
        }
        comparisons.push_back(std::move(comparison));
    }
    return merge_by_route(std::move(comparisons));
}

/// Pools comparisons, with the control weighted by the new version's responses in each. The size of
/// the pooled control is that of an unpooled one with the same variance.
route_comparison response_statistics::pool(std::span<const route_comparison> comparisons) {
    route_comparison result;
    result.priors = comparisons.front().priors;
    result.targets.resize(comparisons.front().targets.size());
    double expected = 0.0;
    double responses = 0.0;
    double variance_weight = 0.0;
    for (const route_comparison& comparison : comparisons) {
        const double treatment_total = comparison.treatment().total;
        expected += treatment_total * comparison.control.value();
        responses += treatment_total;
        result.raw_control.add(comparison.raw_control);
        variance_weight += treatment_total * treatment_total / comparison.control.total;
        for (std::size_t target = 0; target < comparison.targets.size(); ++target) {
            result.targets[target].add(comparison.targets[target]);
        }
    }
    const double control = responses * responses / variance_weight;
    result.control = {control * expected / responses, control};
    return result;
}

/// Pools the intervals of each route, and adds a comparison of all routes in front if there are
/// several.
std::vector<route_comparison> response_statistics::merge_by_route(
    std::vector<route_comparison> comparisons) {
    std::erase_if(comparisons, [](const route_comparison& comparison) {
        return comparison.control.total <= 0.0 || comparison.treatment().total <= 0.0;
    });
    std::vector<route_comparison> merged;
    for (auto begin = comparisons.begin(); begin != comparisons.end();) {
        const auto end = std::find_if(
            begin, comparisons.end(),
            [&](const route_comparison& comparison) { return comparison.route != begin->route; });
        merged.push_back(end - begin == 1 ? *begin : pool({begin, end}));
        merged.back().route = begin->route;
        begin = end;
    }
    if (merged.size() > 1) {
        merged.insert(merged.begin(), pool(comparisons));
    }
    return merged;
}

}  // namespace wrenswitch
