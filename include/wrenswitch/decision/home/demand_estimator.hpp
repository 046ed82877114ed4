#pragma once

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// Estimates the rate of token consumption as an exponentially weighted moving average.
class demand_estimator {
public:
    /// The weight of an amount falls to 1/e after the time constant.
    explicit demand_estimator(microseconds time_constant) : time_constant_(time_constant) {}

    /// Adds an amount. Times must not decrease between calls.
    void add(instant now, tokens amount);

    /// The estimated rate in tokens per second.
    double rate(instant now) const;

private:
    double decayed_sum(instant now) const;

    microseconds time_constant_;
    instant last_time_{};
    instant first_time_{};
    bool started_ = false;
    /// The weighted sum of all amounts at the time last_time_.
    double sum_at_last_time_ = 0.0;
};

}  // namespace wrenswitch
