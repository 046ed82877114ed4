#include "wrenswitch/decision/rollout/rollout_evidence.hpp"

#include <algorithm>
#include <numeric>

namespace wrenswitch {
namespace {

constexpr double bucket_growth = 1.5;

std::array<double, latency_histogram::buckets> bounds() {
    std::array<double, latency_histogram::buckets> result{};
    double bound = 1.0;
    for (double& value : result) {
        value = bound;
        bound *= bucket_growth;
    }
    return result;
}

const std::array<double, latency_histogram::buckets>& all_bounds_ms() {
    static const std::array<double, latency_histogram::buckets> result = bounds();
    return result;
}

}  // namespace

std::size_t latency_histogram::bucket_of(microseconds latency) {
    const auto& bounds_ms = all_bounds_ms();
    const auto found =
        std::lower_bound(bounds_ms.begin(), bounds_ms.end(), as_milliseconds(latency));
    if (found == bounds_ms.end()) {
        return buckets - 1;
    }
    return static_cast<std::size_t>(found - bounds_ms.begin());
}

double latency_histogram::bound_ms(std::size_t bucket) {
    return all_bounds_ms().at(bucket);
}

void latency_histogram::add(microseconds latency) {
    counts_[bucket_of(latency)] += 1;
}

void latency_histogram::add(const latency_histogram& other) {
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        counts_[bucket] += other.counts_[bucket];
    }
}

latency_histogram latency_histogram::since(const latency_histogram& earlier) const {
    latency_histogram result;
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        result.counts_[bucket] =
            counts_[bucket] - std::min(counts_[bucket], earlier.counts_[bucket]);
    }
    return result;
}

std::uint64_t latency_histogram::total() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

void response_counts::add(const response_counts& other) {
    sent += other.sent;
    succeeded += other.succeeded;
    failed += other.failed;
    inconclusive += other.inconclusive;
    first_event.add(other.first_event);
    event_interval.add(other.event_interval);
}

response_counts response_counts::since(const response_counts& earlier) const {
    response_counts result;
    result.sent = sent - std::min(sent, earlier.sent);
    result.succeeded = succeeded - std::min(succeeded, earlier.succeeded);
    result.failed = failed - std::min(failed, earlier.failed);
    result.inconclusive = inconclusive - std::min(inconclusive, earlier.inconclusive);
    result.first_event = first_event.since(earlier.first_event);
    result.event_interval = event_interval.since(earlier.event_interval);
    return result;
}

rollout_evidence rollout_evidence::since(const rollout_evidence& earlier) const {
    rollout_evidence result;
    for (const auto& [key, responses] : counts) {
        const auto found = earlier.counts.find(key);
        result.counts[key] =
            found == earlier.counts.end() ? responses : responses.since(found->second);
    }
    return result;
}

void rollout_evidence::add(const rollout_evidence& other) {
    for (const auto& [key, responses] : other.counts) {
        counts[key].add(responses);
    }
}

response_counts rollout_evidence::of_new_version() const {
    response_counts sum;
    for (const auto& [key, responses] : counts) {
        if (!key.target.empty()) {
            sum.add(responses);
        }
    }
    return sum;
}

response_counts rollout_evidence::of_old_version() const {
    response_counts sum;
    for (const auto& [key, responses] : counts) {
        if (key.target.empty()) {
            sum.add(responses);
        }
    }
    return sum;
}

}  // namespace wrenswitch
