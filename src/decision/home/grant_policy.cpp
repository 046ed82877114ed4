#include "wrenswitch/decision/home/grant_policy.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// A home redraws when less than this share of its target is free, so that it does not append for
/// every request.
constexpr double redraw_below = 0.7;

/// A home gives back what exceeds this multiple of its target. The gap to redraw_below keeps homes
/// from handing the same tokens to and fro.
constexpr double give_back_above = 1.3;

/// How many of the largest requests the assumption of equal parts weighs as much as.
constexpr double prior_requests = 4.0;

/// For so long demand that is above the usual is expected to last.
constexpr double longest_burst_s = 600.0;

/// At least this many of the largest reservations are worth holding, where so much is left.
constexpr tokens least_reservations = 4;

tokens rounded(double amount) {
    return static_cast<tokens>(std::llround(amount));
}

/// What is free anywhere: in the ledger or with homes.
tokens left_of(const grant_view& view) {
    return std::max<tokens>(view.available + view.held_by_all, 0);
}

/// Draws towards a target of free tokens, or gives back what is far above it.
grant_decision steer(const grant_view& view, tokens target) {
    grant_decision decision;
    if (view.first_need_elsewhere > 0) {
        // The ledger has nothing left and a request waits at another home, before any that waits
        // here. It gets all that is free: two homes that each kept their part of a last request's
        // tokens would both refuse.
        decision.give_back = std::clamp<tokens>(view.free, 0, view.first_need_elsewhere);
        return decision;
    }
    const tokens wanted = std::max(target, view.need);
    const bool short_of_target =
        static_cast<double>(view.free) < redraw_below * static_cast<double>(wanted);
    if (short_of_target || view.free < view.need) {
        decision.draw = std::max(wanted - view.free, tokens{0});
        return decision;
    }
    const tokens keep = std::max<tokens>(wanted, view.largest_bound);
    const tokens spare = std::max<tokens>(view.free - keep, 0);
    const bool far_above =
        static_cast<double>(view.free) > give_back_above * static_cast<double>(keep);
    if (far_above && spare > view.largest_bound) {
        decision.give_back = spare;
    }
    return decision;
}

/// The part of all demand that this home has. With little seen so far it is drawn towards an equal
/// part, so that chance in the first requests does not decide.
double share_of(const grant_view& view) {
    const double homes = std::max(1U, view.homes);
    const double all = std::max(view.demand_of_all, view.demand);
    const double memory = std::max(as_seconds(view.demand_memory), 1.0);
    const double prior = prior_requests * static_cast<double>(view.largest_bound) / memory;
    return (view.demand + prior / homes) / (all + prior);
}

/// What the demand here is expected to be, over so long a time.
double expected_demand(const grant_view& view, microseconds horizon) {
    const double ahead = view.demand * as_seconds(horizon);
    const double burst = view.recent_demand * std::min(as_seconds(horizon), longest_burst_s);
    return std::max(ahead, burst);
}

}  // namespace

grant_policy even_split_policy() {
    return [](const grant_view& view) {
        grant_decision decision;
        const tokens part = view.limit / std::max(1U, view.homes);
        decision.draw = std::max<tokens>(part - view.drawn, 0);
        return decision;
    };
}

grant_policy demand_share_policy(grant_policy_settings settings) {
    return [settings](const grant_view& view) {
        const tokens ahead = rounded(expected_demand(view, settings.working_horizon));
        return steer(view, std::max(ahead, least_reservations * view.largest_bound));
    };
}

grant_policy capped_reserve_policy(grant_policy_settings settings) {
    return [settings](const grant_view& view) {
        const double ahead = expected_demand(view, settings.cut_off_horizon);
        const double part =
            settings.reserve_share * static_cast<double>(left_of(view)) / std::max(1U, view.homes);
        const tokens working = rounded(expected_demand(view, settings.working_horizon));
        const tokens floor =
            std::min(std::max(working, least_reservations * view.largest_bound), rounded(part));
        return steer(view, std::max(floor, rounded(std::min(ahead, part))));
    };
}

grant_policy shared_reserve_policy(grant_policy_settings settings) {
    return [settings](const grant_view& view) {
        const double ahead = expected_demand(view, settings.cut_off_horizon);
        const double part =
            settings.reserve_share * static_cast<double>(left_of(view)) * share_of(view);
        const tokens floor = std::min(least_reservations * view.largest_bound, rounded(part));
        return steer(view, std::max(floor, rounded(std::min(ahead, part))));
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
