#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"

namespace wrenswitch {

/// Selects each engine's coordinator: the entry that tracks the engine's load, because every entry
/// asks it before sending a request there. A share of the largest entries are coordinators, and
/// rendezvous hashing assigns engines to them, so entries agree without communication. With several
/// regions, an engine's coordinator is an entry of its own region as long as one is known. Entries
/// with different views of the membership select different coordinators, which only makes placement
/// slightly worse.
class engine_coordinators {
public:
    /// Returns the region of an engine; empty if unknown.
    using region_lookup = std::function<std::string_view(std::string_view engine)>;

    /// The members must outlive this object. Without a lookup regions are ignored.
    explicit engine_coordinators(const token_allocator_selector& members,
                                 region_lookup region_of = {});

    /// The engine's coordinator among the members that are not in backoff. Empty if there is none.
    std::optional<cluster_member> coordinator_of(instant now, std::string_view engine);

    const std::string& own_host() const { return members_.own_host(); }

    /// True if this host is the engine's coordinator.
    bool coordinates(instant now, std::string_view engine);

    /// True if this host is the engine's coordinator among all known members, including those in
    /// backoff. Two entries that each consider the other lost both coordinate an engine by
    /// coordinates(); use this where only one may, at the price that no other entry takes over.
    bool coordinates_exclusively(instant now, std::string_view engine);

    /// A coordinator that is not on the excluded hosts, preferring this entry's region. `fraction`,
    /// from 0 to 1, selects one of several. Empty if there is none.
    std::optional<cluster_member> alternative_coordinator(instant now,
                                                          std::span<const std::string> excluded,
                                                          double fraction);

    /// Increases whenever the set of coordinators among all known members changes.
    std::uint64_t assignment_version(instant now);

private:
    /// The coordinators of one region's engines.
    struct region_group {
        std::vector<cluster_member> reachable;
        /// The same, including members that do not answer this entry.
        std::vector<cluster_member> all;
    };

    void refresh(instant now);
    void refresh_group(instant now, const std::string& region, std::size_t member_count);
    const std::vector<cluster_member>& coordinators_for(
        std::string_view engine, std::vector<cluster_member> region_group::*list) const;
    const cluster_member* find_coordinator(std::string_view engine);
    static std::size_t rendezvous_index(std::span<const cluster_member> coordinators,
                                        std::string_view engine);

    const token_allocator_selector& members_;
    region_lookup region_of_;
    /// By region. The empty name holds the coordinators among all members, for engines whose region
    /// is unknown or has no members.
    std::map<std::string, region_group, std::less<>> region_groups_;
    /// The index of each engine's coordinator, cached until the coordinators change.
    std::unordered_map<std::string, std::size_t> cached_index_;
    std::uint64_t members_version_ = 0;
    std::uint64_t assignment_version_ = 0;
    instant refreshed_at_{};
};

}  // namespace wrenswitch
