#include "wrenswitch/decision/gateway/admission.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// Routes have priorities from 0 to 2; accounts' priorities stand above them.
constexpr unsigned urgencies_an_account = 3;
constexpr unsigned least_urgent = 9;

}  // namespace

std::string_view name_of(admission_refusal refusal) {
    switch (refusal) {
        case admission_refusal::no_configuration:
            return "no_configuration";
        case admission_refusal::no_route:
            return "no_route";
        case admission_refusal::no_service:
            return "no_service";
        case admission_refusal::unknown_key:
            return "unknown_key";
    }
    return "unnamed";
}

std::variant<admitted_request, admission_refusal> admit(const configuration_view& configuration,
                                                        std::string_view host,
                                                        std::string_view path, std::string_view key,
                                                        double fraction) {
    if (!configuration.known()) {
        return admission_refusal::no_configuration;
    }
    const gateway_route* route = configuration.route_of(host, path);
    if (route == nullptr) {
        return admission_refusal::no_route;
    }
    const route_split* split = configuration_view::choose_split(*route, fraction);
    if (split == nullptr) {
        return admission_refusal::no_service;
    }
    admitted_request admitted;
    admitted.route = *route;
    admitted.service = split->service;
    admitted.urgency = std::min(least_urgent, route->priority);
    admitted.regions = route->regions;
    admitted.configuration = configuration.current().version;
    const gateway_service* service = configuration.service(split->service);
    if (service != nullptr) {
        admitted.engine = service->engine;
    }
    const gateway_account* account = configuration.account_of_key(key);
    if (account != nullptr) {
        // Also on a public route, which needs no key: the caller says whose request it is.
        admitted.key_holder = account->name;
        admitted.regions = intersect_regions(route->regions, account->regions);
    }
    if (route->is_public || !configuration.wants_keys()) {
        return admitted;
    }
    if (account == nullptr) {
        return admission_refusal::unknown_key;
    }
    admitted.account = account->name;
    admitted.urgency =
        std::min(least_urgent, account->priority * urgencies_an_account + route->priority);
    admitted.counted = admitted.engine.has_value() && account->prepaid.has_value();
    return admitted;
}

allowed_regions regions_now(const configuration_view& configuration,
                            const admitted_request& admitted, std::string_view host,
                            std::string_view path) {
    if (configuration.current().version == admitted.configuration) {
        return admitted.regions;
    }
    allowed_regions regions = admitted.regions;
    if (const gateway_route* route = configuration.route_of(host, path)) {
        regions = intersect_regions(regions, route->regions);
    }
    if (const gateway_account* account = configuration.account(admitted.key_holder)) {
        regions = intersect_regions(regions, account->regions);
    }
    return regions;
}

}  // namespace wrenswitch
