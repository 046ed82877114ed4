#pragma once

#include <array>
#include <cstddef>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Estimates the interval between events of an engine's streams. Measures spans of several events,
/// since single events may be delayed and arrive in bursts. Uses a low quantile of the latest
/// spans, which ignores spans interrupted by prefills and detects within a few responses that an
/// engine has become slow.
class event_interval_estimator {
public:
    /// The number of events in a span.
    static constexpr unsigned events_per_span = 8;

    /// Adds the duration of one span of consecutive events.
    void observe(microseconds span);

    /// True once enough spans were observed.
    bool is_known() const;

    /// The estimated interval in ms; zero if unknown.
    double interval_ms() const { return interval_ms_; }

private:
    /// The number of spans considered. A change shows once three quarters of them are new, within
    /// seven spans. A quantile estimate that moved by 1.5% per span took 75 spans to follow a
    /// change by a factor of three.
    static constexpr std::size_t window_size = 8;

    std::array<double, window_size> intervals_ms_{};
    std::size_t observed_ = 0;
    double interval_ms_ = 0.0;
};

}  // namespace wrenswitch
