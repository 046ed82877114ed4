#pragma once

#include <cstdint>

namespace wrenswitch {

/// A number of prepaid tokens. Signed, so that a subtraction that goes wrong shows as negative.
using tokens = std::int64_t;

/// The largest limit of a budget. Sums of several limits stay far from overflow.
constexpr tokens max_budget_limit = 1'000'000'000'000'000;

}  // namespace wrenswitch
