#include "wrenswitch/decision/guard/refusal.hpp"

#include <array>

namespace wrenswitch {

std::string_view name_of(refusal_reason reason) {
    constexpr std::array<std::string_view, 13> names{
        "none",          "queue_full", "deadline",        "leaving",     "fenced",
        "behind",        "voided",     "repeated_ticket", "target_down", "no_answer_kept",
        "wrong_service", "cancelled",  "predates"};
    return names.at(static_cast<std::size_t>(reason));
}

bool can_retry_elsewhere(refusal_reason reason) {
    switch (reason) {
        case refusal_reason::queue_full:
        case refusal_reason::deadline:
        case refusal_reason::leaving:
        case refusal_reason::behind:
        case refusal_reason::target_down:
        case refusal_reason::wrong_service:
        case refusal_reason::predates:
            return true;
        default:
            return false;
    }
}

}  // namespace wrenswitch
