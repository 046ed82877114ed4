#include "roles/gateway/placement_admission_fields.hpp"

#include <placement.pb.h>

#include <algorithm>
#include <cstdint>
#include <limits>

namespace wrenswitch {
namespace {

/// Priorities range from 0 to 9.
constexpr unsigned lowest_priority = 9;

}  // namespace

void set_admission_fields(const admission_fields& fields, wire::PlacementAsk& query) {
    query.set_account(fields.account);
    query.set_priority(fields.priority);
    query.set_last_query(fields.is_last_query);
}

std::optional<admission_fields> admission_fields_of(const wire::PlacementAsk& query) {
    if (!query.has_priority() || query.priority() > lowest_priority) {
        return std::nullopt;
    }
    return admission_fields{query.account(), query.priority(), query.last_query()};
}

void set_admission(admission_outcome outcome, microseconds wait, wire::PlacementAnswer& reply) {
    if (outcome == admission_outcome::admit) {
        return;
    }
    reply.set_admission(outcome == admission_outcome::refuse ? wire::PLACEMENT_REFUSED
                                                             : wire::PLACEMENT_HELD);
    const auto wait_us =
        std::clamp<std::int64_t>(wait.count(), 0, std::numeric_limits<std::uint32_t>::max());
    reply.set_admission_wait_us(static_cast<std::uint32_t>(wait_us));
}

std::pair<admission_outcome, microseconds> admission_of(const wire::PlacementAnswer& reply) {
    const microseconds wait =
        std::min<microseconds>(microseconds(reply.admission_wait_us()), max_admission_wait);
    switch (reply.admission()) {
        case wire::PLACEMENT_REFUSED:
            return {admission_outcome::refuse, wait};
        case wire::PLACEMENT_HELD:
            return {admission_outcome::hold, wait};
        default:
            return {admission_outcome::admit, microseconds(0)};
    }
}

}  // namespace wrenswitch
