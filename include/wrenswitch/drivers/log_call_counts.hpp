#pragma once

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/drivers/keyed_log.hpp"

namespace wrenswitch {

/// Adds a call to the counters of calls and bytes by log, operation and outcome.
void count_call(metrics& counters, const keyed_log_call& call);

}  // namespace wrenswitch
