#pragma once

#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Estimates the round trip time to entries of other regions from the time that they take to
/// answer, so that timeouts can allow for the distance. The round trip is taken as zero within one
/// region and where a region is unknown.
class peer_round_trips {
public:
    /// An empty region means that it is unknown. `initial` is the estimate for another region until
    /// a host there has answered.
    peer_round_trips(std::string own_region, microseconds initial);

    /// True if both regions are known and differ.
    bool is_remote(std::string_view region) const;

    /// The estimated round trip time to a host; zero if its region is not remote.
    microseconds round_trip(std::string_view host, std::string_view region) const;

    /// Updates the estimate with the time that a host took to answer. Ignored for hosts whose
    /// region is not remote.
    void observe(std::string_view host, std::string_view region, microseconds elapsed);

    /// Discards the estimate of a host that left.
    void remove(std::string_view host);

private:
    std::string own_region_;
    microseconds initial_;
    std::map<std::string, microseconds, std::less<>> measured_;
};

}  // namespace wrenswitch
