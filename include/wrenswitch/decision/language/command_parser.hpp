#pragma once

#include <string_view>
#include <vector>

#include "wrenswitch/core/findings.hpp"
#include "wrenswitch/decision/language/command.hpp"

namespace wrenswitch {

/// Reads a script: statements with semicolons between them; `--` begins a comment. All findings of
/// all statements are collected; if there are any, nothing of the script may take effect.
std::vector<command> parse_commands(std::string_view script, findings& problems);

}  // namespace wrenswitch
