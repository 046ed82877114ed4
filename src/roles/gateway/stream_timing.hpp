#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/placement/event_interval_estimator.hpp"

namespace wrenswitch {

/// Measures the times at which the events of a stream arrive from the target of the current
/// attempt.
class stream_timing {
public:
    /// Starts an attempt: the stream continues at another target, and the wait for its first event
    /// doesn't count as a gap of that target.
    void begin_attempt() {
        event_count_ = 0;
        first_batch_size_ = 0;
        span_events_ = 0;
    }

    /// Records events that arrived together. Returns the time since the event before them, or zero
    /// if they are the first of the attempt.
    microseconds record_events(instant now, std::size_t count) {
        if (event_count_ == 0) {
            span_start_ = now;
            first_event_at_ = now;
            first_batch_size_ = count;
        } else {
            span_events_ += count;
        }
        const microseconds gap =
            event_count_ > 0 ? microseconds(now - last_event_at_) : microseconds(0);
        longest_gap_ = std::max(longest_gap_, gap);
        last_event_at_ = now;
        event_count_ += count;
        return gap;
    }

    /// Returns the time that events_per_span events took, once at least that many have arrived
    /// since the last span, and starts the next span.
    std::optional<microseconds> take_span() {
        if (span_events_ < event_interval_estimator::events_per_span) {
            return std::nullopt;
        }
        const microseconds elapsed = last_event_at_ - std::exchange(span_start_, last_event_at_);
        return elapsed * event_interval_estimator::events_per_span / std::exchange(span_events_, 0);
    }

    /// The number of events of the current attempt.
    std::size_t event_count() const { return event_count_; }

    /// When the last event arrived.
    instant last_event_at() const { return last_event_at_; }

    /// The mean time between the events of the current attempt, without those that arrived first.
    /// Empty if there are no others.
    std::optional<microseconds> mean_event_interval() const {
        if (event_count_ <= first_batch_size_) {
            return std::nullopt;
        }
        return (last_event_at_ - first_event_at_) /
               static_cast<microseconds::rep>(event_count_ - first_batch_size_);
    }

    /// The longest time between two events of the same attempt.
    microseconds longest_gap() const { return longest_gap_; }

private:
    std::size_t event_count_ = 0;
    /// When the first events of the attempt arrived, and how many they were.
    instant first_event_at_{};
    std::size_t first_batch_size_ = 0;
    instant last_event_at_{};
    microseconds longest_gap_{};
    /// The start and the number of events of the span that isn't complete yet.
    instant span_start_{};
    std::size_t span_events_ = 0;
};

}  // namespace wrenswitch
