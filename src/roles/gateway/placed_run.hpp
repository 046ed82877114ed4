#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// A request that was placed at an engine.
struct placed_run {
    /// Unique in the fleet; zero if there is no run.
    std::uint64_t number = 0;
    std::string target;
    /// The host that keeps the engine's load, for logs; empty if this entry chose by itself.
    std::string keeper;
    /// Where the keeper is told how the run fares; empty if it is this entry, or nobody.
    std::string keeper_endpoint;
    /// Its number at the engine as this entry counts it, or zero if only its own desk does.
    std::uint64_t counted_here = 0;
    /// How long the choice took: as old is what it knew of the engine's load.
    microseconds asked_for{};
    /// The spans of events that came, which the keeper is told at the end.
    std::vector<microseconds> spans;
};

}  // namespace wrenswitch
