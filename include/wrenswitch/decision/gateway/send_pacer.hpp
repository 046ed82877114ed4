#pragma once

#include <algorithm>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The average rate and the burst size of one sender.
struct send_rate {
    /// The time between two permits.
    microseconds interval{};
    /// The number of permits that may be available at once; at least one.
    unsigned max_burst = 1;

    /// The time in which the permits of a burst after the first one accumulate.
    microseconds burst_tolerance() const { return interval * (max_burst - 1); }
};

/// Paces one sender with the generic cell rate algorithm (GCRA): in any period it issues no more
/// permits than the rate yields in that period plus one burst. A request reserves the next permit
/// and is sent when that permit becomes due.
class send_pacer {
public:
    /// Starts without available permits; the first one is due after the given delay.
    void start(instant now, microseconds first_permit_delay, const send_rate& rate) {
        theoretical_arrival_ = now + first_permit_delay + rate.burst_tolerance();
    }

    /// Applies a changed rate: the next permit is due no later than it would be for a new sender.
    void cap_delay(instant now, const send_rate& rate) {
        theoretical_arrival_ =
            std::min(theoretical_arrival_, now + rate.interval + rate.burst_tolerance());
    }

    /// The time until the next permit is due.
    microseconds delay(instant now, const send_rate& rate) const {
        return std::max(microseconds(0), theoretical_arrival_ - rate.burst_tolerance() - now);
    }

    /// Reserves the next permit.
    void reserve(instant now, const send_rate& rate) {
        theoretical_arrival_ = std::max(theoretical_arrival_, now) + rate.interval;
    }

private:
    /// The GCRA's theoretical arrival time: from then on a full burst is available.
    instant theoretical_arrival_{};
};

}  // namespace wrenswitch
