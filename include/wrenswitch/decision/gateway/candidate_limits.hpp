#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace wrenswitch {

/// The names of regions.
using region_set = std::set<std::string, std::less<>>;

/// The regions that a request is bound to; nothing if it may go anywhere. An empty set allows none.
using allowed_regions = std::optional<region_set>;

/// The regions that both allow.
allowed_regions allowed_by_both(const allowed_regions& left, const allowed_regions& right);

/// True if a request bound to these regions may be in this one. An empty name is a region that
/// nobody named: only what isn't bound may be there.
bool may_be_in(const allowed_regions& allowed, std::string_view region);

/// Which versions of a service's targets a request may go to while the service is rolled out.
enum class version_rule {
    any,
    /// Only the version that is named.
    only,
    /// Every version but the one that is named.
    other_than,
};

using version_set = std::set<std::string, std::less<>>;

/// Which version a request goes to, and how many of its targets are used.
struct version_limit {
    version_rule rule = version_rule::any;
    std::string version;
    /// With `only`: the number of the version's targets that are used, so that a few bear the load
    /// that the others are spared; zero for all of them.
    std::uint32_t group_size = 0;
    /// Which of them: another number chooses others. The same everywhere, without a word.
    std::uint64_t group_seed = 0;
    /// Versions of orders that came before and weren't completed: nothing goes there, whatever the
    /// rule says.
    version_set excluded;

    /// True if a target of this version may be chosen, as far as its version goes.
    bool admits(std::string_view target_version) const;
};

/// What narrows the targets of one request, beside what is known of the targets themselves.
struct candidate_limits {
    allowed_regions regions;
    version_limit version;
};

}  // namespace wrenswitch
