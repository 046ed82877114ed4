#pragma once

#include "wrenswitch/decision/membership/neighbour_report.hpp"

namespace wrenswitch::wire {
class NeighbourReport;
}

namespace wrenswitch {

/// Converts a report to its message and back. The result of decoding is not validated.
wire::NeighbourReport encode_neighbour_report(const neighbour_report& report);
neighbour_report decode_neighbour_report(const wire::NeighbourReport& message);

}  // namespace wrenswitch
