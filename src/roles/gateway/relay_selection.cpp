#include "roles/gateway/relay_selection.hpp"

#include <algorithm>
#include <tuple>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

std::string host_of(std::string_view address) {
    return std::string(address.substr(0, address.rfind(':')));
}

std::string relay_endpoint(const gateway_settings& settings, const gateway_target& target) {
    return "tcp://" + host_of(target.address) + ":" + std::to_string(settings.relay_port);
}

/// The targets beside which relays run.
std::vector<gateway_target> targets_with_relays(const gateway_settings& settings,
                                                const active_configuration& configuration,
                                                const std::vector<gateway_target>& listed) {
    std::vector<gateway_target> engine_targets;
    for (const gateway_target& target : listed) {
        const gateway_service* service = configuration.find_service(target.service);
        if (settings.relay_port != 0 && service != nullptr && service->engine) {
            engine_targets.push_back(target);
        }
    }
    return engine_targets;
}

}  // namespace

std::vector<std::string> select_relays(const gateway_settings& settings,
                                       const active_configuration& configuration,
                                       const std::vector<gateway_target>& listed) {
    std::vector<gateway_target> engine_targets =
        targets_with_relays(settings, configuration, listed);
    const auto rank = [&settings](const gateway_target& target) {
        const bool in_other_domain = target.failure_domain != settings.failure_domain;
        const bool in_other_region =
            !settings.regions.in_same_region(target.failure_domain, settings.failure_domain);
        return std::tuple(in_other_region, in_other_domain,
                          spread_hash(target.id, spread_hash(settings.host)));
    };
    std::sort(engine_targets.begin(), engine_targets.end(),
              [&rank](const gateway_target& left, const gateway_target& right) {
                  return rank(left) < rank(right);
              });
    std::vector<std::string> endpoints;
    endpoints.reserve(engine_targets.size());
    for (const gateway_target& target : engine_targets) {
        endpoints.push_back(relay_endpoint(settings, target));
    }
    return endpoints;
}

std::vector<record_relay> relays_in_region(const gateway_settings& settings,
                                           const active_configuration& configuration,
                                           const std::vector<gateway_target>& listed) {
    std::vector<record_relay> relays;
    for (const gateway_target& target : targets_with_relays(settings, configuration, listed)) {
        const bool is_near =
            !settings.regions.has_multiple_regions() ||
            settings.regions.in_same_region(target.failure_domain, settings.failure_domain);
        if (is_near) {
            relays.push_back({relay_endpoint(settings, target), target.failure_domain});
        }
    }
    return relays;
}

}  // namespace wrenswitch
