#pragma once

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Spaces the requests that one target gets while it is cold. A target that gets well more than its
/// rate falls over, and what counts is the sum over all entries, so that each process has a part of
/// the rate and no turn in hand when it begins: one that starts anew can't use a predecessor's
/// turns twice. A request takes the next turn and is sent when that comes.
class cold_turns {
public:
    /// The target is cold until then, or longer if that was known. The first turn comes after this
    /// time if the target was warm.
    void begin(instant now, instant until, microseconds first_turn);

    /// Turns that others may have taken count as taken: none comes before this time.
    void hold_back(instant now, microseconds first_turn);

    bool is_cold(instant now) const { return now < cold_until_; }

    /// How long the next request has to wait; zero if the target is warm.
    microseconds wait(instant now) const;

    /// A request takes the next turn; the one behind it comes this much later.
    void take(instant now, microseconds spacing);

private:
    instant cold_until_{};
    instant next_turn_{};
};

}  // namespace wrenswitch
