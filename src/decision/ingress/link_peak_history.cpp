#include "wrenswitch/decision/ingress/link_peak_history.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace wrenswitch {
namespace {

/// The time constant by which link sharing measures the use too.
constexpr double use_time_constant = 0.1;

/// The time constant of the rates in `account_usage`.
constexpr double account_time_constant = 1.0;

double busier_direction(const link_rate& rate) {
    return std::max(rate.received(), rate.sent());
}

}  // namespace

link_peak_history::link_peak_history(double bytes_per_second)
    : bandwidth_(bytes_per_second), use_(use_time_constant), offered_(account_time_constant) {}

/// Subtracts what still queues from what was written. The system takes bytes faster than the link
/// carries them, and a burst keeps the link full until it is out.
link_bytes link_peak_history::carried_by(instant now, link_bytes total) {
    const auto written = static_cast<double>(total.sent - std::exchange(sent_, total.sent));
    const double carried = bandwidth_ * as_seconds(now - sampled_at_);
    send_queue_ = std::max(0.0, send_queue_ + written - carried);
    return {total.received, total.sent - static_cast<std::uint64_t>(send_queue_)};
}

void link_peak_history::observe(instant now, link_bytes total, const account_usage& usage) {
    if (bandwidth_ <= 0.0 || now - sampled_at_ < sample_period) {
        return;
    }
    use_.observe(now, carried_by(now, total));
    offered_.observe(now, total);
    sampled_at_ = now;
    while (!samples_.empty() && now - samples_.front().at > max_age) {
        samples_.pop_front();
    }
    link_peak peak;
    peak.utilization = busier_direction(use_) / bandwidth_;
    if (peak.utilization <= min_utilization) {
        return;
    }
    std::vector<account_demand> top = usage.top(now, 1);
    if (!top.empty()) {
        const double all = std::max(usage.total(now), busier_direction(offered_));
        peak.account = std::move(top.front().account);
        peak.account_share = top.front().bytes_per_second / all;
    }
    while (!samples_.empty() && samples_.back().peak.utilization <= peak.utilization) {
        samples_.pop_back();
    }
    if (samples_.size() >= max_samples) {
        samples_.pop_front();
    }
    samples_.push_back({now, std::move(peak)});
}

std::optional<link_peak> link_peak_history::highest_since(instant begun) const {
    const auto first =
        std::lower_bound(samples_.begin(), samples_.end(), begun,
                         [](const sample& kept, instant wanted) { return kept.at < wanted; });
    return first == samples_.end() ? std::nullopt : std::optional(first->peak);
}

}  // namespace wrenswitch
