#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wrenswitch/decision/gateway/gateway_configuration.hpp"

namespace wrenswitch {

/// The configuration in force, indexed for lookups by requests. Versions only increase.
class active_configuration {
public:
    /// Replaces the configuration. Region restrictions that cannot be parsed allow no region.
    /// Returns false, without a change, if the version is not newer than the one in force.
    bool apply(gateway_configuration configuration);

    /// False until the first version is applied; until then no request can be admitted.
    bool is_loaded() const { return is_loaded_; }

    const gateway_configuration& current() const { return configuration_; }

    /// The route of the host with the longest prefix of the path, or null. The host may carry a
    /// port and is compared without regard to case.
    const gateway_route* find_route(std::string_view host, std::string_view path) const;

    /// The account that owns an API key, or null.
    const gateway_account* find_account_by_key(std::string_view key) const;

    const gateway_account* find_account(std::string_view name) const;
    const gateway_service* find_service(std::string_view name) const;

    /// True if callers must send an API key on routes that are not public.
    bool requires_keys() const { return !configuration_.accounts.empty(); }

    /// True if requests for the service compete: they may have different priorities, or accounts
    /// have budgets.
    bool has_competing_requests(std::string_view service) const {
        return competing_services_.contains(service);
    }

    /// Selects a split in proportion to the weights. `position` is a number from 0 to 1 along their
    /// sum. Null if no split has a positive weight.
    static const route_split* choose_split(const gateway_route& route, double position);

private:
    void find_competing_services();

    using index_by_name = std::unordered_map<std::string, std::size_t>;

    gateway_configuration configuration_;
    /// The indices of the routes of each host, the longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    index_by_name by_key_;
    index_by_name accounts_;
    index_by_name services_;
    /// The services whose requests compete.
    std::set<std::string, std::less<>> competing_services_;
    bool is_loaded_ = false;
};

}  // namespace wrenswitch
