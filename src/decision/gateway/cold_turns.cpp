#include "wrenswitch/decision/gateway/cold_turns.hpp"

#include <algorithm>

namespace wrenswitch {

void cold_turns::begin(instant now, instant until, microseconds first_turn) {
    if (!is_cold(now)) {
        next_turn_ = now + first_turn;
    }
    cold_until_ = std::max(cold_until_, until);
}

void cold_turns::hold_back(instant now, microseconds first_turn) {
    next_turn_ = std::max(next_turn_, now + first_turn);
}

microseconds cold_turns::wait(instant now) const {
    return std::max(microseconds(0), std::min(next_turn_, cold_until_) - now);
}

void cold_turns::take(instant now, microseconds spacing) {
    next_turn_ = std::max(next_turn_, now) + spacing;
}

}  // namespace wrenswitch
