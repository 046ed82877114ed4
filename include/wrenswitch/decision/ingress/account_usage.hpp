#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// What an account offers, in the busier direction of the link.
struct account_demand {
    std::string account;
    double bytes_per_second = 0.0;

    friend bool operator==(const account_demand&, const account_demand&) = default;
};

/// Measures how many bytes per second each account sends and receives, decaying over a second.
/// Bytes of refused requests count as well. At most 256 accounts are kept.
class account_usage {
public:
    /// Records bytes that were received for an account and bytes that were sent for it.
    void record(instant now, std::string_view account, std::uint64_t received, std::uint64_t sent);

    /// The accounts with the most bytes per second, in descending order.
    std::vector<account_demand> top(instant now, std::size_t count) const;

private:
    struct usage {
        instant updated{};
        double received = 0.0;
        double sent = 0.0;

        double rate(instant now) const;
    };

    void evict_quietest(instant now);

    std::map<std::string, usage, std::less<>> accounts_;
};

}  // namespace wrenswitch
