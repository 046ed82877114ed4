#include "roles/gateway/relay_choice.hpp"

#include <algorithm>
#include <tuple>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

std::string host_of(std::string_view address) {
    return std::string(address.substr(0, address.rfind(':')));
}

}  // namespace

std::vector<std::string> relays_to_ask(const gateway_settings& settings,
                                       const active_configuration& configuration,
                                       const std::vector<gateway_target>& listed) {
    if (settings.relay_port == 0) {
        return {};
    }
    std::vector<gateway_target> beside;
    for (const gateway_target& target : listed) {
        const gateway_service* service = configuration.find_service(target.service);
        if (service != nullptr && service->engine) {
            beside.push_back(target);
        }
    }
    const auto rank = [&settings](const gateway_target& target) {
        const bool elsewhere = target.failure_domain != settings.failure_domain;
        const bool is_far =
            !settings.regions.in_same_region(target.failure_domain, settings.failure_domain);
        return std::tuple(is_far, elsewhere, spread_hash(target.id, spread_hash(settings.host)));
    };
    std::sort(beside.begin(), beside.end(),
              [&rank](const gateway_target& left, const gateway_target& right) {
                  return rank(left) < rank(right);
              });
    std::vector<std::string> endpoints;
    endpoints.reserve(beside.size());
    for (const gateway_target& target : beside) {
        endpoints.push_back("tcp://" + host_of(target.address) + ":" +
                            std::to_string(settings.relay_port));
    }
    return endpoints;
}

}  // namespace wrenswitch
