#pragma once

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Notices when an entry gets more requests than its processor can pass on, by how late its loop
/// comes to what is due, and says which share of its requests it should refuse at once. An entry
/// whose queue grows without a bound is late with everything: it ends runs whose callers left and
/// requests whose time is over half a second too late, and takes answers for lost that lie unread,
/// among them new configurations.
///
/// The share follows the least lag of each window, since a single pause says nothing of a queue
/// that stays.
class overload_watch {
public:
    /// The loop came to something this much after it was due.
    void observe(instant now, microseconds lag);

    /// The share of requests to refuse, from 0 to 1.
    double refused_share() const { return share_; }

private:
    instant window_began_{};
    microseconds least_lag_{};
    unsigned looks_ = 0;
    double share_ = 0.0;
};

}  // namespace wrenswitch
