#include "wrenswitch/decision/placement/engine_keepers.hpp"

#include <algorithm>
#include <utility>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// One of so many entries is a keeper. With 103 entries and 180 engines that is 18 keepers of ten
/// engines each: enough engines to choose among, and 0.02 of a core of work for each keeper.
constexpr std::size_t entries_a_keeper = 6;

/// How long a list of keepers is used before members that rested may count again.
constexpr microseconds list_life = milliseconds(100);

/// Engines whose keepers are remembered. Engines that are gone are forgotten with all others.
constexpr std::size_t most_known = 4096;

}  // namespace

engine_keepers::engine_keepers(const token_homes& members, region_hook region_of)
    : members_(members), region_of_(std::move(region_of)) {}

void engine_keepers::refresh(instant now) {
    const bool fresh = refreshed_ != instant{} && now - refreshed_ < list_life &&
                       seen_version_ == members_.version();
    if (fresh) {
        return;
    }
    refreshed_ = now;
    seen_version_ = members_.version();
    std::map<std::string, std::size_t, std::less<>> regions;
    if (region_of_) {
        regions = members_.members_by_region();
    }
    std::erase_if(groups_, [&](const auto& each) {
        const bool gone = !each.first.empty() && !regions.contains(each.first);
        changes_ += gone ? 1 : 0;
        return gone;
    });
    for (const auto& [region, count] : regions) {
        refresh_group(now, region, count);
    }
    refresh_group(now, {}, members_.members());
}

void engine_keepers::refresh_group(instant now, const std::string& region, std::size_t members) {
    const std::size_t count = (members + entries_a_keeper - 1) / entries_a_keeper;
    const auto [found, is_new] = groups_.try_emplace(region);
    group& present = found->second;
    std::vector<ledger_member> keepers = members_.largest(now, count, region);
    if (is_new || keepers != present.keepers) {
        present.keepers = std::move(keepers);
        known_.clear();
    }
    std::vector<ledger_member> for_all = members_.largest_of_all(count, region);
    if (for_all != present.for_all) {
        present.for_all = std::move(for_all);
        changes_ += 1;
    }
}

/// Until the members are known there is no group but the one of all.
const std::vector<ledger_member>& engine_keepers::list_for(
    std::string_view engine, std::vector<ledger_member> group::*list) const {
    const group& all = groups_.find(std::string_view{})->second;
    if (!region_of_) {
        return all.*list;
    }
    const auto found = groups_.find(region_of_(engine));
    const bool has_own = found != groups_.end() && !(found->second.*list).empty();
    return (has_own ? found->second : all).*list;
}

std::size_t engine_keepers::place_among(std::span<const ledger_member> keepers,
                                        std::string_view engine) {
    const std::uint64_t seed = spread_hash(engine);
    std::size_t best = 0;
    std::uint64_t highest = 0;
    for (std::size_t at = 0; at < keepers.size(); ++at) {
        const std::uint64_t rank = spread_hash(keepers[at].host, seed);
        if (at == 0 || rank > highest) {
            best = at;
            highest = rank;
        }
    }
    return best;
}

/// The engine's keeper among those that answer, or null.
const ledger_member* engine_keepers::known_keeper(std::string_view engine) {
    const std::vector<ledger_member>& keepers = list_for(engine, &group::keepers);
    if (keepers.empty()) {
        return nullptr;
    }
    const std::string name(engine);
    const auto known = known_.find(name);
    if (known != known_.end() && known->second < keepers.size()) {
        return &keepers[known->second];
    }
    const std::size_t best = place_among(keepers, engine);
    // An engine whose region isn't known yet may get another keeper when it is.
    if (!region_of_ || !region_of_(engine).empty()) {
        if (known_.size() >= most_known) {
            known_.clear();
        }
        known_.insert_or_assign(name, best);
    }
    return &keepers[best];
}

bool engine_keepers::is_own_for_all(instant now, std::string_view engine) {
    refresh(now);
    const std::vector<ledger_member>& for_all = list_for(engine, &group::for_all);
    return !for_all.empty() && for_all[place_among(for_all, engine)].host == members_.own_host();
}

std::optional<ledger_member> engine_keepers::another(instant now,
                                                     std::span<const std::string> hosts,
                                                     double pick) {
    refresh(now);
    std::vector<const ledger_member*> near;
    std::vector<const ledger_member*> far;
    for (const auto& [region, present] : groups_) {
        if (region.empty() && groups_.size() > 1) {
            continue;
        }
        for (const ledger_member& keeper : present.keepers) {
            if (std::find(hosts.begin(), hosts.end(), keeper.host) == hosts.end()) {
                (members_.is_far(keeper) ? far : near).push_back(&keeper);
            }
        }
    }
    const std::vector<const ledger_member*>& others = near.empty() ? far : near;
    if (others.empty()) {
        return std::nullopt;
    }
    const auto at = static_cast<std::size_t>(pick * static_cast<double>(others.size()));
    return *others[std::min(at, others.size() - 1)];
}

std::uint64_t engine_keepers::changes(instant now) {
    refresh(now);
    return changes_;
}

std::optional<ledger_member> engine_keepers::keeper_of(instant now, std::string_view engine) {
    refresh(now);
    const ledger_member* keeper = known_keeper(engine);
    return keeper == nullptr ? std::nullopt : std::optional(*keeper);
}

bool engine_keepers::is_own(instant now, std::string_view engine) {
    refresh(now);
    const ledger_member* keeper = known_keeper(engine);
    return keeper != nullptr && keeper->host == members_.own_host();
}

}  // namespace wrenswitch
