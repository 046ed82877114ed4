#pragma once

#include <map>
#include <string>
#include <string_view>

namespace wrenswitch {

/// Maps failure domains to regions. A failure domain without a configured region counts as a region
/// of its own: no request restricted to regions may run there, and it is remote from every other
/// failure domain.
class region_table {
public:
    /// Assigns a region to a failure domain. Returns false, without a change, if it already has
    /// one.
    bool add(std::string failure_domain, std::string region);

    /// The region of a failure domain; empty if none is configured.
    std::string_view region_of(std::string_view failure_domain) const;

    /// True if both failure domains are in the same region, or are the same failure domain.
    bool in_same_region(std::string_view left, std::string_view right) const;

    /// True if there are at least two different regions.
    bool has_multiple_regions() const;

    /// True if no failure domain has a region.
    bool empty() const { return regions_.empty(); }

    friend bool operator==(const region_table&, const region_table&) = default;

private:
    std::map<std::string, std::string, std::less<>> regions_;
};

}  // namespace wrenswitch
