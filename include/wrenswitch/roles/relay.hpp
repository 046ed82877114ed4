#pragma once

#include <optional>
#include <string_view>

#include "wrenswitch/core/findings.hpp"
#include "wrenswitch/drivers/http_client.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// What a relay is told in its settings file.
struct relay_settings {
    std::string host;
    message_bus_settings bus;
    /// The platform's service.
    http_address service;
};

/// Reads a relay's settings. Nothing if there are findings.
std::optional<relay_settings> read_relay_settings(std::string_view text, findings& problems);

/// Runs a relay until it is told to stop: it makes calls to the platform's service for peers that
/// can't reach it themselves. It keeps nothing and decides nothing. Takes the settings file's path
/// and present text. Returns the exit code.
int run_relay(const std::string& path, const std::string& text);

}  // namespace wrenswitch
