#include "wrenswitch/decision/placement/engine_load.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// How long past pauses are remembered, fading: about as long as a stream lasts.
constexpr microseconds pause_memory = seconds(4);

/// Silence up to this many times what was expected says nothing: estimates are that far off.
constexpr double usual_overdue = 2.0;

/// The least silence that says anything, in ms: twice what a span of events usually takes, since
/// single events aren't noted.
constexpr double least_silence_ms = 500.0;

double ms_between(instant from, instant to) {
    return as_milliseconds(to - from);
}

}  // namespace

double chance_late(double length_ms, double bound_ms, double softness) {
    if (bound_ms <= 0.0) {
        return 0.0;
    }
    return 1.0 / (1.0 + std::exp((1.0 - length_ms / bound_ms) / softness));
}

void engine_load::begin(instant now, const engine_run& run, const prompt_reading& reading) {
    runs_.insert_or_assign(run.number, run);
    held_ += run.held;
    add_stake(run, 1.0);
    if (pending_.empty()) {
        front_since_ = now;
    }
    pending_.push_back(reading);
    pending_ms_ += reading.length_ms;
    pending_pause_ms_ = std::max(pending_pause_ms_, reading.pause_ms);
    note_pause(now, reading.pause_ms);
}

void engine_load::add_stake(const engine_run& run, double sign) {
    if (run.longest_pause_ms > 0.0) {
        bounds_[run.longest_pause_ms].stake += sign * run.stake;
    }
}

void engine_load::note_pause(instant now, double pause_ms) {
    for (auto& [bound, state] : bounds_) {
        const double chance = chance_late(pause_ms, bound, pause_softness);
        fade(state, now);
        state.late_pauses += chance;
    }
}

void engine_load::fade(bound_state& state, instant now) {
    const double passed = ms_between(state.faded_at, now);
    const double memory = ms_between(instant{}, instant{} + pause_memory);
    state.late_pauses *= std::exp(-passed / memory);
    state.faded_at = now;
}

void engine_load::remove(std::map<std::uint64_t, engine_run>::iterator run) {
    held_ -= run->second.held;
    add_stake(run->second, -1.0);
    runs_.erase(run);
}

void engine_load::first_event(instant now, std::uint64_t number) {
    const auto found =
        std::find_if(pending_.begin(), pending_.end(),
                     [number](const prompt_reading& each) { return each.number == number; });
    if (found != pending_.end()) {
        pending_.erase(pending_.begin(), found + 1);
        sum_up_pending();
        front_since_ = now;
    }
    streaming_.insert(number);
    heard(now);
}

void engine_load::end(instant now, std::uint64_t number) {
    const auto found = runs_.find(number);
    if (found == runs_.end()) {
        return;
    }
    remove(found);
    streaming_.erase(number);
    const bool was_front = !pending_.empty() && pending_.front().number == number;
    std::erase_if(pending_, [number](const prompt_reading& each) { return each.number == number; });
    sum_up_pending();
    if (was_front) {
        front_since_ = now;
    }
}

void engine_load::sum_up_pending() {
    pending_ms_ = 0.0;
    pending_pause_ms_ = 0.0;
    for (const prompt_reading& reading : pending_) {
        pending_ms_ += reading.length_ms;
        pending_pause_ms_ = std::max(pending_pause_ms_, reading.pause_ms);
    }
}

double engine_load::backlog_ms(instant now) const {
    if (pending_.empty()) {
        return 0.0;
    }
    const double front = pending_.front().length_ms;
    return pending_ms_ - std::min(front, ms_between(front_since_, now));
}

double engine_load::overdue_ms(instant now) const {
    double silence = 0.0;
    if (!pending_.empty()) {
        silence = ms_between(front_since_, now) - usual_overdue * pending_.front().length_ms;
    } else if (!streaming_.empty()) {
        silence = ms_between(heard_, now);
    }
    return std::max(0.0, silence - least_silence_ms);
}

double engine_load::pending_pause_ms(instant now) const {
    return std::min(pending_pause_ms_, backlog_ms(now));
}

double engine_load::loss_by_pause(instant now, double pause_ms) const {
    const double before = pending_pause_ms(now);
    if (pause_ms <= before) {
        return 0.0;
    }
    double loss = 0.0;
    for (const auto& [bound, state] : bounds_) {
        loss += state.stake * (chance_late(pause_ms, bound, pause_softness) -
                               chance_late(before, bound, pause_softness));
    }
    return loss;
}

double engine_load::late_pauses_per_second(instant now, double longest_pause_ms) const {
    const auto found = bounds_.find(longest_pause_ms);
    if (found == bounds_.end()) {
        return 0.0;
    }
    bound_state state = found->second;
    fade(state, now);
    return state.late_pauses / std::chrono::duration<double>(pause_memory).count();
}

}  // namespace wrenswitch
