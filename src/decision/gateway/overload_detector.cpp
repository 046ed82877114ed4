#include "wrenswitch/decision/gateway/overload_detector.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// The length of a window and the samples that it needs at least. The minimum lag of a window
/// excludes single pauses of the processor, which must not count as a queue.
constexpr microseconds window = milliseconds(100);
constexpr unsigned min_window_samples = 2;

/// The longest standing queue that is tolerated. A request that waits this long can still meet its
/// deadline, and the lag is far below the half second after which cancellations are too late. With
/// 15 ms a gateway that could have served its requests in time refused a fifth of them, and their
/// callers came back to it.
constexpr microseconds max_standing_lag = milliseconds(100);

/// The increase of the share per window while the queue is too long, for each multiple of the
/// tolerated lag, and the highest multiple that counts.
constexpr double share_increase = 0.03;
constexpr double max_lag_ratio = 3.0;

/// The decrease of the share per window while the queue is short enough.
constexpr double share_decrease = 0.05;

/// Some requests are always accepted; without them nothing would show that the queue has gone.
constexpr double max_refused_share = 0.9;

}  // namespace

void overload_detector::observe(instant now, microseconds lag) {
    min_lag_ = window_samples_ > 0 ? std::min(min_lag_, lag) : lag;
    window_samples_ += 1;
    if (window_start_ == instant{}) {
        window_start_ = now;
    }
    const microseconds elapsed = now - window_start_;
    if (elapsed < window || window_samples_ < min_window_samples) {
        return;
    }
    const double lag_ratio =
        static_cast<double>(min_lag_.count()) / static_cast<double>(max_standing_lag.count());
    const double change =
        lag_ratio >= 1.0 ? share_increase * std::min(lag_ratio, max_lag_ratio) : -share_decrease;
    const double windows =
        static_cast<double>(elapsed.count()) / static_cast<double>(window.count());
    refused_share_ = std::clamp(refused_share_ + change * windows, 0.0, max_refused_share);
    window_start_ = now;
    window_samples_ = 0;
}

}  // namespace wrenswitch
