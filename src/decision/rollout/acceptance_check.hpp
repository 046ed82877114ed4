#pragma once

#include <string>
#include <vector>

#include "decision/rollout/response_statistics.hpp"
#include "wrenswitch/decision/rollout/rollout_evaluator.hpp"

namespace wrenswitch {

/// Decides whether a version without a detected regression may be accepted as good. Less evidence
/// is needed to reject it here than to detect a regression: in doubt the old version keeps serving.
class acceptance_check {
public:
    struct result {
        bool accepted = false;
        /// Why the version isn't accepted, or the bound that an accepted version keeps.
        std::string reason;
    };

    /// `settings` must outlive this object.
    acceptance_check(const rollout_evaluator::settings& settings, double load_ratio)
        : settings_(settings), load_ratio_(load_ratio) {}

    result check(const response_statistics& responses) const;

private:
    /// What evidence is missing; empty if there is enough.
    std::string find_missing_data(const std::vector<route_comparison>& failures) const;
    /// The first route with too few of the `total_responses`; empty if there is none.
    static std::string find_missing_route(const response_statistics& responses,
                                          double total_responses);
    /// The first comparison with too many failures for a good version; empty if there is none.
    std::string find_excess_failures(const std::vector<route_comparison>& comparisons) const;
    std::string find_slowdown(const response_statistics& responses) const;

    const rollout_evaluator::settings& settings_;
    double load_ratio_;
};

}  // namespace wrenswitch
