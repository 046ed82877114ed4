#pragma once

#include <cstddef>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The timing of a graceful shutdown. The platform goes on sending connections for a while after
/// the stop was requested, and until another gateway takes over. Every request that is still
/// accepted has to end before the deadline.
struct drain_plan {
    /// The time from the stop request until the process is killed.
    microseconds max_duration = seconds(8);
    /// Requests that arrive within this time are accepted however long they may take.
    microseconds grace_period = milliseconds(2800);
    /// Reserved at the end for responses in transit and for the exit of the process.
    microseconds completion_margin = milliseconds(400);
    /// After this time without a request no caller depends on the process any more.
    microseconds idle_period = milliseconds(300);

    /// True if a request that may need this long can be accepted.
    bool may_accept(microseconds since_stop, microseconds needed) const {
        return since_stop <= grace_period ||
               since_stop + needed + completion_margin <= max_duration;
    }

    /// True while new connections are accepted.
    bool accepts_connections(microseconds since_stop) const {
        return since_stop + 3 * completion_margin <= max_duration;
    }

    /// True if the process can exit: either it is past the grace period and idle, or no time is
    /// left.
    bool can_exit(microseconds since_stop, std::size_t requests, microseconds since_request) const {
        if (since_stop + completion_margin > max_duration) {
            return true;
        }
        return since_stop > grace_period && requests == 0 && since_request > idle_period;
    }
};

}  // namespace wrenswitch
