#include "wrenswitch/decision/ledger/ledger_operation.hpp"

#include <array>

namespace wrenswitch {

std::string_view name_of(operation_outcome outcome) {
    constexpr std::array<std::string_view, 13> names{
        "accepted",
        "partly_granted",
        "already_settled",
        "billed_once_already",
        "unbacked",
        "refused_unknown_budget",
        "refused_name_clash",
        "refused_bad_amount",
        "refused_below_commitments",
        "refused_closed_holder",
        "refused_exceeds_holding",
        "refused_key_claimed",
        "refused_keys_held",
    };
    return names.at(static_cast<std::size_t>(outcome));
}

bool took_effect(operation_outcome outcome) {
    return outcome < operation_outcome::refused_unknown_budget;
}

}  // namespace wrenswitch
