#pragma once

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Paces one process's requests to a target while the target is cold. A cold target fails if it
/// receives well more than its warm-up rate from all gateways together, so each process gets a
/// share of that rate and starts without any unused permits: a process that restarts can't use
/// permits that its predecessor has already used. A request reserves the next send permit and is
/// sent when that permit becomes due.
class warmup_pacer {
public:
    /// Marks the target as cold until the given time, or keeps a later one that is already known.
    /// If the target was warm, the first permit is due after the given delay.
    void begin(instant now, instant until, microseconds first_permit_delay);

    /// Treats permits that other processes may have issued as used: none is due before the delay
    /// has passed.
    void defer(instant now, microseconds first_permit_delay);

    bool is_cold(instant now) const { return now < cold_until_; }

    /// The time until the next permit is due; zero if the target is warm.
    microseconds delay(instant now) const;

    /// Reserves the next permit; the one after it is due an interval later.
    void reserve(instant now, microseconds interval);

private:
    instant cold_until_{};
    instant next_permit_{};
};

}  // namespace wrenswitch
