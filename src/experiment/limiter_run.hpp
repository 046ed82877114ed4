#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "experiment/latency_summary.hpp"
#include "stand/batch_engine.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/guard/admission_queue.hpp"
#include "wrenswitch/decision/limits/concurrency_limiter.hpp"

namespace wrenswitch::experiment {

/// A stretch of time in which the engine has a speed and callers ask for a share of its capacity.
struct limiter_phase {
    microseconds length{0};
    double speed = 1.0;
    /// Offered tokens a second, as a share of what the engine can give at the aim between tokens.
    double load = 0.85;
};

/// What one limiter came to in one run.
struct limiter_score {
    std::uint64_t requests = 0;
    std::uint64_t refused = 0;
    latency_summary first_token_ms;
    latency_summary between_tokens_ms;
    /// Tokens given, as a share of the smaller of what was asked for and what could be given.
    double utilisation = 0.0;
    /// Seconds after the last burst until goodput was back.
    double recovery_s = 0.0;
    /// How often a second's mean time between tokens rose above the aim.
    unsigned overload_episodes = 0;
};

/// One engine behind one guard's queue and limiter, in virtual time with seeded arrivals.
class limiter_run {
public:
    limiter_run(const limiter_factory& limiter, microseconds most_wait, std::uint64_t seed);

    limiter_score run();

    /// The phases of every run: usual, three times as fast, half as fast, disturbed, and a burst.
    static std::vector<limiter_phase> phases();

private:
    struct request_state {
        microseconds arrived{0};
        microseconds first{0};
        microseconds last{0};
        std::size_t wanted = 0;
        std::size_t given = 0;
        microseconds started{0};
    };

    void arrive(microseconds time);
    void pump(microseconds now);
    void on_token(std::uint64_t id, bool last, microseconds now);
    void plan_next_arrival(microseconds now);
    const limiter_phase& phase_at(microseconds now) const;
    void close_second(microseconds now);

    random_source random_;
    stand::engine_speed speed_;
    stand::batch_engine engine_;
    admission_queue queue_;
    std::unique_ptr<concurrency_limiter> limiter_;
    std::unordered_map<std::uint64_t, request_state> requests_;
    limiter_score score_;
    std::uint64_t next_id_ = 1;
    microseconds next_arrival_{0};
    microseconds now_{0};
    unsigned in_flight_ = 0;
    double offered_tokens_ = 0.0;
    double given_tokens_ = 0.0;
    double possible_tokens_ = 0.0;
    double second_offered_ = 0.0;
    std::int64_t second_ = 0;
    double second_gap_sum_ = 0.0;
    std::uint64_t second_gaps_ = 0;
    bool overloaded_ = false;
    double backlog_ = 0.0;
    double second_given_ = 0.0;
    microseconds burst_end_{0};
    std::optional<microseconds> recovered_;
};

}  // namespace wrenswitch::experiment
