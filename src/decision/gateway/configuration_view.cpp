#include "wrenswitch/decision/gateway/configuration_view.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// The host without its port, in lower case.
std::string plain_host(std::string_view host) {
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

/// What can't be read allows nothing. Refusing the whole configuration for it would keep keys in
/// force that were taken away, and what the limit is to end.
template <typename bound_parts>
void take_strictly(bound_parts& parts) {
    for (auto& part : parts) {
        if (part.regions_unreadable) {
            part.regions = region_set{};
        }
    }
}

template <typename bound_parts>
void add_unreadable(std::vector<std::string>& places, std::string_view kind,
                    const bound_parts& parts) {
    for (const auto& part : parts) {
        if (part.regions_unreadable) {
            places.push_back(std::string(kind) + "/" + part.name + "/regions");
        }
    }
}

}  // namespace

std::vector<std::string> unreadable_limits(const gateway_configuration& configuration) {
    std::vector<std::string> places;
    add_unreadable(places, "routes", configuration.routes);
    add_unreadable(places, "accounts", configuration.accounts);
    return places;
}

bool may_repeat(request_kind kind) {
    return kind == request_kind::repeatable || kind == request_kind::resumable_stream;
}

bool is_stream(request_kind kind) {
    return kind == request_kind::stream || kind == request_kind::resumable_stream;
}

bool configuration_view::apply(gateway_configuration configuration) {
    if (known_ && configuration.version <= configuration_.version) {
        return false;
    }
    configuration_ = std::move(configuration);
    take_strictly(configuration_.routes);
    take_strictly(configuration_.accounts);
    known_ = true;
    by_host_.clear();
    by_key_.clear();
    accounts_.clear();
    services_.clear();
    const std::vector<gateway_route>& routes = configuration_.routes;
    for (std::size_t index = 0; index < routes.size(); ++index) {
        by_host_[plain_host(routes[index].host)].push_back(index);
    }
    for (auto& [host, indices] : by_host_) {
        std::stable_sort(
            indices.begin(), indices.end(), [&routes](std::size_t left, std::size_t right) {
                return routes[left].path_prefix.size() > routes[right].path_prefix.size();
            });
    }
    for (std::size_t index = 0; index < configuration_.accounts.size(); ++index) {
        const gateway_account& account = configuration_.accounts[index];
        accounts_.emplace(account.name, index);
        for (const std::string& key : account.keys) {
            by_key_.emplace(key, index);
        }
    }
    for (std::size_t index = 0; index < configuration_.services.size(); ++index) {
        services_.emplace(configuration_.services[index].name, index);
    }
    return true;
}

const gateway_route* configuration_view::route_of(std::string_view host,
                                                  std::string_view path) const {
    const auto found = by_host_.find(plain_host(host));
    if (found == by_host_.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        const gateway_route& route = configuration_.routes[index];
        if (path.substr(0, route.path_prefix.size()) == route.path_prefix) {
            return &route;
        }
    }
    return nullptr;
}

const gateway_account* configuration_view::account_of_key(std::string_view key) const {
    const auto found = by_key_.find(std::string(key));
    return found == by_key_.end() ? nullptr : &configuration_.accounts[found->second];
}

const gateway_account* configuration_view::account(std::string_view name) const {
    const auto found = accounts_.find(std::string(name));
    return found == accounts_.end() ? nullptr : &configuration_.accounts[found->second];
}

const gateway_service* configuration_view::service(std::string_view name) const {
    const auto found = services_.find(std::string(name));
    return found == services_.end() ? nullptr : &configuration_.services[found->second];
}

const route_split* configuration_view::choose_split(const gateway_route& route, double fraction) {
    double sum = 0.0;
    for (const route_split& split : route.splits) {
        sum += split.weight;
    }
    double rest = fraction * sum;
    const route_split* last = nullptr;
    for (const route_split& split : route.splits) {
        if (split.weight <= 0.0) {
            continue;
        }
        last = &split;
        rest -= split.weight;
        if (rest < 0.0) {
            break;
        }
    }
    return last;
}

}  // namespace wrenswitch
