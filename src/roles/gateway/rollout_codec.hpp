#pragma once

#include <rollout.pb.h>

#include <optional>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/decision/rollout/rollout_directive.hpp"
#include "wrenswitch/decision/rollout/rollout_evidence.hpp"

namespace wrenswitch {

/// One process's report on one rollout.
struct process_report {
    incarnation_id process{};
    rollout_report report;
    rollout_evidence evidence;
};

wire::RolloutReport to_wire(incarnation_id process, const rollout_report& report,
                            const rollout_evidence& evidence);

/// Empty if the message is invalid.
std::optional<process_report> from_wire(const wire::RolloutReport& message);

wire::RolloutStand to_wire(const rollout_directive& directive);

/// Empty if the message is invalid or has a phase that this release doesn't know.
std::optional<rollout_directive> from_wire(const wire::RolloutStand& message);

}  // namespace wrenswitch
