#include "wrenswitch/decision/home/demand_estimator.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// A rate from less than this is mostly chance, so the window counts as at least as long.
constexpr microseconds least_window = seconds(5);

}  // namespace

void demand_estimator::add(instant now, tokens amount) {
    if (!started_) {
        started_ = true;
        first_ = now;
        last_ = now;
    }
    weight_ = decayed(now) + static_cast<double>(amount);
    last_ = std::max(last_, now);
}

double demand_estimator::rate(instant now) const {
    if (!started_) {
        return 0.0;
    }
    // Before a whole memory has passed, the weights sum to less than the time constant.
    const microseconds seen = std::max(now - first_, least_window);
    const double filled = 1.0 - std::exp(-as_seconds(seen) / as_seconds(memory_));
    return decayed(now) / (as_seconds(memory_) * filled);
}

double demand_estimator::decayed(instant now) const {
    const microseconds passed = std::max(now - last_, microseconds(0));
    return weight_ * std::exp(-as_seconds(passed) / as_seconds(memory_));
}

}  // namespace wrenswitch
