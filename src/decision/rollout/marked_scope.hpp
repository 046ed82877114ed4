#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "decision/rollout/share_test.hpp"

namespace wrenswitch {

/// One route's answers, or all routes', of which some have one kind of mark.
struct marked_scope {
    /// The route; empty for all of them together.
    std::string route;
    /// The old version's: for all routes together as if its answers came by the routes in the new
    /// one's proportions, so that a route that fails often for both versions weighs the same in
    /// both.
    answer_share control;
    /// The old version's as they came.
    answer_share counted;
    /// The new version's, by the target's number in the table; some have no answers.
    std::vector<answer_share> targets;
    share_guess guess;

    answer_share fresh() const;
    std::size_t targets_with_answers() const;
    /// How surely these answers have more marks than the control's, by more than the tolerance; as
    /// log_evidence_of_excess.
    double log_evidence(const answer_share& answers, double tolerance) const {
        return log_evidence_of_excess(answers, control, tolerance, guess);
    }
    /// The marks beyond what the control's share explains.
    double excess() const;
    /// The target with the most marks beyond what the control's share explains, if one has any.
    std::optional<std::size_t> worst_target() const;
    /// True if another target had about as many answers as this one, or more: what it shows isn't
    /// what only its load does.
    bool bore_as_others(std::size_t target) const;
    /// In words, for the log.
    std::string text(const std::string& marks) const;
};

}  // namespace wrenswitch
