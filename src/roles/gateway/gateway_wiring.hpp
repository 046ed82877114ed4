#pragma once

#include <functional>
#include <string>

#include "roles/gateway/token_exchange.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

/// Creates a hook that logs when a log becomes unreachable or reachable again.
std::function<void(bool)> make_reachable_hook(const std::string& log);

/// The settings of the exchange of tokens that the gateway's settings contain.
token_exchange_settings make_token_exchange_settings(const gateway_settings& settings);

}  // namespace wrenswitch
