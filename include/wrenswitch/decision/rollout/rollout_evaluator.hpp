#pragma once

#include <span>
#include <string>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/rollout/rollout_evidence.hpp"

namespace wrenswitch {

/// The result of evaluating a version.
enum class evaluation_result {
    /// Not enough evidence; the old version keeps serving.
    undecided,
    /// Worse than the old version: to be rolled back.
    bad,
    /// As good as the old version, as far as the evidence shows.
    good,
};

const char* name_of(evaluation_result result);

/// An evaluation result and the reason for it, for the log.
struct rollout_evaluation {
    evaluation_result result = evaluation_result::undecided;
    /// Readable by operators: names the test, the route and the figures.
    std::string reason;
};

/// Evaluates a new version by its responses, with the old version's responses on the same routes in
/// the same period as the control group. It is a sequential test: evaluating at any time and any
/// number of times keeps the error rates in the settings.
///
/// The first `bad` result should be acted on, as its error rate covers all evaluations together.
/// `good` only describes the present evidence and should be checked again until the move ends; with
/// few responses it rules out little, and the reason says how much. A single target that differs
/// from the others of its version is excluded as an outlier. For the same reason the most loaded
/// target has to change over time, or a version that fails under load looks like an outlier.
///
/// One call takes 0.04 to 0.08 ms with four routes and four targets and 0.2 to 0.3 ms with 57:
/// means of 1,000 calls on the evidence of a good rollout, in three runs of `wrenload
/// policy-rollout` on a machine with other load.
class rollout_evaluator {
public:
    struct settings {
        /// The share of good versions that may be evaluated as bad.
        double false_bad_rate = 0.001;
        /// The error probability of the bound that the reason of a `good` result states.
        double false_good_rate = 0.02;
        /// The number of targets that a result about a version has to rest on, if it has as many.
        std::size_t min_targets = 2;
    };

    explicit rollout_evaluator(settings values);

    /// `load_ratio` is the load per target of the new version relative to the old one. It allows
    /// for versions whose targets slow down under load; 1 means equal load.
    rollout_evaluation evaluate(const rollout_evidence& evidence, double load_ratio = 1.0) const;

    /// Evaluates several intervals, one for each period with a constant share of the traffic for
    /// the new version: requests sent during the canary phase, and during the moving phase. In a
    /// single interval, failures of both versions that occur only during the move would be
    /// attributed to the new version, which has most of its responses then: with 20% failures of
    /// both, 62 of 200 good versions were rolled back, none with intervals, and 13 with intervals
    /// split by when the responses arrived (`rollout_evidence::since`).
    rollout_evaluation evaluate(std::span<const rollout_evidence> intervals,
                                double load_ratio = 1.0) const;

private:
    settings settings_;
};

}  // namespace wrenswitch
