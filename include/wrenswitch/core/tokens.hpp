#pragma once

#include <cstdint>

namespace wrenswitch {

/// A number of prepaid tokens. Signed, so that a subtraction that goes wrong shows as negative.
using tokens = std::int64_t;

/// The largest limit of a budget. Sums of several limits stay far from overflow.
constexpr tokens max_budget_limit = 1'000'000'000'000'000;

/// The largest number of tokens that a request may name, for its prompt or its response. Greater
/// ones are cut down to it. It is more than any budget holds, so that such a request fits none.
constexpr tokens max_request_tokens = 2 * max_budget_limit;

}  // namespace wrenswitch
