#pragma once

#include <cstddef>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// What a planned stop allows when. The platform goes on sending connections for a while after a
/// stop was asked for, and for as long as no other entry takes them; whatever is taken must end in
/// time.
struct drain_plan {
    /// How long the stop may take in all; then the process is ended.
    microseconds longest = seconds(8);
    /// Requests that come this early are taken whatever they need.
    microseconds grace = milliseconds(2800);
    /// Kept back at the end for the answers that are on their way and the process's own end.
    microseconds margin = milliseconds(400);
    /// Without requests for this long nobody needs the process any more.
    microseconds quiet = milliseconds(300);

    /// True if a request that may need this long can be taken.
    bool may_take(microseconds since_stop, microseconds needed) const {
        return since_stop <= grace || since_stop + needed + margin <= longest;
    }

    /// True while connections are taken.
    bool listens(microseconds since_stop) const { return since_stop + 3 * margin <= longest; }

    /// True if the process can end: nothing runs, nothing more comes, or there is no time left.
    bool done(microseconds since_stop, std::size_t requests, microseconds since_request) const {
        if (since_stop + margin > longest) {
            return true;
        }
        return since_stop > grace && requests == 0 && since_request > quiet;
    }
};

}  // namespace wrenswitch
