#include "wrenswitch/decision/rollout/rollout_evidence.hpp"

// The sums of evidence, until the module that makes evidence is there: to be dropped with it.

namespace wrenswitch {

void time_counts::add(const time_counts& other) {
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        counts_[bucket] += other.counts_[bucket];
    }
}

void answer_counts::add(const answer_counts& other) {
    sent += other.sent;
    well += other.well;
    badly += other.badly;
    silent += other.silent;
    first.add(other.first);
    pace.add(other.pace);
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
