#pragma once

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// Estimates a rate of tokens from amounts as they come, as an average that forgets exponentially.
class demand_estimator {
public:
    /// The time constant: after it, an old amount weighs 1/e of what it did.
    explicit demand_estimator(microseconds memory) : memory_(memory) {}

    /// Adds an amount at a time that must not lie before the last one.
    void add(instant now, tokens amount);

    /// The estimated rate in tokens a second.
    double rate(instant now) const;

private:
    double decayed(instant now) const;

    microseconds memory_;
    instant last_{};
    instant first_{};
    bool started_ = false;
    /// The weighted sum of amounts at the time last_.
    double weight_ = 0.0;
};

}  // namespace wrenswitch
