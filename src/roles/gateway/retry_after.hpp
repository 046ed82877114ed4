#pragma once

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// When to come back after a refusal, by what has to change until then.
constexpr microseconds until_configured = milliseconds(300);
constexpr microseconds until_tokens = milliseconds(500);
constexpr microseconds until_targets = milliseconds(200);
constexpr microseconds until_turns = milliseconds(400);
/// Another entry may have an earlier turn, and targets may come.
constexpr microseconds longest_until_turns = seconds(10);
/// A region without targets stays so for longer than one that is merely busy.
constexpr microseconds until_region_has_targets = seconds(1);
constexpr microseconds until_elsewhere = milliseconds(50);
constexpr microseconds until_less_busy = milliseconds(150);

/// A run that ends its target does so within some 100 ms, and the end is known 150 ms later.
constexpr microseconds until_suspect_ended = milliseconds(300);

}  // namespace wrenswitch
