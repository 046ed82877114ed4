#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace wrenswitch::experiment {

/// How a new version behaves, and whether it should be rolled back.
struct rollout_case {
    std::string name;
    bool bad = true;
    /// The share of its answers that fail.
    double failures = 0.0;
    /// How many times as long a part of its answers takes.
    double slower = 1.0;
    double slow_part = 1.0;
    /// The part of the order's time that passes before it is bad.
    double bad_from = 0.0;
    /// Bad only while one target has all of the canary.
    bool under_load = false;
    /// Bad on the first of the routes only.
    bool on_one_route = false;
    /// How many targets have all of the canary in turn.
    std::size_t loaded_targets = 3;
    /// The share of failures that both versions give on the first route.
    double own_failures = 0.0;
    /// From three quarters of the time to its end, about when the move is, both versions fail and
    /// are slower that much more.
    double day_failures = 0.0;
    double day_slower = 1.0;
    /// How many of its targets fail 40% of what they get, and how many it has if that isn't usual.
    std::size_t grey_targets = 0;
    std::optional<std::size_t> targets{};
    /// So many first answers of each target begin three times later.
    std::size_t cold_answers = 0;
};

/// A service whose traffic is moved.
struct rollout_service {
    std::string name;
    /// Requests a second, by four routes alike.
    double rate = 0.0;
    /// Seconds from the order to its deadline.
    double duration = 0.0;
    bool streams = false;
    std::size_t targets = 4;
};

std::vector<rollout_case> rollout_cases();
std::vector<rollout_service> rollout_services();

}  // namespace wrenswitch::experiment
