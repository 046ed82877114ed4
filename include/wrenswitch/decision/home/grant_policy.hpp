#pragma once

#include <functional>
#include <string_view>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// The state of one budget from which a policy decides how many tokens an allocator holds.
struct grant_policy_input {
    tokens limit = 0;
    /// The tokens left in the ledger to draw.
    tokens available = 0;
    /// The tokens that this allocator holds, and the part that is neither reserved nor spent.
    tokens held = 0;
    tokens free = 0;
    /// The tokens that all allocators hold together.
    tokens total_held = 0;
    /// The bounds of the requests that wait for tokens here.
    tokens need = 0;
    /// The unmet need at the head of the ledger's queue, if it is another allocator's.
    tokens first_remote_need = 0;
    /// The demand here in tokens per second, over a short and over a long time.
    double recent_demand = 0.0;
    double demand = 0.0;
    /// The charges of all allocators over the long time, in tokens per second.
    double total_demand = 0.0;
    /// The time constant of the long-term demand.
    microseconds demand_time_constant{0};
    /// The largest bound of a request so far, at least the assumed bound.
    tokens largest_bound = 0;
    /// The number of allocators that share the budget: one per region or failure domain.
    unsigned allocator_count = 1;
    /// The tokens that this allocator holds or has spent.
    tokens total_drawn = 0;
};

/// The decision of a policy, in tokens. At most one of the amounts is positive.
struct grant_decision {
    tokens draw = 0;
    tokens return_amount = 0;
};

/// Decides how many tokens to draw or to return.
using grant_policy = std::function<grant_decision(const grant_policy_input&)>;

/// The time horizons and limits of the grant policies.
struct grant_policy_settings {
    /// How long the held tokens should last in normal operation, with the log reachable.
    microseconds working_horizon = seconds(20);
    /// How long the held tokens should last while the log is unreachable. Longer than the expected
    /// outages, since demand varies from hour to hour.
    microseconds outage_horizon = seconds(7200);
    /// The share of the unspent tokens that all allocators together may hold as a reserve for an
    /// outage of the log. A higher share lasts longer; a lower one leaves fewer tokens unaccounted
    /// for after a crash.
    double reserve_share = 0.9;
};

/// Each allocator draws an equal part of the limit once and keeps it.
grant_policy even_split_policy();

/// Each allocator holds its expected demand over the working horizon.
grant_policy demand_share_policy(grant_policy_settings settings);

/// Each allocator holds its expected demand over the outage horizon, limited to an equal part of
/// the reserve.
grant_policy capped_reserve_policy(grant_policy_settings settings);

/// Each allocator holds its expected demand over the outage horizon, limited to a part of the
/// reserve in proportion to its demand. Every allocator sees all settlements of a shard, so it
/// knows its proportion without communication.
grant_policy shared_reserve_policy(grant_policy_settings settings);

/// Returns the policy with this name (even_split, demand_share, capped_reserve or shared_reserve),
/// or an empty function if there is none.
grant_policy grant_policy_named(std::string_view name, grant_policy_settings settings);

}  // namespace wrenswitch
