#pragma once

#include <functional>
#include <string_view>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// What a home knows when it decides how much of a budget to hold.
struct grant_view {
    tokens limit = 0;
    /// What is left in the ledger for anyone to draw.
    tokens available = 0;
    /// What this home holds, and the part of it that is neither reserved nor spent.
    tokens held = 0;
    tokens free = 0;
    /// What all homes together hold.
    tokens held_by_all = 0;
    /// What requests wait for here.
    tokens need = 0;
    /// What the first home in the ledger's queue waits for, if that is another one.
    tokens first_need_elsewhere = 0;
    /// Tokens a second that are asked for here: lately, and over a longer time.
    double recent_demand = 0.0;
    double demand = 0.0;
    /// What all homes settle over the longer time.
    double demand_of_all = 0.0;
    /// How long the longer time is.
    microseconds demand_memory{0};
    /// The largest reservation seen lately.
    tokens largest_bound = 0;
    /// The number of homes that a budget can have: one a region or failure domain.
    unsigned homes = 1;
    /// What this home holds or has spent, altogether.
    tokens drawn = 0;
};

/// What to do now. At most one of both is above zero.
struct grant_decision {
    tokens draw = 0;
    tokens give_back = 0;
};

/// A way of deciding how much to hold.
using grant_policy = std::function<grant_decision(const grant_view&)>;

/// How far a policy looks ahead and how much it leaves for others.
struct grant_policy_settings {
    /// How long the held tokens should last while the log can be reached.
    microseconds working_horizon = seconds(20);
    /// How long they should last when it cannot. Longer than the cut-offs that are expected, since
    /// demand in one hour is not that of the hour before.
    microseconds cut_off_horizon = seconds(7200);
    /// The share of what is left that all homes together may hold back against a cut-off. Higher
    /// serves a cut-off longer; lower leaves fewer tokens in doubt after a crash.
    double reserve_share = 0.9;
};

/// Each home draws an equal part of the limit once and keeps it.
grant_policy even_split_policy();

/// Each home holds what its demand needs for the working horizon.
grant_policy demand_share_policy(grant_policy_settings settings);

/// As demand_share_policy, but for the cut-off horizon, limited to an equal part of what is left.
grant_policy capped_reserve_policy(grant_policy_settings settings);

/// Each home holds the cut-off horizon's demand, limited to its share, by demand, of what is left.
/// Every home sees all settlements of a shard, so it knows that share without asking.
grant_policy shared_reserve_policy(grant_policy_settings settings);

/// The policy with this name, or an empty function: even_split, demand_share, capped_reserve,
/// shared_reserve.
grant_policy grant_policy_named(std::string_view name, grant_policy_settings settings);

}  // namespace wrenswitch
