#include "wrenswitch/decision/gateway/response_time_tracker.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// The weight of one response in the moving average of a service.
constexpr double sample_weight = 0.02;

/// A response that takes this many times the average counts as slow. With responses of 30 ms on
/// average and 220 ms at most, about one in several hundred is slower.
constexpr double slow_response_factor = 6.0;

/// A shorter silence never counts, however fast the service usually is.
constexpr microseconds min_silence_threshold = milliseconds(200);

/// The largest slowdown that excuses silence: twice a usual one of 2.5. A target that hangs after
/// it has reported a larger one is still found within about a second.
constexpr double max_silence_factor = 5.0;

}  // namespace

void response_time_tracker::observe(const std::string& service, microseconds time) {
    const double sample_ms = as_milliseconds(time);
    const auto [found, inserted] = average_ms_.try_emplace(service, sample_ms);
    if (!inserted) {
        found->second += sample_weight * (sample_ms - found->second);
    }
}

microseconds response_time_tracker::silence_threshold(std::string_view service,
                                                      double slowdown) const {
    const auto found = average_ms_.find(service);
    const double average_ms = found == average_ms_.end() ? 0.0 : found->second;
    constexpr double microseconds_per_millisecond = 1e3;
    const microseconds threshold(
        std::llround(slow_response_factor * average_ms * microseconds_per_millisecond));
    const microseconds usual = std::max(min_silence_threshold, threshold);
    if (slowdown <= 1.0) {
        return usual;
    }
    const double factor = std::min(slowdown, max_silence_factor);
    return microseconds(std::llround(factor * static_cast<double>(usual.count())));
}

}  // namespace wrenswitch
