#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// How urgent the requests for each service are that came to this entry of late: turns are only
/// kept for urgent ones where such come.
class urgency_watch {
public:
    /// A request came; 0 is the most urgent.
    void note(instant now, std::string_view service, unsigned urgency) {
        const auto found = services_.find(service);
        auto& last = found == services_.end() ? services_[std::string(service)] : found->second;
        last[std::min<std::size_t>(urgency, last.size() - 1)] = now;
    }

    /// True if a request for the service that is more urgent than this came of late.
    bool has_more_urgent(instant now, std::string_view service, unsigned urgency) const {
        const auto found = services_.find(service);
        if (found == services_.end()) {
            return false;
        }
        const std::size_t count = std::min<std::size_t>(urgency, found->second.size());
        return std::any_of(
            found->second.begin(), found->second.begin() + static_cast<std::ptrdiff_t>(count),
            [now](instant last) { return last != instant{} && now - last < memory; });
    }

private:
    static constexpr microseconds memory = seconds(5);
    static constexpr std::size_t urgencies = 10;

    std::map<std::string, std::array<instant, urgencies>, std::less<>> services_;
};

}  // namespace wrenswitch
