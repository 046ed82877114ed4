#pragma once

#include "wrenswitch/decision/rollout/rollout_evaluator.hpp"

namespace wrenswitch::experiment {

/// What rollout_evaluator is compared with: a test of two shares at 3.1 standard deviations each
/// time it is asked, over all targets, as one that is made for a single look would be. Good from 16
/// answers on, while it isn't bad at 2.
evaluation_result fixed_threshold_opinion(const rollout_evidence& evidence);

}  // namespace wrenswitch::experiment
