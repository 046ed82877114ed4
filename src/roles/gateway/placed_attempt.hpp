#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// An attempt that was assigned to an engine.
struct placed_attempt {
    /// Unique in the fleet; zero if there is no attempt.
    std::uint64_t id = 0;
    std::string target;
    /// Host of the engine's coordinator, for logs; empty if this gateway chose without one.
    std::string coordinator;
    /// Where progress updates are sent; empty if this process is the coordinator or there is none.
    std::string coordinator_endpoint;
    /// The attempt's number in this gateway's target pool, or zero if only its
    /// placement_coordinator counts the attempt.
    std::uint64_t local_attempt = 0;
    /// How long the choice took, which is the age of the load data that it was based on.
    microseconds selection_time{};
    /// The spans of events that arrived, reported to the coordinator when the attempt ends.
    std::vector<microseconds> event_spans;
};

}  // namespace wrenswitch
