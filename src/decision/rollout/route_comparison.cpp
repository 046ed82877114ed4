#include "decision/rollout/route_comparison.hpp"

#include <algorithm>
#include <sstream>

namespace wrenswitch {

sample_proportion route_comparison::treatment() const {
    sample_proportion sum;
    for (const sample_proportion& sample : targets) {
        sum.add(sample);
    }
    return sum;
}

std::size_t route_comparison::targets_with_responses() const {
    const auto count =
        std::count_if(targets.begin(), targets.end(),
                      [](const sample_proportion& sample) { return sample.total > 0.0; });
    return static_cast<std::size_t>(count);
}

double route_comparison::excess_count() const {
    const sample_proportion sum = treatment();
    return sum.flagged - sum.total * control.value();
}

std::optional<std::size_t> route_comparison::worst_target() const {
    std::optional<std::size_t> worst;
    double most = 0.0;
    for (std::size_t target = 0; target < targets.size(); ++target) {
        const double excess = targets[target].flagged - targets[target].total * control.value();
        if (excess > most) {
            most = excess;
            worst = target;
        }
    }
    return worst;
}

bool route_comparison::has_comparable_load(std::size_t target) const {
    // A target that gets all canary traffic for a fifth of the time has twice as many responses as
    // each of three others.
    constexpr double min_load_ratio = 0.65;
    const double min_responses = min_load_ratio * targets[target].total;
    for (std::size_t other = 0; other < targets.size(); ++other) {
        if (other != target && targets[other].total >= min_responses) {
            return true;
        }
    }
    return false;
}

std::string route_comparison::describe(const std::string& flag) const {
    const sample_proportion sum = treatment();
    std::ostringstream output;
    output.precision(3);
    output << sum.flagged << " of " << sum.total << " " << flag << " on "
           << (route.empty() ? "all routes" : "route " + route) << ", old version "
           << control.value() * 100.0 << "%";
    return output.str();
}

}  // namespace wrenswitch
