#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The load that one account offers, whether it is served or refused.
struct account_demand {
    std::string account;
    /// In the busier direction.
    double bytes_per_second = 0.0;

    friend bool operator==(const account_demand&, const account_demand&) = default;
};

/// Rates of one account, as averages that decay over a second.
struct account_rates {
    double received_bytes = 0.0;
    double sent_bytes = 0.0;
    double requests = 0.0;
    double late = 0.0;
    double refused = 0.0;

    double busier_direction() const {
        return received_bytes > sent_bytes ? received_bytes : sent_bytes;
    }
};

/// Measures the load of each client account at this entry. Requests without an account are counted
/// under the empty name. Memory is bounded: beyond `max_accounts` the quietest account is evicted.
class account_usage {
public:
    static constexpr std::size_t max_accounts = 256;

    /// Adds bytes of an account, including those of refused requests.
    void record(instant now, std::string_view account, std::uint64_t received, std::uint64_t sent);

    void record_request(instant now, std::string_view account);
    void record_late(instant now, std::string_view account);
    void record_refused(instant now, std::string_view account);

    /// The accounts with the most bytes per second, the largest first. Accounts without bytes
    /// within the last few seconds and requests without an account are omitted.
    std::vector<account_demand> top(instant now, std::size_t count) const;

    /// The bytes per second of all accounts together, each in its busier direction, and of requests
    /// without an account.
    double total(instant now) const;

    /// The rates of an account, all zero if it is unknown.
    account_rates rates(instant now, std::string_view account) const;

    /// The number of accounts that are kept.
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        account_rates rates;
        instant updated{};
    };
    struct name_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view name) const {
            return std::hash<std::string_view>{}(name);
        }
    };

    static account_rates decayed(const entry& kept, instant now);
    entry& updated_entry(instant now, std::string_view account);
    void evict_quietest(instant now);

    std::unordered_map<std::string, entry, name_hash, std::equal_to<>> entries_;
};

}  // namespace wrenswitch
