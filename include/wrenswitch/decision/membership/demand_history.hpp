#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The highest demand of each account in the last 3 s. While an account moves from one entry to
/// another, neither measures all of its demand; a move takes the platform about 2 s.
class demand_history {
public:
    /// Records the bytes per second of an account in the whole failure domain.
    void record(instant now, std::string_view account, double bytes_per_second);

    /// The highest recorded value, or zero.
    double peak(instant now, std::string_view account) const;

    /// Removes what is too old to count.
    void drop_expired(instant now);

private:
    /// Recorded values in descending order, the newest last.
    std::map<std::string, std::deque<std::pair<instant, double>>, std::less<>> accounts_;
};

}  // namespace wrenswitch
