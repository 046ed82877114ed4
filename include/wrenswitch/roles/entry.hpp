#pragma once

#include <memory>
#include <string_view>

#include "wrenswitch/core/findings.hpp"

namespace wrenswitch {

struct entry_settings;

/// Parses an entry's settings from JSON. Every invalid setting is added to `problems`.
std::shared_ptr<const entry_settings> read_entry_settings(std::string_view text,
                                                          findings& problems);

/// Runs an entry until it receives a stop signal. Returns the exit code of the process.
int run_entry(const entry_settings& settings);

}  // namespace wrenswitch
