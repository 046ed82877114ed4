#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Tracks which priorities the recent requests for each service had. Capacity is reserved for
/// urgent requests only at services that receive such requests.
class priority_tracker {
public:
    /// Records a request; priority 0 is the most urgent.
    void record(instant now, std::string_view service, unsigned priority) {
        const auto found = services_.find(service);
        auto& last_seen =
            found == services_.end() ? services_[std::string(service)] : found->second;
        last_seen[std::min<std::size_t>(priority, last_seen.size() - 1)] = now;
    }

    /// True if a more urgent request for the service arrived recently.
    bool has_more_urgent(instant now, std::string_view service, unsigned priority) const {
        const auto found = services_.find(service);
        if (found == services_.end()) {
            return false;
        }
        const std::size_t higher_count = std::min<std::size_t>(priority, found->second.size());
        return std::any_of(found->second.begin(),
                           found->second.begin() + static_cast<std::ptrdiff_t>(higher_count),
                           [now](instant last_seen) {
                               return last_seen != instant{} && now - last_seen < recent_period;
                           });
    }

private:
    static constexpr microseconds recent_period = seconds(5);
    static constexpr std::size_t priority_count = 10;

    std::map<std::string, std::array<instant, priority_count>, std::less<>> services_;
};

}  // namespace wrenswitch
