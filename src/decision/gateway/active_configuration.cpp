#include "wrenswitch/decision/gateway/active_configuration.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// The host in lower case, without its port.
std::string normalized_host(std::string_view host) {
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return name;
}

/// Restrictions that cannot be parsed allow no region. Rejecting the whole configuration instead
/// would keep revoked keys valid, as well as whatever the restriction is meant to end.
template <typename restricted_items>
void deny_unreadable_regions(restricted_items& items) {
    for (auto& item : items) {
        if (item.regions_unreadable) {
            item.regions = region_set{};
        }
    }
}

template <typename restricted_items>
void append_unreadable_paths(std::vector<std::string>& paths, std::string_view kind,
                             const restricted_items& items) {
    for (const auto& item : items) {
        if (item.regions_unreadable) {
            paths.push_back(std::string(kind) + "/" + item.name + "/regions");
        }
    }
}

}  // namespace

std::vector<std::string> unreadable_region_limits(const gateway_configuration& configuration) {
    std::vector<std::string> paths;
    append_unreadable_paths(paths, "routes", configuration.routes);
    append_unreadable_paths(paths, "accounts", configuration.accounts);
    return paths;
}

bool may_repeat(request_kind kind) {
    return kind == request_kind::repeatable || kind == request_kind::resumable_stream;
}

bool is_stream(request_kind kind) {
    return kind == request_kind::stream || kind == request_kind::resumable_stream;
}

bool active_configuration::apply(gateway_configuration configuration) {
    if (is_loaded_ && configuration.version <= configuration_.version) {
        return false;
    }
    configuration_ = std::move(configuration);
    deny_unreadable_regions(configuration_.routes);
    deny_unreadable_regions(configuration_.accounts);
    is_loaded_ = true;
    by_host_.clear();
    by_key_.clear();
    accounts_.clear();
    services_.clear();
    const std::vector<gateway_route>& routes = configuration_.routes;
    for (std::size_t index = 0; index < routes.size(); ++index) {
        by_host_[normalized_host(routes[index].host)].push_back(index);
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
    find_competing_services();
    return true;
}

void active_configuration::find_competing_services() {
    competing_services_.clear();
    const std::vector<gateway_account>& accounts = configuration_.accounts;
    const bool accounts_compete =
        std::any_of(accounts.begin(), accounts.end(), [&accounts](const gateway_account& each) {
            return each.prepaid_tokens || each.priority != accounts.front().priority;
        });
    std::map<std::string_view, unsigned> priorities;
    for (const gateway_route& route : configuration_.routes) {
        for (const route_split& split : route.splits) {
            const auto known = priorities.try_emplace(split.service, route.priority).first;
            if (accounts_compete || known->second != route.priority) {
                competing_services_.insert(split.service);
            }
        }
    }
}

const gateway_route* active_configuration::find_route(std::string_view host,
                                                      std::string_view path) const {
    const auto found = by_host_.find(normalized_host(host));
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

const gateway_account* active_configuration::find_account_by_key(std::string_view key) const {
    const auto found = by_key_.find(std::string(key));
    return found == by_key_.end() ? nullptr : &configuration_.accounts[found->second];
}

const gateway_account* active_configuration::find_account(std::string_view name) const {
    const auto found = accounts_.find(std::string(name));
    return found == accounts_.end() ? nullptr : &configuration_.accounts[found->second];
}

const gateway_service* active_configuration::find_service(std::string_view name) const {
    const auto found = services_.find(std::string(name));
    return found == services_.end() ? nullptr : &configuration_.services[found->second];
}

const route_split* active_configuration::choose_split(const gateway_route& route, double position) {
    double sum = 0.0;
    for (const route_split& split : route.splits) {
        sum += split.weight;
    }
    double remaining = position * sum;
    const route_split* last = nullptr;
    for (const route_split& split : route.splits) {
        if (split.weight <= 0.0) {
            continue;
        }
        last = &split;
        remaining -= split.weight;
        if (remaining < 0.0) {
            break;
        }
    }
    return last;
}

}  // namespace wrenswitch
