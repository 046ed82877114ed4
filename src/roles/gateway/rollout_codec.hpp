#pragma once

#include <rollout.pb.h>

#include <optional>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/decision/rollout/rollout_evidence.hpp"
#include "wrenswitch/decision/rollout/rollout_stand.hpp"

namespace wrenswitch {

/// What one process tells of one roll-out.
struct told_rollout {
    incarnation_id process{};
    rollout_report report;
    rollout_evidence evidence;
};

wire::RolloutReport to_wire(incarnation_id process, const rollout_report& report,
                            const rollout_evidence& evidence);

/// Nothing if the message makes no sense.
std::optional<told_rollout> from_wire(const wire::RolloutReport& message);

wire::RolloutStand to_wire(const rollout_directive& stand);

/// Nothing if the message makes no sense, or has a phase that this release doesn't know.
std::optional<rollout_directive> from_wire(const wire::RolloutStand& message);

}  // namespace wrenswitch
