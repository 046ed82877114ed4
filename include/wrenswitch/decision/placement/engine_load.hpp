#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// A request running on an engine.
struct active_attempt {
    /// Identifies the attempt among those of one engine.
    std::uint64_t attempt_id = 0;
    /// The engine memory that it occupies, in tokens.
    tokens memory_tokens = 0;
    /// The loss if its response is late, in tokens.
    double late_cost = 0.0;
    /// The longest pause between events that its caller accepts, in ms; zero if unlimited.
    double max_event_gap_ms = 0.0;
};

/// The prefill of a prompt that an engine has not finished yet.
struct pending_prefill {
    std::uint64_t attempt_id = 0;
    /// The expected duration, in ms.
    double duration_ms = 0.0;
    /// The longest pause that it causes in other streams, in ms.
    double pause_ms = 0.0;
};

/// Tracks the load of one engine as far as it is known to this process. Prefills are assumed to run
/// one after the other.
class engine_load {
public:
    /// Adds a request that was sent to the engine.
    void add_attempt(instant now, const active_attempt& attempt, const pending_prefill& prefill);

    /// Records the first event of an attempt, which completes its prefill and all earlier ones.
    void record_first_event(instant now, std::uint64_t attempt_id);

    /// Records a later event of any attempt.
    void record_event(instant now) { last_event_at_ = now; }

    /// Removes an attempt, however it ended.
    void end_attempt(instant now, std::uint64_t attempt_id);

    /// Starts counting pauses that exceed this bound, in ms, for streams that may arrive later.
    void track_pause_bound(double max_event_gap_ms) { bounds_.try_emplace(max_event_gap_ms); }

    /// The remaining duration of all pending prefills, in ms.
    double backlog_ms(instant now) const;

    /// How long the engine has been silent beyond what was expected, in ms. A large value suggests
    /// that it has failed.
    double overdue_ms(instant now) const;

    /// The longest pause that pending prefills cause in other streams, in ms.
    double pending_pause_ms(instant now) const;

    /// The expected loss of the engine's streams, in tokens, if a pause of this length is added to
    /// those already pending.
    double pause_cost(instant now, double pause_ms) const;

    /// The recent rate of pauses that exceed this bound, per second. Counted only from the time
    /// that the bound is tracked.
    double late_pauses_per_second(instant now, double max_event_gap_ms) const;

    std::size_t attempts() const { return attempts_.size(); }

    /// The engine memory that all attempts occupy, in tokens.
    tokens memory_tokens() const { return memory_tokens_; }

private:
    /// The state of one pause bound. Routes use few different bounds.
    struct pause_bound_state {
        /// The total loss, in tokens, if all streams with this bound are late.
        double late_cost = 0.0;
        /// A decaying sum of the probabilities that recent pauses exceeded the bound.
        double late_pauses = 0.0;
        instant decayed_at{};
    };

    void add_late_cost(const active_attempt& attempt, double sign);
    void record_pause(instant now, double pause_ms);
    static void decay(pause_bound_state& state, instant now);
    void remove_attempt(std::map<std::uint64_t, active_attempt>::iterator attempt);
    void recompute_pending();

    std::map<std::uint64_t, active_attempt> attempts_;
    tokens memory_tokens_ = 0;
    std::deque<pending_prefill> pending_;
    /// The total duration of the pending prefills and the longest pause among them, in ms.
    double pending_ms_ = 0.0;
    double pending_pause_ms_ = 0.0;
    /// When the engine started the first pending prefill.
    instant front_started_at_{};
    /// Keyed by the bound, in ms.
    std::map<double, pause_bound_state> bounds_;
    /// When any attempt last received an event.
    instant last_event_at_{};
    /// The attempts that have received their first event.
    std::set<std::uint64_t> streaming_;
};

/// The probability that a duration with this estimate exceeds the bound. A logistic function
/// instead of a hard threshold, since all durations are estimates. Zero if the bound is zero.
double late_probability(double duration_ms, double bound_ms, double logistic_scale);

/// The width of the logistic function for pauses, as a share of the bound.
constexpr double pause_logistic_scale = 0.08;

}  // namespace wrenswitch
