#include "wrenswitch/decision/home/demand_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// The minimum observation time assumed: a rate measured over less is mostly noise.
constexpr microseconds min_window = seconds(5);

}  // namespace

void demand_estimator::add(instant now, tokens amount) {
    if (!started_) {
        started_ = true;
        first_time_ = now;
        last_time_ = now;
    }
    sum_at_last_time_ = decayed_sum(now) + static_cast<double>(amount);
    last_time_ = std::max(last_time_, now);
}

double demand_estimator::rate(instant now) const {
    if (!started_) {
        return 0.0;
    }
    // Until the time constant has passed several times, the weights sum to less than the time
    // constant; the factor corrects for that.
    const microseconds observed = std::max(now - first_time_, min_window);
    const double accumulated_weight =
        1.0 - std::exp(-as_seconds(observed) / as_seconds(time_constant_));
    return decayed_sum(now) / (as_seconds(time_constant_) * accumulated_weight);
}

double demand_estimator::decayed_sum(instant now) const {
    const microseconds elapsed = std::max(now - last_time_, microseconds(0));
    return sum_at_last_time_ * std::exp(-as_seconds(elapsed) / as_seconds(time_constant_));
}

}  // namespace wrenswitch
