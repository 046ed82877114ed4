#include "wrenswitch/decision/placement/engine_load.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// The time constant with which past pauses decay, about the duration of a stream.
constexpr microseconds pause_decay_time = seconds(4);

/// Estimates may be wrong by this factor, so shorter silence is not counted.
constexpr double overdue_factor = 2.0;

/// The shortest silence that counts, in ms: twice the usual duration of a span of events, since
/// single events are not recorded.
constexpr double min_silence_ms = 500.0;

double ms_between(instant from, instant to) {
    return as_milliseconds(to - from);
}

}  // namespace

double late_probability(double duration_ms, double bound_ms, double logistic_scale) {
    if (bound_ms <= 0.0) {
        return 0.0;
    }
    return 1.0 / (1.0 + std::exp((1.0 - duration_ms / bound_ms) / logistic_scale));
}

void engine_load::add_attempt(instant now, const active_attempt& attempt,
                              const pending_prefill& prefill) {
    attempts_.insert_or_assign(attempt.attempt_id, attempt);
    memory_tokens_ += attempt.memory_tokens;
    add_late_cost(attempt, 1.0);
    if (pending_.empty()) {
        front_started_at_ = now;
    }
    pending_.push_back(prefill);
    pending_ms_ += prefill.duration_ms;
    pending_pause_ms_ = std::max(pending_pause_ms_, prefill.pause_ms);
    record_pause(now, prefill.pause_ms);
}

void engine_load::add_late_cost(const active_attempt& attempt, double sign) {
    if (attempt.max_event_gap_ms > 0.0) {
        bounds_[attempt.max_event_gap_ms].late_cost += sign * attempt.late_cost;
    }
}

void engine_load::record_pause(instant now, double pause_ms) {
    for (auto& [bound, state] : bounds_) {
        const double probability = late_probability(pause_ms, bound, pause_logistic_scale);
        decay(state, now);
        state.late_pauses += probability;
    }
}

void engine_load::decay(pause_bound_state& state, instant now) {
    const double elapsed = ms_between(state.decayed_at, now);
    const double decay_time = ms_between(instant{}, instant{} + pause_decay_time);
    state.late_pauses *= std::exp(-elapsed / decay_time);
    state.decayed_at = now;
}

void engine_load::remove_attempt(std::map<std::uint64_t, active_attempt>::iterator attempt) {
    memory_tokens_ -= attempt->second.memory_tokens;
    add_late_cost(attempt->second, -1.0);
    attempts_.erase(attempt);
}

void engine_load::record_first_event(instant now, std::uint64_t attempt_id) {
    const auto found = std::find_if(
        pending_.begin(), pending_.end(),
        [attempt_id](const pending_prefill& each) { return each.attempt_id == attempt_id; });
    if (found != pending_.end()) {
        pending_.erase(pending_.begin(), found + 1);
        recompute_pending();
        front_started_at_ = now;
    }
    streaming_.insert(attempt_id);
    record_event(now);
}

void engine_load::end_attempt(instant now, std::uint64_t attempt_id) {
    const auto found = attempts_.find(attempt_id);
    if (found == attempts_.end()) {
        return;
    }
    remove_attempt(found);
    streaming_.erase(attempt_id);
    const bool was_front = !pending_.empty() && pending_.front().attempt_id == attempt_id;
    std::erase_if(pending_, [attempt_id](const pending_prefill& each) {
        return each.attempt_id == attempt_id;
    });
    recompute_pending();
    if (was_front) {
        front_started_at_ = now;
    }
}

void engine_load::recompute_pending() {
    pending_ms_ = 0.0;
    pending_pause_ms_ = 0.0;
    for (const pending_prefill& prefill : pending_) {
        pending_ms_ += prefill.duration_ms;
        pending_pause_ms_ = std::max(pending_pause_ms_, prefill.pause_ms);
    }
}

double engine_load::backlog_ms(instant now) const {
    if (pending_.empty()) {
        return 0.0;
    }
    const double front = pending_.front().duration_ms;
    return pending_ms_ - std::min(front, ms_between(front_started_at_, now));
}

double engine_load::overdue_ms(instant now) const {
    double silence = 0.0;
    if (!pending_.empty()) {
        silence =
            ms_between(front_started_at_, now) - overdue_factor * pending_.front().duration_ms;
    } else if (!streaming_.empty()) {
        silence = ms_between(last_event_at_, now);
    }
    return std::max(0.0, silence - min_silence_ms);
}

double engine_load::pending_pause_ms(instant now) const {
    return std::min(pending_pause_ms_, backlog_ms(now));
}

double engine_load::pause_cost(instant now, double pause_ms) const {
    const double before = pending_pause_ms(now);
    if (pause_ms <= before) {
        return 0.0;
    }
    double cost = 0.0;
    for (const auto& [bound, state] : bounds_) {
        cost += state.late_cost * (late_probability(pause_ms, bound, pause_logistic_scale) -
                                   late_probability(before, bound, pause_logistic_scale));
    }
    return cost;
}

double engine_load::late_pauses_per_second(instant now, double max_event_gap_ms) const {
    const auto found = bounds_.find(max_event_gap_ms);
    if (found == bounds_.end()) {
        return 0.0;
    }
    pause_bound_state state = found->second;
    decay(state, now);
    return state.late_pauses / std::chrono::duration<double>(pause_decay_time).count();
}

}  // namespace wrenswitch
