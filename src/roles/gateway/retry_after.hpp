#pragma once

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The times after which a caller should retry a refused request, by the reason of the refusal.
constexpr microseconds configuration_retry_after = milliseconds(300);
constexpr microseconds tokens_retry_after = milliseconds(500);
constexpr microseconds targets_retry_after = milliseconds(200);
/// A target that crashed starts again at its version within about a second.
constexpr microseconds version_retry_after = seconds(1);
constexpr microseconds permit_retry_after = milliseconds(400);
/// Upper bound of the time given to a caller that waits for a send permit: another gateway may get
/// one earlier, and new targets may start.
constexpr microseconds max_permit_retry_after = seconds(10);
/// A region without targets stays so for longer than one that is only busy.
constexpr microseconds region_retry_after = seconds(1);
constexpr microseconds isolated_retry_after = milliseconds(50);
/// Another gateway takes the request at once; new connections lead there.
constexpr microseconds stopping_retry_after = milliseconds(50);
/// Large requests under way end meanwhile, and those that don't move give way.
constexpr microseconds memory_retry_after = milliseconds(500);
constexpr microseconds overloaded_retry_after = milliseconds(150);

/// A request that crashes its target does so within about 100 ms, and the crash is known 150 ms
/// later.
constexpr microseconds suspect_retry_after = milliseconds(300);

}  // namespace wrenswitch
