#pragma once

#include <cstddef>
#include <cstdint>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// How the canary uses the budget of exposure at one time.
struct canary_step {
    /// The part of the budget that may be used up by now.
    double part = 0.0;
    /// The targets of the new version that are used, as in version_constraint.
    std::uint32_t group_size = 0;
    std::uint64_t group_seed = 0;
    /// What each of these targets bears, over what each of the old version does; an estimate.
    double load = 0.0;
};

/// What the canary does in the course of an order's time. In each fifth of it other targets are
/// used, so that a verdict rests on several, and as many as make each bear what an old one does. In
/// the middle fifth they bear more than that (the stress), so that a version that is bad under load
/// shows before it is moved to: the budget that was spared until then is used in three steps, each
/// with other targets, and by one alone where a service has few.
class canary_plan {
public:
    /// `exposed_share` is the share of the service's requests that entries may send to the new
    /// version. `number` is the order's.
    canary_plan(microseconds duration, double exposed_share, std::uint64_t number);

    canary_step at(microseconds elapsed, std::size_t old_targets, std::size_t new_targets) const;

    /// The most that a canary's target has borne until then, over what an old one did.
    double highest_load(microseconds elapsed, std::size_t old_targets,
                        std::size_t new_targets) const;

private:
    struct pace;
    pace pace_at(double passed, std::size_t old_targets) const;

    microseconds duration_;
    double share_;
    std::uint64_t number_;
};

}  // namespace wrenswitch
