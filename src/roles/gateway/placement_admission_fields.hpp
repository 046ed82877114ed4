#pragma once

#include <optional>
#include <string>
#include <utility>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/placement/engine_admission.hpp"

namespace wrenswitch::wire {
class PlacementAnswer;
class PlacementAsk;
}  // namespace wrenswitch::wire

namespace wrenswitch {

/// The fields of a query that take part in admission control.
struct admission_fields {
    std::string account;
    unsigned priority = 0;
    bool is_last_query = false;
};

void set_admission_fields(const admission_fields& fields, wire::PlacementAsk& query);

/// The fields of a query; none if it states no priority or an impossible one.
std::optional<admission_fields> admission_fields_of(const wire::PlacementAsk& query);

void set_admission(admission_outcome outcome, microseconds wait, wire::PlacementAnswer& reply);

/// The outcome and the time that a reply states. Unknown outcomes count as admitted.
std::pair<admission_outcome, microseconds> admission_of(const wire::PlacementAnswer& reply);

}  // namespace wrenswitch
