#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/membership/neighbour_report.hpp"

namespace wrenswitch {

/// What an entry knows of its failure domain when it is about to shed callers.
struct shedding_conditions {
    /// The own state: `accepting`, `announced` or `stepped_back`.
    entry_state own_state = entry_state::accepting;
    /// The states that the other members report, as far as their reports may be counted on.
    std::vector<entry_state> neighbours;
    /// True if a step back is suspected on reports that may not be counted on, as after a freeze.
    /// It can only restrict shedding.
    bool step_back_suspected = false;
    /// The listed members, including this one.
    std::size_t members = 0;
    /// The other members that accept callers and come before this one in the order of host names.
    std::size_t preceding = 0;
};

/// Whether an entry may shed callers, with the figures that determined it.
struct shedding_decision {
    bool is_allowed = true;
    /// The other members that accept callers.
    std::size_t accepting = 0;
    std::size_t members = 0;
};

/// Decides whether timed shedding may begin. While an entry of the failure domain has announced a
/// step back or has stepped back, at least half of the members must accept callers afterwards: the
/// platform sends callers to all members once fewer than half are ready. One more may be out than
/// with step backs alone, whose own rule returns one then, so that shedding can take the place of a
/// step back. All announcements count as out, since shedding isn't announced itself and so has no
/// place in their order. Without a step back shedding is always allowed, since a saturated
/// link of a single entry or of equal ones has no other protection.
shedding_decision decide_shedding(const shedding_conditions& conditions);

/// Applies `decide_shedding` over time. All entries whose shedding is withheld learn of an entry
/// that accepts callers again by the same report, and would begin at the same moment. They
/// therefore begin one after the other, and each counts those that began before.
class shedding_budget {
public:
    /// Longer than the 20 ms between two updates of an entry and the way of its report.
    static constexpr microseconds turn_time = milliseconds(50);

    /// Decides anew. `is_withheld` is true while shedding waits for the budget.
    void evaluate(instant now, const shedding_conditions& conditions, bool is_withheld);

    /// True if shedding may begin, as of the last evaluation.
    bool allows_shedding() const { return allows_; }

    /// When shedding that is withheld may begin, if the budget allows it but for the order.
    std::optional<instant> due() const { return due_; }

    const shedding_decision& last_decision() const { return last_; }

private:
    shedding_decision last_;
    bool allows_ = true;
    std::optional<instant> due_;
};

}  // namespace wrenswitch
