#pragma once

#include <array>
#include <cstddef>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The usual time between two events of an engine's streams, by spans of several events, since
/// single ones are held up and bunched on their way. It is a low quantile of the last spans, so
/// that those in which prompts are read beside them don't count, and so that an engine which turns
/// slow shows within some answers.
class event_pace {
public:
    /// The events of one span.
    static constexpr unsigned span_events = 8;

    /// As many events as a span has came within this time, one after the other.
    void observe(microseconds span);

    /// True once enough spans were seen.
    bool known() const;

    /// In milliseconds; zero if it isn't known.
    double gap_ms() const { return gap_ms_; }

private:
    /// The spans that count. A change shows once three quarters of them are new: seven spans. A
    /// quantile that moved by 1.5% a span took 75 to follow a change by three.
    static constexpr std::size_t window = 8;

    std::array<double, window> last_ms_{};
    std::size_t seen_ = 0;
    double gap_ms_ = 0.0;
};

}  // namespace wrenswitch
