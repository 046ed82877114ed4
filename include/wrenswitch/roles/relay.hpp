#pragma once

#include <optional>
#include <string_view>

#include "wrenswitch/core/findings.hpp"
#include "wrenswitch/core/process_limits.hpp"
#include "wrenswitch/drivers/http_client.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// The settings of a relay, read from its settings file.
struct relay_settings {
    std::string host;
    message_bus_settings bus;
    /// The address of the platform's service, to which calls are forwarded.
    http_address service;
    process_limits limits;
};

/// Parses a relay's settings from JSON. Returns nothing if there are findings.
std::optional<relay_settings> read_relay_settings(std::string_view text, findings& problems);

/// Runs a relay until it receives a stop signal. A relay calls the platform's service on behalf of
/// peers that cannot reach it themselves, and holds records of streams that must outlast the loss
/// of all entries. `path` is the settings file and `text` its current content. Returns the exit
/// code of the process.
int run_relay(const std::string& path, const std::string& text);

}  // namespace wrenswitch
