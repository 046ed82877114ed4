#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"

namespace wrenswitch {

/// A region became unreachable or reachable again.
struct region_status_change {
    std::string region;
    bool unreachable = false;
    /// The number of its gateways that failed to respond, and of all its gateways.
    std::size_t unresponsive = 0;
    std::size_t members = 0;
    /// The time since the first of these failures.
    microseconds duration{};
};

/// Detects whether other regions are reachable from this gateway, from the results of calls to
/// their gateways. Only for operators; no routing decision depends on it.
class region_outage_detector {
public:
    /// The gateway's own region is ignored; if that is unreachable, the gateway itself is isolated.
    explicit region_outage_detector(std::string own_region);

    /// Applies the current call counts of all members. Returns the regions whose state changed
    /// since the last update.
    std::vector<region_status_change> update(instant now,
                                             std::span<const member_call_counts> members);

    /// The number of regions that are considered unreachable.
    std::size_t unreachable_count() const;

private:
    struct counts {
        std::uint64_t responses = 0;
        std::uint64_t failures = 0;
    };

    struct region_state {
        std::size_t members = 0;
        /// Members that failed to respond since any gateway of the region last responded.
        std::set<std::string, std::less<>> unresponsive;
        instant first_failure{};
        instant last_failure{};
        bool responded = false;
        bool unreachable = false;
    };

    void apply_counts(instant now, const member_call_counts& member);

    std::string own_region_;
    std::map<std::string, counts, std::less<>> last_counts_;
    std::map<std::string, region_state, std::less<>> regions_;
};

}  // namespace wrenswitch
