#include "wrenswitch/decision/placement/event_interval_estimator.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// The index of the quantile among the sorted spans. Below the median, since many spans include a
/// pause caused by a prefill.
constexpr std::size_t quantile_index = 2;

/// The number of spans needed for an estimate.
constexpr std::size_t min_spans = 6;

}  // namespace

void event_interval_estimator::observe(microseconds span) {
    intervals_ms_[observed_ % window_size] = as_milliseconds(span) / events_per_span;
    observed_ += 1;
    if (!is_known()) {
        return;
    }
    std::array<double, window_size> sorted = intervals_ms_;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(observed_, window_size));
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(quantile_index);
    std::nth_element(sorted.begin(), place, end);
    interval_ms_ = *place;
}

bool event_interval_estimator::is_known() const {
    return observed_ >= min_spans;
}

}  // namespace wrenswitch
