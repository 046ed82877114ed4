#pragma once

#include <algorithm>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// How often one sender may send, on average and at once.
struct send_rate {
    /// Between two turns.
    microseconds spacing{};
    /// Turns that may be in hand; at least one.
    unsigned most_in_hand = 1;

    /// What the turns in hand beyond the first have taken to come.
    microseconds saved() const { return spacing * (most_in_hand - 1); }
};

/// Spaces what one sender sends: within any time it has no more turns than that time holds, and
/// those in hand. A request takes the next turn and is sent when that comes.
class send_pace {
public:
    /// No turn is in hand; the first comes after this time.
    void begin(instant now, microseconds first_turn, const send_rate& rate) {
        paid_until_ = now + first_turn + rate.saved();
    }

    /// The rate is another one from now on: the next turn is no further away than a new sender's.
    void hasten(instant now, const send_rate& rate) {
        paid_until_ = std::min(paid_until_, now + rate.spacing + rate.saved());
    }

    /// How long the next request has to wait.
    microseconds wait(instant now, const send_rate& rate) const {
        return std::max(microseconds(0), paid_until_ - rate.saved() - now);
    }

    /// A request takes the next turn.
    void take(instant now, const send_rate& rate) {
        paid_until_ = std::max(paid_until_, now) + rate.spacing;
    }

private:
    /// The time at which no turn is owed any more and as many as may be are in hand.
    instant paid_until_{};
};

}  // namespace wrenswitch
