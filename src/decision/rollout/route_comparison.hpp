#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "decision/rollout/proportion_test.hpp"

namespace wrenswitch {

/// Compares the responses of both versions on one route, or on all routes together, for one kind of
/// flag, such as failed or slow.
struct route_comparison {
    /// The route; empty for all routes together.
    std::string route;
    /// The old version's sample. For all routes together it is reweighted to the new version's mix
    /// of routes, so that a route that fails often for both versions has the same weight in both.
    sample_proportion control;
    /// The old version's sample without reweighting.
    sample_proportion raw_control;
    /// The new version's samples by target index of response_statistics; targets without responses
    /// have empty ones.
    std::vector<sample_proportion> targets;
    beta_priors priors;

    sample_proportion treatment() const;
    std::size_t targets_with_responses() const;
    /// The log of the e-value for a share of flags in `sample` that exceeds the control's by more
    /// than `tolerance`, as in log_e_value.
    double log_evidence(const sample_proportion& sample, double tolerance) const {
        return log_e_value(sample, control, tolerance, priors);
    }
    /// The number of flagged responses beyond the control's share.
    double excess_count() const;
    /// The target with the most flagged responses beyond the control's share, if any exceeds it.
    std::optional<std::size_t> worst_target() const;
    /// True if another target had about as many responses as this one, or more, so that its flags
    /// aren't explained by its load alone.
    bool has_comparable_load(std::size_t target) const;
    /// A description for the log; `flag` says what the flagged responses did.
    std::string describe(const std::string& flag) const;
};

}  // namespace wrenswitch
