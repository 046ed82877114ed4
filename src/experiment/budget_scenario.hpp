#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch::experiment {

/// A stretch of virtual time, from the beginning of a run.
struct time_window {
    microseconds begin{0};
    microseconds end{0};

    bool contains(microseconds time) const { return time >= begin && time < end; }
};

/// What happens in one run of the budget experiment.
struct budget_scenario {
    std::string name;
    /// Homes that a budget can have: regions, or failure domains of one region.
    unsigned homes = 4;
    std::size_t budgets = 12;
    microseconds length = seconds(9000);
    /// Requests a second over all budgets and homes.
    double rate = 4.0;
    /// How unequal budgets and homes are: 0 is equal.
    double skew = 1.0;
    /// Each limit is the demand that is expected over the run times a factor drawn from here.
    double least_limit_factor = 1.2;
    double most_limit_factor = 3.0;
    /// One home is cut off from the log and from the others; empty windows mean never.
    time_window cut_off;
    /// Nobody reaches the log.
    time_window outage;
    /// Demand moves to another home at this time; zero for never.
    microseconds shift{0};
    /// Homes that crash in a run.
    unsigned crashes = 0;
    /// Bursts in which one budget's demand at one home is several times as high.
    unsigned bursts = 6;
};

/// All scenarios.
std::vector<budget_scenario> budget_scenarios();

/// The scenario with this name.
result<budget_scenario> budget_scenario_named(std::string_view name);

}  // namespace wrenswitch::experiment
