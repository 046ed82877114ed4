#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace wrenswitch {

/// Names of regions.
using region_set = std::set<std::string, std::less<>>;

/// The regions that may process a request; no value if the request isn't restricted. An empty set
/// allows no region.
using allowed_regions = std::optional<region_set>;

/// Returns the regions that both restrictions allow.
allowed_regions intersect_regions(const allowed_regions& left, const allowed_regions& right);

/// True if a request with this restriction may be processed in the region. An empty name stands for
/// an unknown region, which only unrestricted requests may use.
bool allows_region(const allowed_regions& allowed, std::string_view region);

/// Which versions of a service's targets a request may use during a rollout.
enum class version_rule {
    any,
    /// Only the named version.
    only,
    /// Every version except the named one.
    other_than,
};

using version_set = std::set<std::string, std::less<>>;

/// Restricts a request to some versions of a service, and optionally to a subset of the targets of
/// one version.
struct version_constraint {
    version_rule rule = version_rule::any;
    std::string version;
    /// With `only`: the number of targets of the version that receive requests, so that a small
    /// group takes the load and the other targets don't; zero for all of them.
    std::uint32_t group_size = 0;
    /// Seed that selects the group. Every process derives the same group from it, without any
    /// communication.
    std::uint64_t group_seed = 0;
    /// Versions of earlier rollouts that weren't completed. They receive nothing, whatever the rule
    /// says.
    version_set excluded;

    /// True if the constraint allows targets of this version.
    bool admits(std::string_view target_version) const;
};

/// Constraints on the targets of one request that don't depend on the state of the targets.
struct candidate_constraints {
    allowed_regions regions;
    version_constraint version;
};

}  // namespace wrenswitch
