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

/// A client account: who calls, how urgent its requests are at most, and what pays for them.
struct client_account {
    std::string name;
    /// The SHA-256 of the caller's key, in hexadecimal digits.
    std::string key_sha256;
    /// The most urgent class that the account may ask for; 0 is the most urgent.
    std::uint32_t priority = 0;
    std::string budget;

    friend bool operator==(const client_account&, const client_account&) = default;
};

/// A service that targets offer: a model, or plain calls.
struct service {
    std::string name;
    bool model = true;
    /// Plain services: what one call is charged.
    tokens tokens_per_call = 0;
    /// False if a call may run at most once.
    bool repeatable = true;
    /// The most requests that one target runs at a time; zero leaves it to the guard's limiter.
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

/// Several changes that take effect together or not at all.
struct change_set {
    operation_id operation{};
    /// The version that the writer had before it.
    std::uint64_t base_version = 0;
    /// True if the set is refused unless the base version is still in force.
    bool guarded = false;
    std::vector<configuration_change> changes;
};

/// What an operator's change came to.
enum class change_outcome {
    accepted,
    refused_conflict,
    refused_unknown_name,
    refused_bad_value,
};

/// The name of an outcome as replies show it.
std::string_view name_of(change_outcome outcome);

/// The configuration in force after some prefix of the control stream.
class configuration {
public:
    friend bool operator==(const configuration&, const configuration&) = default;

    /// Applies all changes of a set or none of them. The version grows by one if it is accepted and
    /// never falls.
    change_outcome apply(const change_set& set);

    std::uint64_t version() const { return version_; }
    const std::map<std::string, client_account, std::less<>>& client_accounts() const {
        return client_accounts_;
    }
    const std::map<std::string, service, std::less<>>& services() const { return services_; }
    const std::set<std::string, std::less<>>& drained_hosts() const { return drained_hosts_; }

    /// The service with this name, or null.
    const service* find_service(std::string_view name) const;

    /// The client account whose key has this SHA-256, or null.
    const client_account* find_by_key(std::string_view key_sha256) const;

    /// Puts back what a snapshot held.
    void restore(std::uint64_t version, std::vector<client_account> accounts,
                 std::vector<service> services, std::vector<std::string> drained_hosts);

private:
    struct visitor;

    std::uint64_t version_ = 0;
    std::map<std::string, client_account, std::less<>> client_accounts_;
    std::map<std::string, service, std::less<>> services_;
    std::set<std::string, std::less<>> drained_hosts_;
    /// From the digest of a key to the name of its client account.
    std::map<std::string, std::string, std::less<>> accounts_by_key_;
};

}  // namespace wrenswitch
