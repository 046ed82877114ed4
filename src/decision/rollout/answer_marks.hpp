#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "decision/rollout/share_test.hpp"
#include "wrenswitch/decision/rollout/rollout_evidence.hpp"

namespace wrenswitch {

/// One route's answers, or all routes', of which some have one kind of mark.
struct marked_scope {
    /// The route; empty for all of them together.
    std::string route;
    /// The old version's: for all routes together as if its answers came by the routes in the new
    /// one's proportions, so that a route that fails often for both versions weighs the same in
    /// both.
    answer_share control;
    std::map<std::string, answer_share> targets;
    share_guess guess;

    answer_share fresh() const;
    /// How surely these answers have more marks than the control's, by more than the tolerance; as
    /// log_evidence_of_excess.
    double log_evidence(const answer_share& answers, double tolerance) const {
        return log_evidence_of_excess(answers, control, tolerance, guess);
    }
    /// The marks beyond what the control's share explains.
    double excess() const;
    /// The target with the most marks beyond what the control's share explains; empty if none.
    std::string worst_target() const;
    /// True if another target had about as many answers as this one, or more: what it shows isn't
    /// what only its load does.
    bool bore_as_others(const std::string& target) const;
};

/// Which of the two times of an answer.
using time_of_answer = time_counts answer_counts::*;

/// What makes an answer slow: it took longer than `factor` times what all but `level` of the old
/// version's answers by its route took.
struct slowness {
    time_of_answer time = &answer_counts::first;
    double factor = 2.0;
    double level = 0.01;
    /// How many slow answers of a target aren't counted, since its caches were empty: of so many
    /// answers, on a route of streams or not.
    std::function<double(double answers, bool streams)> cold = [](double /*answers*/,
                                                                  bool /*streams*/) { return 0.0; };
};

/// The routes that both versions answered, and, if they are several, all of them together in front.
std::vector<marked_scope> failures_by_scope(const rollout_evidence& evidence);
std::vector<marked_scope> slow_answers_by_scope(const rollout_evidence& evidence,
                                                const slowness& kind);

}  // namespace wrenswitch
