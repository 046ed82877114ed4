#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "wrenswitch/decision/gateway/configuration_view.hpp"

namespace wrenswitch {

/// A request that the configuration allows. It holds copies, since a new configuration may replace
/// what they came from while the request runs.
struct admitted_request {
    gateway_route route;
    std::string service;
    /// Empty on a public route.
    std::string account;
    /// The account that holds the request's key, also on a public route, which needs none.
    std::string key_holder;
    /// 0 is the most urgent, 9 the least. The account's priority goes before the route's.
    unsigned urgency = 0;
    /// Set if the service's targets are model engines.
    std::optional<engine_shape> engine;
    /// True if the account pays for the request's tokens.
    bool counted = false;
    /// Where it may be: what its route and its account both allow.
    allowed_regions regions;
    /// The version of the configuration that it was admitted by.
    std::uint64_t configuration = 0;
};

/// Why a request isn't admitted.
enum class admission_refusal { no_configuration, no_route, no_service, unknown_key };

/// The name of a refusal as logs and answers show it.
std::string_view name_of(admission_refusal refusal);

/// Decides by the configuration in force whether a request may run, where, and at whose cost.
/// `fraction`, from 0 to 1, chooses among the services of a split route.
std::variant<admitted_request, admission_refusal> admit(const configuration_view& configuration,
                                                        std::string_view host,
                                                        std::string_view path, std::string_view key,
                                                        double fraction);

/// Where an admitted request may be by now: what it was admitted with, narrowed by what a newer
/// configuration says of its route and of its key's holder. A request that waits thus goes nowhere
/// that either forbids.
allowed_regions regions_now(const configuration_view& configuration,
                            const admitted_request& admitted, std::string_view host,
                            std::string_view path);

}  // namespace wrenswitch
