#pragma once

#include <functional>

#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch::testing {

/// Runs an event loop in slices until a condition holds.
class loop_runner {
public:
    event_loop loop;

    /// True if the condition came to hold within the time.
    bool run_until(const std::function<bool()>& condition, microseconds longest = seconds(5)) {
        const instant end = monotonic_now() + longest;
        while (!condition()) {
            if (monotonic_now() > end) {
                return false;
            }
            run_for(milliseconds(2));
        }
        return true;
    }

    void run_for(microseconds length) {
        loop.call_after(length, [this] { loop.stop(); });
        loop.run();
    }
};

}  // namespace wrenswitch::testing
