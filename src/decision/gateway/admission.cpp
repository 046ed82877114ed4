#include "wrenswitch/decision/gateway/admission.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// Route priorities range from 0 to 2 and order the requests within one account priority.
constexpr unsigned priorities_per_account = 3;
constexpr unsigned lowest_priority = 9;

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

unsigned request_priority(const gateway_route& route, const gateway_account* account) {
    const unsigned base = account == nullptr ? 0 : account->priority * priorities_per_account;
    return std::min(lowest_priority, base + route.priority);
}

namespace {

/// Sets the service and what depends on it. The account must be set before.
void set_service(const active_configuration& configuration, admitted_request& admitted,
                 std::string_view name) {
    admitted.service = name;
    const gateway_service* service = configuration.find_service(name);
    admitted.engine = service == nullptr ? std::nullopt : service->engine;
    const gateway_account* account = configuration.find_account(admitted.account);
    admitted.is_metered =
        admitted.engine.has_value() && account != nullptr && account->prepaid_tokens.has_value();
}

}  // namespace

std::variant<admitted_request, admission_refusal> admit(const active_configuration& configuration,
                                                        std::string_view host,
                                                        std::string_view path, std::string_view key,
                                                        double fraction) {
    if (!configuration.is_loaded()) {
        return admission_refusal::no_configuration;
    }
    const gateway_route* route = configuration.find_route(host, path);
    if (route == nullptr) {
        return admission_refusal::no_route;
    }
    const route_split* split = active_configuration::choose_split(*route, fraction);
    if (split == nullptr) {
        return admission_refusal::no_service;
    }
    admitted_request admitted;
    admitted.route = *route;
    admitted.priority = request_priority(*route, nullptr);
    admitted.regions = route->regions;
    admitted.configuration_version = configuration.current().version;
    set_service(configuration, admitted, split->service);
    const gateway_account* account = configuration.find_account_by_key(key);
    if (account != nullptr) {
        // A public route needs no key, but a key that is sent still identifies the account.
        admitted.key_owner = account->name;
        admitted.regions = intersect_regions(route->regions, account->regions);
    }
    if (route->is_public || !configuration.requires_keys()) {
        return admitted;
    }
    if (account == nullptr) {
        return admission_refusal::unknown_key;
    }
    admitted.account = account->name;
    admitted.priority = request_priority(*route, account);
    set_service(configuration, admitted, split->service);
    return admitted;
}

bool assign_service(const active_configuration& configuration, admitted_request& admitted,
                    std::string_view host, std::string_view path, std::string_view service) {
    const gateway_route* route = configuration.find_route(host, path);
    if (route == nullptr) {
        return false;
    }
    const bool is_used = std::any_of(route->splits.begin(), route->splits.end(),
                                     [service](const route_split& split) {
                                         return split.service == service && split.weight > 0.0;
                                     });
    if (is_used) {
        set_service(configuration, admitted, service);
    }
    return is_used;
}

allowed_regions current_allowed_regions(const active_configuration& configuration,
                                        const admitted_request& admitted, std::string_view host,
                                        std::string_view path) {
    if (configuration.current().version == admitted.configuration_version) {
        return admitted.regions;
    }
    allowed_regions regions = admitted.regions;
    if (const gateway_route* route = configuration.find_route(host, path)) {
        regions = intersect_regions(regions, route->regions);
    }
    if (const gateway_account* account = configuration.find_account(admitted.key_owner)) {
        regions = intersect_regions(regions, account->regions);
    }
    return regions;
}

}  // namespace wrenswitch
