#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/ingress/account_usage.hpp"
#include "wrenswitch/decision/ingress/link_scheduler.hpp"

namespace wrenswitch {

/// How much of a link was used at one time, and the account that offered the most bytes then.
struct link_peak {
    /// The busier direction, as a fraction of the bandwidth.
    double utilization = 0.0;
    /// Empty if no account offered bytes.
    std::string account;
    /// The account's fraction of the bytes that all accounts offered, or of those that the entry
    /// received or wrote if these were more.
    double account_share = 0.0;
};

/// Keeps the recent times at which an entry's link was above half of its bandwidth, so that the
/// cause of a late request can be named when it ends. Below that share a link delays nobody, and
/// nothing is kept.
///
/// A sample is dropped once a later one shows at least as much use, because no request that still
/// waits needs it. What remains decreases over time, and its first sample within a wait is the
/// highest of that wait.
class link_peak_history {
public:
    static constexpr double min_utilization = 0.5;

    /// Bounds of memory. Requests that wait for longer see the peaks of their last minute.
    static constexpr microseconds max_age = seconds(60);
    static constexpr std::size_t max_samples = 256;

    /// The time that one sample stands for. The use is an average over 100 ms, of which a fifth
    /// changes in 25 ms.
    static constexpr microseconds sample_period = milliseconds(25);

    /// Zero if the bandwidth is unknown; nothing is kept then.
    explicit link_peak_history(double bytes_per_second);

    /// Takes a sample of the total numbers of bytes, if the last one is older than `sample_period`.
    void observe(instant now, link_bytes total, const account_usage& usage);

    /// The highest use since a time. Nothing if it was never above half of the bandwidth.
    std::optional<link_peak> highest_since(instant begun) const;

    /// The number of samples that are kept.
    std::size_t size() const { return samples_.size(); }

private:
    struct sample {
        instant at{};
        link_peak peak;
    };

    link_bytes carried_by(instant now, link_bytes total);

    double bandwidth_;
    /// The bytes that are written and not carried yet.
    double send_queue_ = 0.0;
    std::uint64_t sent_ = 0;
    link_rate use_;
    /// What was received and written, averaged over the same time as the loads of accounts.
    link_rate offered_;
    instant sampled_at_{};
    std::deque<sample> samples_;
};

}  // namespace wrenswitch
