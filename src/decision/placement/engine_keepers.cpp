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

engine_keepers::engine_keepers(const token_homes& members) : members_(members) {}

void engine_keepers::refresh(instant now) {
    const bool fresh = refreshed_ != instant{} && now - refreshed_ < list_life &&
                       seen_version_ == members_.version();
    if (fresh) {
        return;
    }
    refreshed_ = now;
    seen_version_ = members_.version();
    const std::size_t count = (members_.members() + entries_a_keeper - 1) / entries_a_keeper;
    std::vector<ledger_member> keepers = members_.largest(now, count);
    if (keepers != keepers_) {
        keepers_ = std::move(keepers);
        known_.clear();
    }
    std::vector<ledger_member> for_all = members_.largest_of_all(count);
    if (for_all != keepers_for_all_) {
        keepers_for_all_ = std::move(for_all);
        changes_ += 1;
    }
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

std::size_t engine_keepers::place_of(std::string_view engine) {
    const std::string name(engine);
    const auto known = known_.find(name);
    if (known != known_.end()) {
        return known->second;
    }
    const std::size_t best = place_among(keepers_, engine);
    if (known_.size() >= most_known) {
        known_.clear();
    }
    known_.emplace(name, best);
    return best;
}

bool engine_keepers::is_own_for_all(instant now, std::string_view engine) {
    refresh(now);
    return !keepers_for_all_.empty() &&
           keepers_for_all_[place_among(keepers_for_all_, engine)].host == members_.own_host();
}

std::optional<ledger_member> engine_keepers::another(instant now,
                                                     std::span<const std::string> hosts,
                                                     double pick) {
    refresh(now);
    std::vector<const ledger_member*> others;
    for (const ledger_member& keeper : keepers_) {
        if (std::find(hosts.begin(), hosts.end(), keeper.host) == hosts.end()) {
            others.push_back(&keeper);
        }
    }
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
    return keepers_.empty() ? std::nullopt : std::optional(keepers_[place_of(engine)]);
}

bool engine_keepers::is_own(instant now, std::string_view engine) {
    refresh(now);
    return !keepers_.empty() && keepers_[place_of(engine)].host == members_.own_host();
}

}  // namespace wrenswitch
