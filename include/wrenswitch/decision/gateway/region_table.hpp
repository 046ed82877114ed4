#pragma once

#include <map>
#include <string>
#include <string_view>

namespace wrenswitch {

/// Which region each failure domain lies in. A domain that nobody named a region for is one of its
/// own: nothing is allowed there that is bound to regions, and it is far from everything else.
class region_table {
public:
    /// Names the region of a failure domain. False, with no change, if it has one already.
    bool add(std::string failure_domain, std::string region);

    /// The region of a failure domain; empty if none was named.
    std::string_view region_of(std::string_view failure_domain) const;

    /// True if both failure domains lie in one region.
    bool are_near(std::string_view left, std::string_view right) const;

    /// True if there are two regions or more.
    bool has_several() const;

    /// True if no failure domain has a region.
    bool empty() const { return regions_.empty(); }

    friend bool operator==(const region_table&, const region_table&) = default;

private:
    std::map<std::string, std::string, std::less<>> regions_;
};

}  // namespace wrenswitch
