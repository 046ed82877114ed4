#include "wrenswitch/decision/placement/event_pace.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// The quantile's place among the spans that count: below the median, since many spans hold a pause
/// in which a prompt is read.
constexpr std::size_t quantile_at = 2;

/// Spans after which the estimate can be used.
constexpr std::size_t enough = 6;

}  // namespace

void event_pace::observe(microseconds span) {
    last_ms_[seen_ % window] = as_milliseconds(span) / span_events;
    seen_ += 1;
    if (!known()) {
        return;
    }
    std::array<double, window> sorted = last_ms_;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(std::min(seen_, window));
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(quantile_at);
    std::nth_element(sorted.begin(), place, end);
    gap_ms_ = *place;
}

bool event_pace::known() const {
    return seen_ >= enough;
}

}  // namespace wrenswitch
