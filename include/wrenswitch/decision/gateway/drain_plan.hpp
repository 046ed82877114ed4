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
    /// Reserved at the end: requests that still run when it begins are ended with an error, so that
    /// their callers get an answer.
    microseconds completion_margin = milliseconds(400);
    /// The last part of that, reserved for the exit of the process.
    microseconds exit_margin = milliseconds(100);
    /// After this time without a request no caller depends on the process any more.
    microseconds idle_period = milliseconds(300);

    /// True if a request can be accepted whose caller waits for this long at the most. How long a
    /// target will need can only be estimated, so later requests are accepted only if their
    /// deadline passes before the end of the stop: they end with a response or at their deadline.
    bool may_accept(microseconds since_stop, microseconds caller_wait) const {
        return since_stop <= grace_period ||
               since_stop + caller_wait + completion_margin <= max_duration;
    }

    /// True while new connections are accepted.
    bool accepts_connections(microseconds since_stop) const {
        return since_stop + 3 * completion_margin <= max_duration;
    }

    /// True if the process can exit once its work is done: either it is past the grace period and
    /// idle, or the requests that still run have to be ended.
    bool can_exit(microseconds since_stop, std::size_t requests, microseconds since_request) const {
        if (must_end_requests(since_stop)) {
            return true;
        }
        return since_stop > grace_period && requests == 0 && since_request > idle_period;
    }

    /// True once requests that still run have to be ended.
    bool must_end_requests(microseconds since_stop) const {
        return since_stop + completion_margin > max_duration;
    }

    /// True once the process has to exit, whatever is left.
    bool must_exit(microseconds since_stop) const {
        return since_stop + exit_margin > max_duration;
    }
};

}  // namespace wrenswitch
