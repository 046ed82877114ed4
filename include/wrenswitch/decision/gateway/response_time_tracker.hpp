#pragma once

#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Tracks the response times of services without prompts, and derives from them how long a target
/// may stay silent before it counts as unresponsive. A target that hangs goes on accepting requests
/// and passing its health checks, so its silence is the only sign of the failure.
class response_time_tracker {
public:
    /// Adds the response time of one request.
    void observe(const std::string& service, microseconds time);

    /// How long a target of the service may stay silent before it counts as unresponsive, if it has
    /// reported this slowdown.
    microseconds silence_threshold(std::string_view service, double slowdown = 1.0) const;

private:
    /// The moving average of the response time of each service, in milliseconds.
    std::map<std::string, double, std::less<>> average_ms_;
};

}  // namespace wrenswitch
