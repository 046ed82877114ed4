#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// How many answers took how long, in buckets whose bounds grow by half each: 1 ms, 1.5 ms, 2.25 ms
/// and so on to 11 s. Two times between these that differ by a factor of two are never in one
/// bucket.
class time_counts {
public:
    static constexpr std::size_t buckets = 24;

    void add(microseconds time);
    void add(const time_counts& other);
    /// What came since these counts were this; nothing of what is now less.
    time_counts since(const time_counts& earlier) const;

    /// The bucket that a time falls into.
    static std::size_t bucket_of(microseconds time);

    /// The upper bound of a bucket, in milliseconds.
    static double bound_ms(std::size_t bucket);

    std::array<std::uint32_t, buckets>& counts() { return counts_; }
    const std::array<std::uint32_t, buckets>& counts() const { return counts_; }
    std::uint64_t total() const;

    friend bool operator==(const time_counts&, const time_counts&) = default;

private:
    std::array<std::uint32_t, buckets> counts_{};
};

/// What came of the requests that went to some targets by one route. All counts only grow while the
/// process lives that counts them, so that a report that is lost or comes twice harms nothing.
struct answer_counts {
    /// Requests that were sent there, of which a byte left.
    std::uint64_t sent = 0;
    /// Answers with success, whole.
    std::uint64_t well = 0;
    /// Answers with a failure of the target's own, broken off, or never given though the target had
    /// the time that the caller gave.
    std::uint64_t badly = 0;
    /// Requests that ended without saying anything of the target: the caller left, the target said
    /// that it didn't run them, or couldn't be connected to.
    std::uint64_t silent = 0;
    /// The time to the first event of a stream, or to the head of another answer.
    time_counts first;
    /// The time from the first event to the end, an event; nothing of plain answers.
    time_counts pace;

    void add(const answer_counts& other);
    /// What came since these sums were this; nothing of what is now less.
    answer_counts since(const answer_counts& earlier) const;
    friend bool operator==(const answer_counts&, const answer_counts&) = default;
};

/// Whose answers are counted together.
struct evidence_key {
    std::string route;
    /// A target of the new version; empty for all targets of the old one together.
    std::string target;

    friend bool operator==(const evidence_key&, const evidence_key&) = default;
    friend bool operator<(const evidence_key& left, const evidence_key& right) {
        return std::tie(left.route, left.target) < std::tie(right.route, right.target);
    }
};

/// What is known of one roll-out's answers: by one process, or by all whose reports came.
struct rollout_evidence {
    std::map<evidence_key, answer_counts> counts;

    void add(const rollout_evidence& other);
    /// What came since these sums were this; nothing of what is now less.
    rollout_evidence since(const rollout_evidence& earlier) const;
    /// The sums over all routes and targets of the new version, and of the old one.
    answer_counts of_new_version() const;
    answer_counts of_old_version() const;
};

}  // namespace wrenswitch
