#include "wrenswitch/decision/gateway/overload_watch.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// How long the least lag is looked for, and how many looks that takes at least: a single pause of
/// the processor must not count as a queue.
constexpr microseconds window = milliseconds(100);
constexpr unsigned least_looks = 2;

/// The longest queue that may stay: a request that waits so long at its entry is still in time, and
/// half a second after a caller left, or a request's time was over, is far. With 15 ms an entry
/// that could have served them in time refused a fifth of its requests, whose callers came back to
/// it.
constexpr microseconds standing_lag = milliseconds(100);

/// How fast the share rises in the time of a window while a queue stays, for each time that it is
/// as long as it may be, and how many of these count.
constexpr double rise = 0.03;
constexpr double most_times = 3.0;

/// How fast it falls in that time while none does.
constexpr double fall = 0.05;

/// Something is always taken in, or nothing would show that the queue has gone.
constexpr double most_share = 0.9;

}  // namespace

void overload_watch::observe(instant now, microseconds lag) {
    least_lag_ = looks_ > 0 ? std::min(least_lag_, lag) : lag;
    looks_ += 1;
    if (window_began_ == instant{}) {
        window_began_ = now;
    }
    const microseconds passed = now - window_began_;
    if (passed < window || looks_ < least_looks) {
        return;
    }
    const double times =
        static_cast<double>(least_lag_.count()) / static_cast<double>(standing_lag.count());
    const double change = times >= 1.0 ? rise * std::min(times, most_times) : -fall;
    const double windows =
        static_cast<double>(passed.count()) / static_cast<double>(window.count());
    share_ = std::clamp(share_ + change * windows, 0.0, most_share);
    window_began_ = now;
    looks_ = 0;
}

}  // namespace wrenswitch
