#pragma once

#include <memory>
#include <string_view>

#include "wrenswitch/core/findings.hpp"

namespace wrenswitch {

struct guard_settings;

/// Parses a guard's settings from JSON. Every invalid setting is added to `problems`.
std::shared_ptr<const guard_settings> read_guard_settings(std::string_view text,
                                                          findings& problems);

/// Runs a guard, the proxy in front of one target, until it receives a stop signal and has drained.
/// Returns the exit code of the process.
int run_guard(const guard_settings& settings);

}  // namespace wrenswitch
