#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// How an account uses this entry.
struct account_presence {
    /// The requests within the last 250 ms, counted up to `account_activity::counted_requests`.
    std::size_t recent_requests = 0;
    /// For how long the account has been sending requests here, with pauses below 3 s.
    microseconds active_for{};
    /// The time since its last request.
    microseconds idle_for{};
};

/// Records which accounts send requests and since when, so that an account that has just been
/// directed to this entry is seen before its bytes per second are measured.
class account_activity {
public:
    /// Single requests may be the first ones of a caller that sends little.
    static constexpr std::size_t counted_requests = 3;

    /// Records a request of an account.
    void record(instant now, std::string_view account);

    account_presence presence_of(instant now, std::string_view account) const;

private:
    struct activity {
        instant since{};
        /// The times of the last requests, as a ring.
        std::array<instant, counted_requests> last{};
        std::size_t next = 0;

        instant newest() const { return last[(next + counted_requests - 1) % counted_requests]; }
    };

    std::map<std::string, activity, std::less<>> accounts_;
};

}  // namespace wrenswitch
