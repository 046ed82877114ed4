#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The measurements of one finished request, with the last load report of its target.
struct limiter_sample {
    instant now{};
    /// Excludes the time in the guard's own queue.
    microseconds time_to_first_token{0};
    /// The mean time between tokens of the finished request.
    microseconds inter_token_latency{0};
    /// The number of requests at the target when this one finished.
    unsigned in_flight = 0;
    /// True if the target refused the request, failed or timed out.
    bool failed = false;
    /// What the target last reported: its batch size, its queue length and the share of its cache
    /// memory in use. Negative if it reported nothing.
    double reported_batch = -1.0;
    double reported_queue = -1.0;
    double reported_memory = -1.0;
};

/// The bounds and the latency objective of a limiter.
struct limiter_settings {
    unsigned min_limit = 2;
    unsigned max_limit = 256;
    unsigned initial_limit = 16;
    /// The inter-token latency to maintain, for limiters that use it.
    microseconds inter_token_latency_objective = milliseconds(31);
};

/// Adjusts the number of concurrent requests at a target.
class concurrency_limiter {
public:
    virtual ~concurrency_limiter() = default;

    /// Updates the limit from one finished request.
    virtual void observe(const limiter_sample& sample) = 0;

    /// The current limit.
    virtual unsigned limit() const = 0;

    /// Sets the upper bound, which comes from the configuration.
    virtual void set_max_limit(unsigned max_limit) = 0;
};

/// Creates a limiter.
using limiter_factory = std::function<std::unique_ptr<concurrency_limiter>()>;

/// The factory for the limiter with this name, or an empty function if the name is unknown: static,
/// aimd, gradient or token_pace.
///
/// "gradient" follows the article "Adaptive Concurrency Limits for Geofence Consumers": the ratio
/// of the minimum round trip in a window to the current one, growth by the square root of the limit
/// while the limit is used, a decrease by at most one half per step, and a forced re-probe of the
/// minimum. "token_pace" is specific to this project: it keeps the inter-token latency at an
/// objective, because a batching engine shows load in that latency before a queue forms.
limiter_factory make_limiter_factory(std::string_view name, limiter_settings settings);

}  // namespace wrenswitch
