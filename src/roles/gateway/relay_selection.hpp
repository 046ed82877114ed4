#pragma once

#include <string>
#include <vector>

#include "wrenswitch/decision/gateway/active_configuration.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/streams/record_relays.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

/// The endpoints of the relays that a gateway may use, in order of preference. Relays run on the
/// hosts of targets of engine services. Those in the gateway's own failure domain come first, then
/// those in its own region; within each group the order differs between gateways.
std::vector<std::string> select_relays(const gateway_settings& settings,
                                       const active_configuration& configuration,
                                       const std::vector<gateway_target>& listed);

/// The relays of the gateway's region, which may hold records of streams.
std::vector<record_relay> relays_in_region(const gateway_settings& settings,
                                           const active_configuration& configuration,
                                           const std::vector<gateway_target>& listed);

}  // namespace wrenswitch
