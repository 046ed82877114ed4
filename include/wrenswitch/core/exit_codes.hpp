#pragma once

namespace wrenswitch {

/// Exit codes of all binaries.
constexpr int exit_done = 0;
/// The command was understood and refused.
constexpr int exit_refused = 1;
/// The command line or a command cannot be read.
constexpr int exit_bad_command = 2;
/// An address cannot be bound or a peer cannot be reached.
constexpr int exit_unavailable = 3;
/// The settings have findings.
constexpr int exit_bad_settings = 4;
/// Whether the command took effect is not known.
constexpr int exit_unknown = 5;

}  // namespace wrenswitch
