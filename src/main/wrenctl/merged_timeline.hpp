#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "main/wrenctl/command_client.hpp"

namespace wrenswitch::ctl {

/// Fetches the time lines of all active processes and merges them: events of one process keep their
/// order, an event that another one caused comes after it, and the wall time decides the rest.
result<nlohmann::json> merged_timeline(command_client& client, const http_address& entry,
                                       const std::string& request);

/// The order alone, for events that are at hand.
nlohmann::json in_causal_order(nlohmann::json events);

}  // namespace wrenswitch::ctl
