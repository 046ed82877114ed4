#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/placement/event_pace.hpp"

namespace wrenswitch {

/// When the events of a stream came, by the target of the present attempt.
class stream_watch {
public:
    /// The stream goes on at another target: the wait for its first event is no pause of that one.
    void begin_attempt() {
        events_ = 0;
        first_events_ = 0;
        span_events_ = 0;
    }

    /// Events came. Returns the time since the last one that had come before, or zero if these are
    /// the first.
    microseconds note(instant now, std::size_t count) {
        if (events_ == 0) {
            span_began_ = now;
            first_ = now;
            first_events_ = count;
        } else {
            span_events_ += count;
        }
        const microseconds gap = events_ > 0 ? microseconds(now - last_) : microseconds(0);
        longest_pause_ = std::max(longest_pause_, gap);
        last_ = now;
        events_ += count;
        return gap;
    }

    /// The time that the events of the last span took, once it is complete.
    std::optional<microseconds> take_span() {
        if (span_events_ < event_interval_estimator::events_per_span) {
            return std::nullopt;
        }
        const microseconds whole = last_ - std::exchange(span_began_, last_);
        return whole * event_interval_estimator::events_per_span / std::exchange(span_events_, 0);
    }

    /// The events that came in the present attempt.
    std::size_t events() const { return events_; }

    /// When the last one came.
    instant last() const { return last_; }

    /// The time of the present attempt's events behind the first ones, by event, if some came.
    std::optional<microseconds> pace() const {
        if (events_ <= first_events_) {
            return std::nullopt;
        }
        return (last_ - first_) / static_cast<microseconds::rep>(events_ - first_events_);
    }

    /// The longest time between two events of one attempt.
    microseconds longest_pause() const { return longest_pause_; }

private:
    std::size_t events_ = 0;
    /// When the first ones came, and how many these were.
    instant first_{};
    std::size_t first_events_ = 0;
    instant last_{};
    microseconds longest_pause_{};
    /// The span that isn't complete yet.
    instant span_began_{};
    std::size_t span_events_ = 0;
};

}  // namespace wrenswitch
