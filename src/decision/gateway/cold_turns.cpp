#include "wrenswitch/decision/gateway/cold_turns.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// The turns that are kept while nobody uses them: one, so that a second holds the rate and one
/// more at the most.
constexpr double most_turns = 1.0;

}  // namespace

void cold_turns::begin(instant now, instant until, double head_start) {
    if (!is_cold(now)) {
        turns_ = std::clamp(head_start, 0.0, most_turns);
        counted_at_ = now;
    }
    cold_until_ = std::max(cold_until_, until);
}

double cold_turns::turns_at(instant now, double rate) const {
    return std::min(most_turns, turns_ + rate * as_seconds(now - counted_at_));
}

bool cold_turns::has_turn(instant now, double rate) const {
    return !is_cold(now) || turns_at(now, rate) >= 1.0;
}

void cold_turns::take(instant now, double rate) {
    if (is_cold(now)) {
        turns_ = turns_at(now, rate) - 1.0;
        counted_at_ = now;
    }
}

microseconds cold_turns::until_turn(instant now, double rate) const {
    if (has_turn(now, rate)) {
        return microseconds(0);
    }
    const microseconds until_warm = cold_until_ - now;
    if (rate <= 0.0) {
        return until_warm;
    }
    constexpr double microseconds_a_second = 1e6;
    const double wait = (1.0 - turns_at(now, rate)) / rate * microseconds_a_second;
    return std::min(until_warm, microseconds(static_cast<std::int64_t>(wait)));
}

}  // namespace wrenswitch
