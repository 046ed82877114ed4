#pragma once

#include <span>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/core/findings.hpp"
#include "wrenswitch/decision/control/configuration.hpp"
#include "wrenswitch/decision/language/command.hpp"

namespace wrenswitch {

/// Checks what the grammar cannot: that a noun has the attributes that are given, that values are
/// in range, and that what stands between begin and commit can be one change.
void check_commands(std::span<const command> commands, findings& problems);

/// True if the statement changes the configuration, rather than the ledger or nothing.
bool changes_configuration(const command& statement);

/// The change that a checked statement stands for. What a `change` statement does not name keeps
/// its value from the configuration. An error names what is missing or wrong.
result<configuration_change> change_of(const command& statement, const configuration& current);

}  // namespace wrenswitch
