#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// A latency histogram with bucket bounds that grow by a factor of 1.5: 1 ms, 1.5 ms, 2.25 ms and
/// so on up to 11 s. Within this range latencies that differ by a factor of 2 are never in the same
/// bucket.
class latency_histogram {
public:
    static constexpr std::size_t buckets = 24;

    void add(microseconds latency);
    void add(const latency_histogram& other);
    /// The increase since `earlier`; zero for buckets that decreased.
    latency_histogram since(const latency_histogram& earlier) const;

    /// The index of the bucket that a latency falls into.
    static std::size_t bucket_of(microseconds latency);

    /// The upper bound of a bucket, in milliseconds.
    static double bound_ms(std::size_t bucket);

    std::array<std::uint32_t, buckets>& counts() { return counts_; }
    const std::array<std::uint32_t, buckets>& counts() const { return counts_; }
    std::uint64_t total() const;

    friend bool operator==(const latency_histogram&, const latency_histogram&) = default;

private:
    std::array<std::uint32_t, buckets> counts_{};
};

/// Outcomes of the requests sent to some targets on one route. The counters of a process only
/// increase, so lost or duplicated reports do no harm.
struct response_counts {
    /// Requests sent: at least one byte was written.
    std::uint64_t sent = 0;
    /// Complete, successful responses.
    std::uint64_t succeeded = 0;
    /// Failures of the target itself, truncated responses, and missing responses although the
    /// target had the time that the caller allowed.
    std::uint64_t failed = 0;
    /// Requests that tell nothing about the target: the caller disconnected, the target reported
    /// not having executed the request, or it couldn't be connected to.
    std::uint64_t inconclusive = 0;
    /// Time to the first event of a stream, or to the response head otherwise.
    latency_histogram first_event;
    /// Mean time per event after the first one; streams only.
    latency_histogram event_interval;

    void add(const response_counts& other);
    /// The increase since `earlier`; zero for counters that decreased.
    response_counts since(const response_counts& earlier) const;
    friend bool operator==(const response_counts&, const response_counts&) = default;
};

/// Identifies the responses that are counted together.
struct evidence_key {
    std::string route;
    /// A target of the new version; empty for all targets of the old version together.
    std::string target;

    friend bool operator==(const evidence_key&, const evidence_key&) = default;
    friend bool operator<(const evidence_key& left, const evidence_key& right) {
        return std::tie(left.route, left.target) < std::tie(right.route, right.target);
    }
};

/// The response counts of one rollout, from one process or summed over all reports.
struct rollout_evidence {
    std::map<evidence_key, response_counts> counts;

    void add(const rollout_evidence& other);
    /// The increase since `earlier`; zero for counters that decreased.
    rollout_evidence since(const rollout_evidence& earlier) const;
    /// The sums over all routes and targets of the new version, and of the old one.
    response_counts of_new_version() const;
    response_counts of_old_version() const;
};

}  // namespace wrenswitch
