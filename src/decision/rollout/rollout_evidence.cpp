#include "wrenswitch/decision/rollout/rollout_evidence.hpp"

#include <algorithm>
#include <numeric>

namespace wrenswitch {
namespace {

constexpr double growth = 1.5;

std::array<double, time_counts::buckets> bounds() {
    std::array<double, time_counts::buckets> result{};
    double bound = 1.0;
    for (double& each : result) {
        each = bound;
        bound *= growth;
    }
    return result;
}

const std::array<double, time_counts::buckets>& all_bounds_ms() {
    static const std::array<double, time_counts::buckets> result = bounds();
    return result;
}

}  // namespace

std::size_t time_counts::bucket_of(microseconds time) {
    const auto& all = all_bounds_ms();
    const auto found = std::lower_bound(all.begin(), all.end(), as_milliseconds(time));
    if (found == all.end()) {
        return buckets - 1;
    }
    return static_cast<std::size_t>(found - all.begin());
}

double time_counts::bound_ms(std::size_t bucket) {
    return all_bounds_ms().at(bucket);
}

void time_counts::add(microseconds time) {
    counts_[bucket_of(time)] += 1;
}

void time_counts::add(const time_counts& other) {
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        counts_[bucket] += other.counts_[bucket];
    }
}

time_counts time_counts::since(const time_counts& earlier) const {
    time_counts result;
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        result.counts_[bucket] =
            counts_[bucket] - std::min(counts_[bucket], earlier.counts_[bucket]);
    }
    return result;
}

std::uint64_t time_counts::total() const {
    return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

void answer_counts::add(const answer_counts& other) {
    sent += other.sent;
    well += other.well;
    badly += other.badly;
    silent += other.silent;
    first.add(other.first);
    pace.add(other.pace);
}

answer_counts answer_counts::since(const answer_counts& earlier) const {
    answer_counts result;
    result.sent = sent - std::min(sent, earlier.sent);
    result.well = well - std::min(well, earlier.well);
    result.badly = badly - std::min(badly, earlier.badly);
    result.silent = silent - std::min(silent, earlier.silent);
    result.first = first.since(earlier.first);
    result.pace = pace.since(earlier.pace);
    return result;
}

rollout_evidence rollout_evidence::since(const rollout_evidence& earlier) const {
    rollout_evidence result;
    for (const auto& [key, answers] : counts) {
        const auto found = earlier.counts.find(key);
        result.counts[key] = found == earlier.counts.end() ? answers : answers.since(found->second);
    }
    return result;
}

void rollout_evidence::add(const rollout_evidence& other) {
    for (const auto& [key, answers] : other.counts) {
        counts[key].add(answers);
    }
}

answer_counts rollout_evidence::of_new_version() const {
    answer_counts sum;
    for (const auto& [key, answers] : counts) {
        if (!key.target.empty()) {
            sum.add(answers);
        }
    }
    return sum;
}

answer_counts rollout_evidence::of_old_version() const {
    answer_counts sum;
    for (const auto& [key, answers] : counts) {
        if (key.target.empty()) {
            sum.add(answers);
        }
    }
    return sum;
}

}  // namespace wrenswitch
