#pragma once

#include <cmath>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The slowdown that a target last reported: how many times as long as usual work takes there. Its
/// distance from 1 decays, because targets share their hosts with others and the slowdown changes
/// about every 600 ms.
class reported_slowdown {
public:
    /// Half-life of a report: half of the time after which the slowdown has usually changed.
    static constexpr microseconds half_life = milliseconds(300);

    void record(instant now, double factor) {
        factor_ = factor;
        reported_at_ = now;
    }

    /// True once the target has reported a slowdown.
    bool is_known() const { return reported_at_ != instant{}; }

    /// True if the last report is no older than the half-life.
    bool is_recent(instant now) const { return is_known() && now - reported_at_ <= half_life; }

    /// The expected slowdown at present; 1 if none was reported.
    double at(instant now) const {
        return 1.0 + (factor_ - 1.0) * std::exp2(-(now - reported_at_) / fractional(half_life));
    }

private:
    static std::chrono::duration<double, std::micro> fractional(microseconds length) {
        return length;
    }

    double factor_ = 1.0;
    instant reported_at_{};
};

}  // namespace wrenswitch
