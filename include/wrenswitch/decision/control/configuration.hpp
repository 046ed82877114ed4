#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// A client account: its credentials, its highest allowed priority and the budget that it spends.
struct client_account {
    std::string name;
    /// The SHA-256 of the API key in lower-case hexadecimal.
    std::string key_sha256;
    /// The highest priority that requests may have, from 0 (highest) to 7.
    std::uint32_t priority = 0;
    std::string budget;

    friend bool operator==(const client_account&, const client_account&) = default;
};

/// A service that targets provide.
struct service {
    std::string name;
    /// True for a model, which is charged by tokens used; false for a plain service.
    bool model = true;
    /// Plain services only: the tokens charged for each call.
    tokens tokens_per_call = 0;
    /// False if a request may be executed at most once, so that it must not be retried.
    bool repeatable = true;
    /// The maximum number of concurrent requests per target. With 0 the guard's concurrency
    /// limiter decides.
    std::uint32_t concurrency = 0;

    friend bool operator==(const service&, const service&) = default;
};

struct put_client_account {
    client_account account;
};
struct remove_client_account {
    std::string name;
};
struct put_service {
    service value;
};
struct remove_service {
    std::string name;
};
struct drain_host {
    std::string host;
};
struct undrain_host {
    std::string host;
};

using configuration_change = std::variant<put_client_account, remove_client_account, put_service,
                                          remove_service, drain_host, undrain_host>;

/// Configuration changes that are applied atomically.
struct change_set {
    operation_id operation{};
    /// The configuration version that the changes are based on.
    std::uint64_t base_version = 0;
    /// True to refuse the set unless the current version equals base_version.
    bool check_base_version = false;
    std::vector<configuration_change> changes;
};

/// The result of applying a change set.
enum class change_outcome {
    accepted,
    refused_conflict,
    refused_unknown_name,
    refused_bad_value,
};

/// The name of an outcome in replies to operators.
std::string_view name_of(change_outcome outcome);

/// The configuration that results from the change sets of the control stream up to an offset.
class configuration {
public:
    friend bool operator==(const configuration&, const configuration&) = default;

    /// Applies all changes of a set or none of them. An accepted set increments the version.
    change_outcome apply(const change_set& set);

    std::uint64_t version() const { return version_; }
    const std::map<std::string, client_account, std::less<>>& client_accounts() const {
        return client_accounts_;
    }
    const std::map<std::string, service, std::less<>>& services() const { return services_; }
    const std::set<std::string, std::less<>>& drained_hosts() const { return drained_hosts_; }

    /// Returns the service with this name, or null.
    const service* find_service(std::string_view name) const;

    /// Returns the client account whose API key has this SHA-256, or null.
    const client_account* find_by_key(std::string_view key_sha256) const;

    /// Replaces the configuration with the contents of a snapshot.
    void restore(std::uint64_t version, std::vector<client_account> accounts,
                 std::vector<service> services, std::vector<std::string> drained_hosts);

private:
    struct visitor;

    std::uint64_t version_ = 0;
    std::map<std::string, client_account, std::less<>> client_accounts_;
    std::map<std::string, service, std::less<>> services_;
    std::set<std::string, std::less<>> drained_hosts_;
    /// Maps the SHA-256 of an API key to the name of its client account.
    std::map<std::string, std::string, std::less<>> accounts_by_key_;
};

}  // namespace wrenswitch
