#include "wrenswitch/decision/control/configuration.hpp"

#include <array>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

constexpr std::size_t sha256_hex_length = 64;
constexpr std::uint32_t lowest_priority = 7;

}  // namespace

std::string_view name_of(change_outcome outcome) {
    constexpr std::array<std::string_view, 4> names{"accepted", "refused_conflict",
                                                    "refused_unknown_name", "refused_bad_value"};
    return names.at(static_cast<std::size_t>(outcome));
}

struct configuration::visitor {
    configuration& config;

    change_outcome operator()(const put_client_account& change) const {
        const client_account& account = change.account;
        const bool valid = !account.name.empty() && !account.budget.empty() &&
                           account.key_sha256.size() == sha256_hex_length &&
                           account.priority <= lowest_priority;
        if (!valid) {
            return change_outcome::refused_bad_value;
        }
        const auto same_key = config.accounts_by_key_.find(account.key_sha256);
        if (same_key != config.accounts_by_key_.end() && same_key->second != account.name) {
            return change_outcome::refused_bad_value;
        }
        const auto known = config.client_accounts_.find(account.name);
        if (known != config.client_accounts_.end()) {
            config.accounts_by_key_.erase(known->second.key_sha256);
        }
        config.accounts_by_key_[account.key_sha256] = account.name;
        config.client_accounts_[account.name] = account;
        return change_outcome::accepted;
    }

    change_outcome operator()(const remove_client_account& change) const {
        const auto known = config.client_accounts_.find(change.name);
        if (known == config.client_accounts_.end()) {
            return change_outcome::refused_unknown_name;
        }
        config.accounts_by_key_.erase(known->second.key_sha256);
        config.client_accounts_.erase(known);
        return change_outcome::accepted;
    }

    change_outcome operator()(const put_service& change) const {
        const bool valid = !change.value.name.empty() && change.value.tokens_per_call >= 0 &&
                           change.value.tokens_per_call <= max_budget_limit;
        if (!valid) {
            return change_outcome::refused_bad_value;
        }
        config.services_[change.value.name] = change.value;
        return change_outcome::accepted;
    }

    change_outcome operator()(const remove_service& change) const {
        return config.services_.erase(change.name) > 0 ? change_outcome::accepted
                                                       : change_outcome::refused_unknown_name;
    }

    change_outcome operator()(const drain_host& change) const {
        if (change.host.empty()) {
            return change_outcome::refused_bad_value;
        }
        config.drained_hosts_.insert(change.host);
        return change_outcome::accepted;
    }

    change_outcome operator()(const undrain_host& change) const {
        return config.drained_hosts_.erase(change.host) > 0 ? change_outcome::accepted
                                                            : change_outcome::refused_unknown_name;
    }
};

change_outcome configuration::apply(const change_set& set) {
    if (set.check_base_version && set.base_version != version_) {
        return change_outcome::refused_conflict;
    }
    // Several changes are applied to a copy, so that a refused one discards the whole set. A single
    // change modifies nothing unless it is accepted and needs no copy.
    if (set.changes.size() == 1) {
        const change_outcome outcome = std::visit(visitor{*this}, set.changes.front());
        version_ += outcome == change_outcome::accepted ? 1 : 0;
        return outcome;
    }
    configuration changed = *this;
    for (const configuration_change& change : set.changes) {
        const change_outcome outcome = std::visit(visitor{changed}, change);
        if (outcome != change_outcome::accepted) {
            return outcome;
        }
    }
    changed.version_ = version_ + 1;
    *this = std::move(changed);
    return change_outcome::accepted;
}

const service* configuration::find_service(std::string_view name) const {
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

const client_account* configuration::find_by_key(std::string_view key_sha256) const {
    const auto name = accounts_by_key_.find(key_sha256);
    if (name == accounts_by_key_.end()) {
        return nullptr;
    }
    const auto found = client_accounts_.find(name->second);
    if (found == client_accounts_.end()) {
        return nullptr;
    }
    // The map lookup is not constant-time, but it compares only digests, which do not reveal the
    // key. The final comparison is constant-time as an additional protection.
    return equal_in_constant_time(found->second.key_sha256, key_sha256) ? &found->second : nullptr;
}

void configuration::restore(std::uint64_t version, std::vector<client_account> accounts,
                            std::vector<service> services, std::vector<std::string> drained_hosts) {
    version_ = version;
    client_accounts_.clear();
    accounts_by_key_.clear();
    services_.clear();
    for (client_account& account : accounts) {
        accounts_by_key_[account.key_sha256] = account.name;
        client_accounts_[account.name] = std::move(account);
    }
    for (wrenswitch::service& item : services) {
        services_[item.name] = std::move(item);
    }
    drained_hosts_.clear();
    drained_hosts_.insert(drained_hosts.begin(), drained_hosts.end());
}

}  // namespace wrenswitch
