#pragma once

#include <string>
#include <vector>

#include "wrenswitch/decision/gateway/configuration_view.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

/// Where the relays are that a gateway may ask, in its order. Relays stand beside engines' targets.
/// Each gateway begins with another one, those of its own failure domain first, then those of its
/// own region.
std::vector<std::string> relays_to_ask(const gateway_settings& settings,
                                       const active_configuration& configuration,
                                       const std::vector<gateway_target>& listed);

}  // namespace wrenswitch
