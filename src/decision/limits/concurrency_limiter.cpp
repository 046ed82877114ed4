#include "wrenswitch/decision/limits/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// Shared bounds of all limiters.
class bounded_limiter : public concurrency_limiter {
public:
    explicit bounded_limiter(limiter_settings settings)
        : settings_(settings), limit_(settings.initial) {}

    unsigned limit() const override {
        return std::max(settings_.least, static_cast<unsigned>(std::lround(limit_)));
    }

    void set_most(unsigned most) override {
        settings_.most = std::max(most, settings_.least);
        set_limit(limit_);
    }

protected:
    double current() const { return limit_; }
    const limiter_settings& settings() const { return settings_; }

    void set_limit(double limit) {
        limit_ = std::clamp(limit, static_cast<double>(settings_.least),
                            static_cast<double>(settings_.most));
    }

    /// True if the limit, and not a lack of requests, held the target's load where it is.
    bool is_binding(const limiter_sample& sample) const {
        constexpr double used_share = 0.8;
        return sample.in_flight >= limit_ * used_share;
    }

private:
    limiter_settings settings_;
    double limit_;
};

class static_limiter : public bounded_limiter {
public:
    using bounded_limiter::bounded_limiter;
    void observe(const limiter_sample&) override {}
};

/// Grows by one a round while nothing fails, and halves on a failure.
class aimd_limiter : public bounded_limiter {
public:
    using bounded_limiter::bounded_limiter;

    void observe(const limiter_sample& sample) override {
        constexpr double backoff = 0.5;
        if (sample.failed) {
            set_limit(current() * backoff);
            return;
        }
        if (is_binding(sample)) {
            set_limit(current() + 1.0 / current());
        }
    }
};

class gradient_limiter : public bounded_limiter {
public:
    using bounded_limiter::bounded_limiter;

    void observe(const limiter_sample& sample) override {
        constexpr double smoothing = 0.2;
        constexpr double least_gradient = 0.5;
        constexpr microseconds window = seconds(120);
        if (sample.failed) {
            set_limit(current() * least_gradient);
            return;
        }
        const double round_trip = std::max(as_seconds(sample.first_token), 1e-6);
        const bool probe_due = least_round_trip_ <= 0.0 || sample.now - window_start_ > window;
        if (probe_due) {
            least_round_trip_ = round_trip;
            window_start_ = sample.now;
        }
        least_round_trip_ = std::min(least_round_trip_, round_trip);
        const double gradient = std::clamp(least_round_trip_ / round_trip, least_gradient, 1.0);
        const double allowance = is_binding(sample) ? std::sqrt(current()) : 0.0;
        const double target = current() * gradient + allowance;
        set_limit(current() * (1.0 - smoothing) + target * smoothing);
    }

private:
    double least_round_trip_ = 0.0;
    instant window_start_{};
};

/// Keeps the time between tokens at its aim. A batching engine's step grows with its batch, so that
/// time tells how far the batch may grow, long before requests queue.
class token_pace_limiter : public bounded_limiter {
public:
    using bounded_limiter::bounded_limiter;

    void observe(const limiter_sample& sample) override {
        constexpr double backoff = 0.5;
        if (sample.failed) {
            set_limit(current() * backoff);
            return;
        }
        const bool has_pace = sample.between_tokens > microseconds(0);
        if (!has_pace) {
            return;
        }
        const double pace = as_seconds(sample.between_tokens);
        pace_ = pace_ <= 0.0 ? pace : pace_ + pace_weight * (pace - pace_);
        // The aim holds for 95 in 100 requests, so the mean must stay below it.
        const double aim = as_seconds(settings().between_tokens_aim) * mean_share_of_aim;
        const bool memory_full = sample.reported_memory > most_memory;
        const bool engine_queues = sample.reported_queue > 0.0;
        if (memory_full || engine_queues || pace_ > aim) {
            const double ratio = pace_ > aim ? aim / pace_ : 1.0;
            const double shrink = std::max(least_step, std::min(ratio, memory_step));
            set_limit(current() * (1.0 - weight_of(sample)) +
                      current() * shrink * weight_of(sample));
            return;
        }
        if (is_binding(sample)) {
            const double room = std::min(aim / pace_, most_step);
            set_limit(current() + weight_of(sample) * current() * (room - 1.0));
        }
    }

private:
    static constexpr double pace_weight = 0.2;
    static constexpr double mean_share_of_aim = 0.85;
    static constexpr double most_memory = 0.95;
    static constexpr double memory_step = 0.95;
    static constexpr double least_step = 0.5;
    static constexpr double most_step = 1.5;

    /// One batch's worth of samples together makes about one full step.
    double weight_of(const limiter_sample& sample) const {
        return 1.0 / std::max(1.0, static_cast<double>(sample.in_flight));
    }

    double pace_ = 0.0;
};

template <typename Limiter>
limiter_factory factory_of(limiter_settings settings) {
    return [settings] { return std::make_unique<Limiter>(settings); };
}

}  // namespace

limiter_factory limiter_named(std::string_view name, limiter_settings settings) {
    if (name == "static") {
        return factory_of<static_limiter>(settings);
    }
    if (name == "aimd") {
        return factory_of<aimd_limiter>(settings);
    }
    if (name == "gradient") {
        return factory_of<gradient_limiter>(settings);
    }
    if (name == "token_pace") {
        return factory_of<token_pace_limiter>(settings);
    }
    return {};
}

}  // namespace wrenswitch
