#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// What a limiter learns when a request ends or the target reports.
struct limiter_sample {
    instant now{};
    /// Time to the first token, without any wait in the guard's own queue.
    microseconds first_token{0};
    /// Mean time between tokens of the request that ended.
    microseconds between_tokens{0};
    /// Requests at the target when this one ended.
    unsigned in_flight = 0;
    /// The target refused, failed or timed out.
    bool failed = false;
    /// What the target last said of itself: its batch, its queue and the share of its cache memory
    /// that is in use. Negative if it said nothing.
    double reported_batch = -1.0;
    double reported_queue = -1.0;
    double reported_memory = -1.0;
};

/// Bounds and aims that all limiters share.
struct limiter_settings {
    unsigned least = 2;
    unsigned most = 256;
    unsigned initial = 16;
    /// What the limiter keeps between tokens, if it looks at that.
    microseconds between_tokens_aim = milliseconds(31);
};

/// Decides how many requests a target may have at a time.
class concurrency_limiter {
public:
    virtual ~concurrency_limiter() = default;

    /// Takes in what one ended request showed.
    virtual void observe(const limiter_sample& sample) = 0;

    /// The present limit.
    virtual unsigned limit() const = 0;

    /// Sets an upper bound from the configuration.
    virtual void set_most(unsigned most) = 0;
};

/// Makes a limiter.
using limiter_factory = std::function<std::unique_ptr<concurrency_limiter>()>;

/// The limiter with this name, or an empty function: static, aimd, gradient, token_pace.
///
/// "gradient" follows the article "Adaptive Concurrency Limits for Geofence Consumers": the ratio
/// of a windowed least round trip to the present one, growth by the root of the limit while the
/// limit is used, a floor of one half a step and a forced re-probe. "token_pace" is our own: it
/// keeps the time between tokens, which a batching engine shows before any queue forms, at an aim.
limiter_factory limiter_named(std::string_view name, limiter_settings settings);

}  // namespace wrenswitch
