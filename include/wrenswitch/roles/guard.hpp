#pragma once

#include <memory>
#include <string_view>

#include "wrenswitch/core/findings.hpp"

namespace wrenswitch {

struct guard_settings;

/// Reads a guard's settings from JSON. All that is wrong is added to the findings.
std::shared_ptr<const guard_settings> read_guard_settings(std::string_view text,
                                                          findings& problems);

/// Runs a guard until it is told to stop. Returns the process's exit code.
int run_guard(const guard_settings& settings);

}  // namespace wrenswitch
