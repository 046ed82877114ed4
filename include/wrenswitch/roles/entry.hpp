#pragma once

#include <memory>
#include <string_view>

#include "wrenswitch/core/findings.hpp"

namespace wrenswitch {

struct entry_settings;

/// Reads an entry's settings from JSON. All that is wrong is added to the findings.
std::shared_ptr<const entry_settings> read_entry_settings(std::string_view text,
                                                          findings& problems);

/// Runs an entry until it is told to stop. Returns the process's exit code.
int run_entry(const entry_settings& settings);

}  // namespace wrenswitch
