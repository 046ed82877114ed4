#include "wrenswitch/decision/placement/engine_coordinators.hpp"

#include <algorithm>
#include <utility>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// One in this many entries is a coordinator. With 103 entries and 180 engines that gives 18
/// coordinators of ten engines each: enough engines to choose among, at a load of 0.02 cores per
/// coordinator.
constexpr std::size_t entries_per_coordinator = 6;

/// How long the coordinators are cached before members whose backoff ended are considered again.
constexpr microseconds refresh_interval = milliseconds(100);

/// The maximum number of engines with a cached coordinator. The cache is cleared when it is full,
/// which also drops removed engines.
constexpr std::size_t max_cached_engines = 4096;

}  // namespace

engine_coordinators::engine_coordinators(const token_allocator_selector& members,
                                         region_lookup region_of)
    : members_(members), region_of_(std::move(region_of)) {}

void engine_coordinators::refresh(instant now) {
    const bool up_to_date = refreshed_at_ != instant{} && now - refreshed_at_ < refresh_interval &&
                            members_version_ == members_.version();
    if (up_to_date) {
        return;
    }
    refreshed_at_ = now;
    members_version_ = members_.version();
    std::map<std::string, std::size_t, std::less<>> regions;
    if (region_of_) {
        regions = members_.members_by_region();
    }
    std::erase_if(region_groups_, [&](const auto& each) {
        const bool is_gone = !each.first.empty() && !regions.contains(each.first);
        assignment_version_ += is_gone ? 1 : 0;
        return is_gone;
    });
    for (const auto& [region, count] : regions) {
        refresh_group(now, region, count);
    }
    refresh_group(now, {}, members_.members());
}

void engine_coordinators::refresh_group(instant now, const std::string& region,
                                        std::size_t member_count) {
    const std::size_t count =
        (member_count + entries_per_coordinator - 1) / entries_per_coordinator;
    const auto [found, is_new] = region_groups_.try_emplace(region);
    region_group& current = found->second;
    std::vector<cluster_member> reachable = members_.largest_reachable(now, count, region);
    if (is_new || reachable != current.reachable) {
        current.reachable = std::move(reachable);
        cached_index_.clear();
    }
    std::vector<cluster_member> all = members_.largest_known(count, region);
    if (all != current.all) {
        current.all = std::move(all);
        assignment_version_ += 1;
    }
}

/// Until members are known, the group of all members is the only one.
const std::vector<cluster_member>& engine_coordinators::coordinators_for(
    std::string_view engine, std::vector<cluster_member> region_group::*list) const {
    const region_group& fallback = region_groups_.find(std::string_view{})->second;
    if (!region_of_) {
        return fallback.*list;
    }
    const auto found = region_groups_.find(region_of_(engine));
    const bool has_members = found != region_groups_.end() && !(found->second.*list).empty();
    return (has_members ? found->second : fallback).*list;
}

std::size_t engine_coordinators::rendezvous_index(std::span<const cluster_member> coordinators,
                                                  std::string_view engine) {
    const std::uint64_t seed = spread_hash(engine);
    std::size_t best = 0;
    std::uint64_t highest = 0;
    for (std::size_t at = 0; at < coordinators.size(); ++at) {
        const std::uint64_t rank = spread_hash(coordinators[at].host, seed);
        if (at == 0 || rank > highest) {
            best = at;
            highest = rank;
        }
    }
    return best;
}

/// The engine's coordinator among the members that are not in backoff, or null.
const cluster_member* engine_coordinators::find_coordinator(std::string_view engine) {
    const std::vector<cluster_member>& reachable =
        coordinators_for(engine, &region_group::reachable);
    if (reachable.empty()) {
        return nullptr;
    }
    const std::string name(engine);
    const auto known = cached_index_.find(name);
    if (known != cached_index_.end() && known->second < reachable.size()) {
        return &reachable[known->second];
    }
    const std::size_t best = rendezvous_index(reachable, engine);
    // Not cached while the region is unknown, since the coordinator may change once it is known.
    if (!region_of_ || !region_of_(engine).empty()) {
        if (cached_index_.size() >= max_cached_engines) {
            cached_index_.clear();
        }
        cached_index_.insert_or_assign(name, best);
    }
    return &reachable[best];
}

bool engine_coordinators::coordinates_exclusively(instant now, std::string_view engine) {
    refresh(now);
    const std::vector<cluster_member>& all = coordinators_for(engine, &region_group::all);
    return !all.empty() && all[rendezvous_index(all, engine)].host == members_.own_host();
}

std::optional<cluster_member> engine_coordinators::alternative_coordinator(
    instant now, std::span<const std::string> excluded, double fraction) {
    refresh(now);
    std::vector<const cluster_member*> same_region;
    std::vector<const cluster_member*> other_regions;
    for (const auto& [region, current] : region_groups_) {
        if (region.empty() && region_groups_.size() > 1) {
            continue;
        }
        for (const cluster_member& coordinator : current.reachable) {
            if (std::find(excluded.begin(), excluded.end(), coordinator.host) == excluded.end()) {
                (members_.is_remote(coordinator) ? other_regions : same_region)
                    .push_back(&coordinator);
            }
        }
    }
    const std::vector<const cluster_member*>& others =
        same_region.empty() ? other_regions : same_region;
    if (others.empty()) {
        return std::nullopt;
    }
    const auto at = static_cast<std::size_t>(fraction * static_cast<double>(others.size()));
    return *others[std::min(at, others.size() - 1)];
}

std::uint64_t engine_coordinators::assignment_version(instant now) {
    refresh(now);
    return assignment_version_;
}

std::optional<cluster_member> engine_coordinators::coordinator_of(instant now,
                                                                  std::string_view engine) {
    refresh(now);
    const cluster_member* coordinator = find_coordinator(engine);
    return coordinator == nullptr ? std::nullopt : std::optional(*coordinator);
}

bool engine_coordinators::coordinates(instant now, std::string_view engine) {
    refresh(now);
    const cluster_member* coordinator = find_coordinator(engine);
    return coordinator != nullptr && coordinator->host == members_.own_host();
}

}  // namespace wrenswitch
