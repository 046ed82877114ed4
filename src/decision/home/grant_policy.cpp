#include "wrenswitch/decision/home/grant_policy.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// An allocator draws when less than this share of its target is free, so that it does not append a
/// record for every request.
constexpr double redraw_threshold = 0.7;

/// An allocator returns tokens above this multiple of its target. The hysteresis against
/// redraw_threshold prevents allocators from passing the same tokens back and forth.
constexpr double return_threshold = 1.3;

/// The weight of the prior assumption of equal demand, in requests of the largest bound.
constexpr double prior_weight = 4.0;

/// The assumed maximum duration of a burst.
constexpr double max_burst_s = 600.0;

/// The minimum target, in reservations of the largest bound, if enough tokens are left.
constexpr tokens min_reservations = 4;

tokens rounded(double amount) {
    return static_cast<tokens>(std::llround(amount));
}

/// The unspent tokens, in the ledger and at all allocators.
tokens unspent_tokens(const grant_policy_input& input) {
    return std::max<tokens>(input.available + input.total_held, 0);
}

/// Draws if the free tokens are well below the target, or returns the excess if they are well above
/// it.
grant_decision decide_for_target(const grant_policy_input& input, tokens target) {
    grant_decision decision;
    if (input.first_remote_need > 0) {
        // The ledger is exhausted and a request waits at another allocator, ahead of any here. It
        // gets all free tokens: if two allocators each kept a part of the tokens for the last
        // request, both would refuse it.
        decision.return_amount = std::clamp<tokens>(input.free, 0, input.first_remote_need);
        return decision;
    }
    const tokens wanted = std::max(target, input.need);
    const bool is_below_target =
        static_cast<double>(input.free) < redraw_threshold * static_cast<double>(wanted);
    if (is_below_target || input.free < input.need) {
        decision.draw = std::max(wanted - input.free, tokens{0});
        return decision;
    }
    const tokens keep = std::max<tokens>(wanted, input.largest_bound);
    const tokens excess = std::max<tokens>(input.free - keep, 0);
    const bool is_excessive =
        static_cast<double>(input.free) > return_threshold * static_cast<double>(keep);
    if (is_excessive && excess > input.largest_bound) {
        decision.return_amount = excess;
    }
    return decision;
}

/// This allocator's share of the total demand. A prior of equal shares dominates while there are
/// few observations, so that random variation in the first requests has little effect.
double demand_fraction(const grant_policy_input& input) {
    const double allocator_count = std::max(1U, input.allocator_count);
    const double total = std::max(input.total_demand, input.demand);
    const double time_constant = std::max(as_seconds(input.demand_time_constant), 1.0);
    const double prior = prior_weight * static_cast<double>(input.largest_bound) / time_constant;
    return (input.demand + prior / allocator_count) / (total + prior);
}

/// The expected demand here over the horizon, in tokens.
double expected_demand(const grant_policy_input& input, microseconds horizon) {
    const double expected = input.demand * as_seconds(horizon);
    const double burst = input.recent_demand * std::min(as_seconds(horizon), max_burst_s);
    return std::max(expected, burst);
}

}  // namespace

grant_policy even_split_policy() {
    return [](const grant_policy_input& input) {
        grant_decision decision;
        const tokens limit_part = input.limit / std::max(1U, input.allocator_count);
        decision.draw = std::max<tokens>(limit_part - input.total_drawn, 0);
        return decision;
    };
}

grant_policy demand_share_policy(grant_policy_settings settings) {
    return [settings](const grant_policy_input& input) {
        const tokens expected = rounded(expected_demand(input, settings.working_horizon));
        return decide_for_target(input, std::max(expected, min_reservations * input.largest_bound));
    };
}

grant_policy capped_reserve_policy(grant_policy_settings settings) {
    return [settings](const grant_policy_input& input) {
        const double expected = expected_demand(input, settings.outage_horizon);
        const double reserve_part = settings.reserve_share *
                                    static_cast<double>(unspent_tokens(input)) /
                                    std::max(1U, input.allocator_count);
        const tokens working = rounded(expected_demand(input, settings.working_horizon));
        const tokens min_target = std::min(
            std::max(working, min_reservations * input.largest_bound), rounded(reserve_part));
        return decide_for_target(input,
                                 std::max(min_target, rounded(std::min(expected, reserve_part))));
    };
}

grant_policy shared_reserve_policy(grant_policy_settings settings) {
    return [settings](const grant_policy_input& input) {
        const double expected = expected_demand(input, settings.outage_horizon);
        const double reserve_part = settings.reserve_share *
                                    static_cast<double>(unspent_tokens(input)) *
                                    demand_fraction(input);
        const tokens min_target =
            std::min(min_reservations * input.largest_bound, rounded(reserve_part));
        return decide_for_target(input,
                                 std::max(min_target, rounded(std::min(expected, reserve_part))));
    };
}

grant_policy grant_policy_named(std::string_view name, grant_policy_settings settings) {
    if (name == "even_split") {
        return even_split_policy();
    }
    if (name == "demand_share") {
        return demand_share_policy(settings);
    }
    if (name == "capped_reserve") {
        return capped_reserve_policy(settings);
    }
    if (name == "shared_reserve") {
        return shared_reserve_policy(settings);
    }
    return {};
}

}  // namespace wrenswitch
