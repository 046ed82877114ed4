#pragma once

#include <span>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/core/findings.hpp"
#include "wrenswitch/decision/control/configuration.hpp"
#include "wrenswitch/decision/language/command.hpp"

namespace wrenswitch {

/// Checks what the grammar cannot: that a noun has the given attributes, that values are in range,
/// and that a begin/commit block contains only configuration changes. Adds a finding per violation.
void check_commands(std::span<const command> commands, findings& problems);

/// True if the statement changes the configuration; false if it changes the ledger or nothing.
bool changes_configuration(const command& statement);

/// Converts a checked statement to a configuration change. Attributes that a `change` statement
/// omits keep their current values. Fails if the object to create exists, if the object to change
/// does not, or if the statement does not change the configuration.
result<configuration_change> to_configuration_change(const command& statement,
                                                     const configuration& current);

}  // namespace wrenswitch
