#include "wrenswitch/decision/limits/concurrency_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// Holds the limit and keeps it within its bounds.
class bounded_limiter : public concurrency_limiter {
public:
    explicit bounded_limiter(limiter_settings settings)
        : settings_(settings), limit_(settings.initial_limit) {}

    unsigned limit() const override {
        return std::max(settings_.min_limit, static_cast<unsigned>(std::lround(limit_)));
    }

    void set_max_limit(unsigned max_limit) override {
        settings_.max_limit = std::max(max_limit, settings_.min_limit);
        set_limit(limit_);
    }

protected:
    double current_limit() const { return limit_; }
    const limiter_settings& settings() const { return settings_; }

    void set_limit(double limit) {
        limit_ = std::clamp(limit, static_cast<double>(settings_.min_limit),
                            static_cast<double>(settings_.max_limit));
    }

    /// True if the load of the target was close to the limit, so that the limit rather than a lack
    /// of requests restricted it.
    bool is_binding(const limiter_sample& sample) const {
        constexpr double min_utilization = 0.8;
        return sample.in_flight >= limit_ * min_utilization;
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

/// Additive increase by one per round of requests without a failure, multiplicative decrease to one
/// half on a failure.
class aimd_limiter : public bounded_limiter {
public:
    using bounded_limiter::bounded_limiter;

    void observe(const limiter_sample& sample) override {
        constexpr double backoff = 0.5;
        if (sample.failed) {
            set_limit(current_limit() * backoff);
            return;
        }
        if (is_binding(sample)) {
            set_limit(current_limit() + 1.0 / current_limit());
        }
    }
};

class gradient_limiter : public bounded_limiter {
public:
    using bounded_limiter::bounded_limiter;

    void observe(const limiter_sample& sample) override {
        constexpr double smoothing = 0.2;
        constexpr double min_gradient = 0.5;
        constexpr microseconds window = seconds(120);
        if (sample.failed) {
            set_limit(current_limit() * min_gradient);
            return;
        }
        const double round_trip = std::max(as_seconds(sample.time_to_first_token), 1e-6);
        const bool reprobe_due = min_round_trip_ <= 0.0 || sample.now - window_start_ > window;
        if (reprobe_due) {
            min_round_trip_ = round_trip;
            window_start_ = sample.now;
        }
        min_round_trip_ = std::min(min_round_trip_, round_trip);
        const double gradient = std::clamp(min_round_trip_ / round_trip, min_gradient, 1.0);
        const double growth = is_binding(sample) ? std::sqrt(current_limit()) : 0.0;
        const double desired = current_limit() * gradient + growth;
        set_limit(current_limit() * (1.0 - smoothing) + desired * smoothing);
    }

private:
    double min_round_trip_ = 0.0;
    instant window_start_{};
};

/// Keeps the inter-token latency at its objective. The step time of a batching engine grows with
/// its batch, so the latency shows how far the batch may grow, long before requests queue.
class token_pace_limiter : public bounded_limiter {
public:
    using bounded_limiter::bounded_limiter;

    void observe(const limiter_sample& sample) override {
        constexpr double backoff = 0.5;
        if (sample.failed) {
            set_limit(current_limit() * backoff);
            return;
        }
        const bool has_latency = sample.inter_token_latency > microseconds(0);
        if (!has_latency) {
            return;
        }
        const double latency = as_seconds(sample.inter_token_latency);
        mean_latency_ = mean_latency_ <= 0.0
                            ? latency
                            : mean_latency_ + latency_sample_weight * (latency - mean_latency_);
        // The objective applies to 95 in 100 requests, so the mean has to stay below it.
        const double objective =
            as_seconds(settings().inter_token_latency_objective) * mean_objective_ratio;
        const bool memory_full = sample.reported_memory > max_memory;
        const bool engine_queues = sample.reported_queue > 0.0;
        if (memory_full || engine_queues || mean_latency_ > objective) {
            const double ratio = mean_latency_ > objective ? objective / mean_latency_ : 1.0;
            const double shrink = std::max(min_step, std::min(ratio, memory_backoff));
            set_limit(current_limit() * (1.0 - step_weight(sample)) +
                      current_limit() * shrink * step_weight(sample));
            return;
        }
        if (is_binding(sample)) {
            const double growth = std::min(objective / mean_latency_, max_step);
            set_limit(current_limit() + step_weight(sample) * current_limit() * (growth - 1.0));
        }
    }

private:
    static constexpr double latency_sample_weight = 0.2;
    static constexpr double mean_objective_ratio = 0.85;
    static constexpr double max_memory = 0.95;
    static constexpr double memory_backoff = 0.95;
    static constexpr double min_step = 0.5;
    static constexpr double max_step = 1.5;

    /// The samples of one whole batch together make about one full step.
    double step_weight(const limiter_sample& sample) const {
        return 1.0 / std::max(1.0, static_cast<double>(sample.in_flight));
    }

    double mean_latency_ = 0.0;
};

template <typename Limiter>
limiter_factory make_factory(limiter_settings settings) {
    return [settings] { return std::make_unique<Limiter>(settings); };
}

}  // namespace

limiter_factory make_limiter_factory(std::string_view name, limiter_settings settings) {
    if (name == "static") {
        return make_factory<static_limiter>(settings);
    }
    if (name == "aimd") {
        return make_factory<aimd_limiter>(settings);
    }
    if (name == "gradient") {
        return make_factory<gradient_limiter>(settings);
    }
    if (name == "token_pace") {
        return make_factory<token_pace_limiter>(settings);
    }
    return {};
}

}  // namespace wrenswitch
