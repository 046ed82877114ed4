#include "wrenswitch/decision/home/reservation.hpp"

#include <array>

namespace wrenswitch {

std::string_view name_of(reservation_outcome outcome) {
    constexpr std::array<std::string_view, 9> names{
        "granted",    "join",        "budget_exhausted", "budget_unreachable", "no_budget",
        "key_reused", "in_progress", "unknown_outcome",  "keys_elsewhere"};
    return names.at(static_cast<std::size_t>(outcome));
}

}  // namespace wrenswitch
