#pragma once

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The turns of one target that is cold: how many requests this process may send there. A target
/// that gets well more than its rate falls over, and what counts is the sum over all entries, so
/// that each process has a part of the rate and a bucket that is empty when the target turns cold.
/// A process that starts anew thus can't use a predecessor's turns twice.
class cold_turns {
public:
    /// The target is cold until then, or longer if that was known. Turns come in with the rate from
    /// now on if it was warm; `head_start`, from 0 to 1, is the part of the first turn that is
    /// there already, so that processes which learn of it together don't all send at the same
    /// moment.
    void begin(instant now, instant until, double head_start);

    bool is_cold(instant now) const { return now < cold_until_; }

    /// True if a request may go there at this rate of turns a second. A warm target has no limit.
    bool has_turn(instant now, double rate) const;

    /// A request goes there.
    void take(instant now, double rate);

    /// How long until there is a turn, or until the target is warm.
    microseconds until_turn(instant now, double rate) const;

private:
    double turns_at(instant now, double rate) const;

    instant cold_until_{};
    double turns_ = 0.0;
    instant counted_at_{};
};

}  // namespace wrenswitch
