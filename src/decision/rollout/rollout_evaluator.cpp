#include "wrenswitch/decision/rollout/rollout_evaluator.hpp"

#include <algorithm>

#include "decision/rollout/acceptance_check.hpp"
#include "decision/rollout/regression_check.hpp"
#include "decision/rollout/response_statistics.hpp"

namespace wrenswitch {

const char* name_of(evaluation_result result) {
    switch (result) {
        case evaluation_result::undecided:
            return "undecided";
        case evaluation_result::bad:
            return "bad";
        case evaluation_result::good:
            return "good";
    }
    return "unnamed";
}

rollout_evaluator::rollout_evaluator(settings values) : settings_(values) {}

rollout_evaluation rollout_evaluator::evaluate(const rollout_evidence& evidence,
                                               double load_ratio) const {
    return evaluate(std::span(&evidence, 1), load_ratio);
}

rollout_evaluation rollout_evaluator::evaluate(std::span<const rollout_evidence> intervals,
                                               double load_ratio) const {
    // A lower load than that of the old targets doesn't call for faster responses.
    const double expected_slowdown = std::max(1.0, load_ratio);
    const response_statistics statistics(intervals);
    if (auto regression = regression_check(settings_, expected_slowdown).find(statistics)) {
        return {evaluation_result::bad, std::move(*regression)};
    }
    acceptance_check::result acceptance =
        acceptance_check(settings_, expected_slowdown).check(statistics);
    return {acceptance.accepted ? evaluation_result::good : evaluation_result::undecided,
            std::move(acceptance.reason)};
}

}  // namespace wrenswitch
