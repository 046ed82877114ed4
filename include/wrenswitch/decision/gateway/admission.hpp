#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "wrenswitch/decision/gateway/active_configuration.hpp"

namespace wrenswitch {

/// A request that the configuration allows, with the settings that apply to it. It holds copies,
/// because a new configuration may replace the originals while the request runs.
struct admitted_request {
    gateway_route route;
    std::string service;
    /// The account that is authenticated and charged; empty on a public route.
    std::string account;
    /// The account that owns the API key. Also set on a public route if the caller sent a key,
    /// although the route requires none.
    std::string key_owner;
    /// From 0, the most urgent, to 9. The account's priority takes precedence over the route's.
    unsigned priority = 0;
    /// Set if the targets of the service are model engines.
    std::optional<engine_profile> engine;
    /// True if the account pays for the tokens that the request uses.
    bool is_metered = false;
    /// The regions that both the route and the account allow.
    allowed_regions regions;
    /// The version of the configuration that admitted the request.
    std::uint64_t configuration_version = 0;
};

/// Why a request is not admitted.
enum class admission_refusal { no_configuration, no_route, no_service, unknown_key };

/// The name of a refusal in logs and responses.
std::string_view name_of(admission_refusal refusal);

/// The priority of an account's requests on a route, from 0, the most urgent, to 9. Without an
/// account it is the route's.
unsigned request_priority(const gateway_route& route, const gateway_account* account);

/// Applies the active configuration to a request: finds its route, service and account, or returns
/// why it is refused. `fraction`, from 0 to 1, selects among the services of a route with weighted
/// splits.
std::variant<admitted_request, admission_refusal> admit(const active_configuration& configuration,
                                                        std::string_view host,
                                                        std::string_view path, std::string_view key,
                                                        double fraction);

/// Sends an admitted request to another service of its route, because a stream has to continue
/// where it began. Returns false, without a change, if the active configuration sends no requests
/// of the route there.
bool assign_service(const active_configuration& configuration, admitted_request& admitted,
                    std::string_view host, std::string_view path, std::string_view service);

/// The regions in which an admitted request may be processed now: those at admission, further
/// restricted by the active configuration for its route and for the owner of its key. While a
/// request is queued, a newer configuration can therefore only narrow its regions.
allowed_regions current_allowed_regions(const active_configuration& configuration,
                                        const admitted_request& admitted, std::string_view host,
                                        std::string_view path);

}  // namespace wrenswitch
