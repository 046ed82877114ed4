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
#include "wrenswitch/decision/grants/token_homes.hpp"

namespace wrenswitch {

/// Names each engine's keeper: the entry that knows what the engine has to do, because every entry
/// asks it before a request goes there. Some of the largest entries are keepers, and each has its
/// engines by rendezvous hashing, so that entries agree without words. Where a deployment has
/// several regions, an engine's keeper is an entry of its own region while one is known. Entries
/// that see other members name other keepers, which makes a choice a little worse and nothing else.
class engine_keepers {
public:
    /// The region of an engine; empty if it isn't known.
    using region_hook = std::function<std::string_view(std::string_view engine)>;

    /// The members must outlive this. Without the hook regions don't count.
    explicit engine_keepers(const token_homes& members, region_hook region_of = {});

    /// The engine's keeper. Nothing if no member is known that answers.
    std::optional<ledger_member> keeper_of(instant now, std::string_view engine);

    const std::string& own_host() const { return members_.own_host(); }

    /// True if this host is the engine's keeper.
    bool is_own(instant now, std::string_view engine);

    /// True if this host is the engine's keeper for every entry that knows the same members,
    /// whoever it reaches itself. Two entries that each take the other for lost would both be
    /// keepers otherwise; where that must not be, no other entry steps in.
    bool is_own_for_all(instant now, std::string_view engine);

    /// A keeper that isn't among these hosts, of this entry's region before others; `pick` from 0
    /// to 1 chooses among several. Nothing if there is none.
    std::optional<ledger_member> another(instant now, std::span<const std::string> hosts,
                                         double pick);

    /// Rises whenever other members become keepers.
    std::uint64_t changes(instant now);

private:
    /// The keepers of one region's engines.
    struct group {
        std::vector<ledger_member> keepers;
        /// The same with those that don't answer this entry.
        std::vector<ledger_member> for_all;
    };

    void refresh(instant now);
    void refresh_group(instant now, const std::string& region, std::size_t members);
    const std::vector<ledger_member>& list_for(std::string_view engine,
                                               std::vector<ledger_member> group::*list) const;
    const ledger_member* known_keeper(std::string_view engine);
    static std::size_t place_among(std::span<const ledger_member> keepers, std::string_view engine);

    const token_homes& members_;
    region_hook region_of_;
    /// By region; under the empty name those of all members, for engines whose region isn't known
    /// or has no members.
    std::map<std::string, group, std::less<>> groups_;
    /// The places of engines' keepers that were worked out, while the keepers stay the same.
    std::unordered_map<std::string, std::size_t> known_;
    std::uint64_t seen_version_ = 0;
    std::uint64_t changes_ = 0;
    instant refreshed_{};
};

}  // namespace wrenswitch
