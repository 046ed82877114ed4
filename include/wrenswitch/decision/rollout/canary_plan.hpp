#pragma once

#include <cstddef>
#include <cstdint>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Limits on the canary traffic at one point in time.
struct canary_step {
    /// The fraction of the exposure budget that may be used up by now, 0 to 1.
    double budget_fraction = 0.0;
    /// Size and seed of the group of new targets that receive canary traffic; size 0 means all.
    std::uint32_t group_size = 0;
    std::uint64_t group_seed = 0;
    /// Estimated load per selected target, relative to the load per target of the old version.
    double relative_load = 0.0;
};

/// Schedules the canary traffic over the duration of a rollout order. The duration is divided into
/// fifths; each uses a different group of targets, so that the evaluation covers several, and sizes
/// the group so that a target is loaded about as much as an old one. During the middle fifth (the
/// stress span) targets carry a higher load, to expose a version that fails under load before all
/// traffic moves to it. The budget saved until then is spent in three steps, each on a different
/// group, which is a single target in small services.
class canary_plan {
public:
    /// `exposed_share` is the share of the service's requests that entries may send to the new
    /// version. `order_number` makes the groups differ between orders.
    canary_plan(microseconds duration, double exposed_share, std::uint64_t order_number);

    canary_step at(microseconds elapsed, std::size_t old_targets, std::size_t new_targets) const;

    /// The highest load per canary target up to `elapsed`, relative to a target of the old version.
    double peak_load(microseconds elapsed, std::size_t old_targets, std::size_t new_targets) const;

private:
    struct budget_use;
    budget_use budget_use_at(double elapsed_s, std::size_t old_targets) const;

    microseconds duration_;
    double share_;
    std::uint64_t order_number_;
};

}  // namespace wrenswitch
