#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wrenswitch/decision/gateway/gateway_configuration.hpp"

namespace wrenswitch {

/// The configuration in force, indexed for requests. Versions only rise.
class configuration_view {
public:
    /// Takes a version in; where its limits can't be read they allow nothing. False, with no
    /// change, if it isn't newer than the one in force.
    bool apply(gateway_configuration configuration);

    /// False until the first version is there; until then nothing can be decided.
    bool known() const { return known_; }

    const gateway_configuration& current() const { return configuration_; }

    /// The route of this host with the longest prefix that begins the path, or null.
    const gateway_route* route_of(std::string_view host, std::string_view path) const;

    /// The account that holds a key, or null.
    const gateway_account* account_of_key(std::string_view key) const;

    const gateway_account* account(std::string_view name) const;
    const gateway_service* service(std::string_view name) const;

    /// True if callers must show a key where the route isn't public.
    bool wants_keys() const { return !configuration_.accounts.empty(); }

    /// The part of a route's traffic that a number from 0 to 1 falls on. Null if it has none.
    static const route_split* choose_split(const gateway_route& route, double fraction);

private:
    using names = std::unordered_map<std::string, std::size_t>;

    gateway_configuration configuration_;
    /// Routes of each host, the longest prefix first.
    std::unordered_map<std::string, std::vector<std::size_t>> by_host_;
    names by_key_;
    names accounts_;
    names services_;
    bool known_ = false;
};

}  // namespace wrenswitch
