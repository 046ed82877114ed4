#pragma once

#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// How far the other entries are. Those of other regions take some time to answer whatever they
/// do; it is learnt from their answers, so that nobody is taken for lost by being far. Within one
/// region, and where regions aren't known, the way counts as nothing.
class peer_distances {
public:
    /// An empty region is one that isn't known. The start is what the way to another region and
    /// back is taken for until an answer came from there.
    peer_distances(std::string own_region, microseconds start);

    /// True if the region is known to be another one than this entry's.
    bool is_far(std::string_view region) const;

    /// The way to a host and back; zero if its region is this entry's.
    microseconds round_trip(std::string_view host, std::string_view region) const;

    /// A host answered after this time. Hosts of this entry's region teach nothing.
    void observe(std::string_view host, std::string_view region, microseconds took);

    /// The host has left.
    void forget(std::string_view host);

private:
    std::string own_region_;
    microseconds start_;
    std::map<std::string, microseconds, std::less<>> learnt_;
};

}  // namespace wrenswitch
