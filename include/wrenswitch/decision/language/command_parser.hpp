#pragma once

#include <string_view>
#include <vector>

#include "wrenswitch/core/findings.hpp"
#include "wrenswitch/decision/language/command.hpp"

namespace wrenswitch {

/// Parses a script of statements separated by semicolons; `--` starts a comment. Adds one finding
/// for each statement with a syntax error. If there are findings, the caller must not execute any
/// statement of the script.
std::vector<command> parse_commands(std::string_view script, findings& problems);

}  // namespace wrenswitch
