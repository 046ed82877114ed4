#pragma once

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Detects from the lag of its event loop that a gateway receives more requests than its processor
/// can handle, and computes the share of requests to refuse immediately. With an unbounded queue
/// everything is late: requests whose callers left or whose deadline passed are cancelled more than
/// half a second late, and responses that wait unread, new configurations among them, are treated
/// as lost.
///
/// The share depends on the minimum lag in each window, since a single pause does not indicate a
/// standing queue.
class overload_detector {
public:
    /// Adds one sample: the loop ran something this long after it was due.
    void observe(instant now, microseconds lag);

    /// The share of requests to refuse, from 0 to 1.
    double refused_share() const { return refused_share_; }

private:
    instant window_start_{};
    microseconds min_lag_{};
    unsigned window_samples_ = 0;
    double refused_share_ = 0.0;
};

}  // namespace wrenswitch
