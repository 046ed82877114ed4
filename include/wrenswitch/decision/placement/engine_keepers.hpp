#pragma once

#include <cstddef>
#include <cstdint>
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
/// engines by rendezvous hashing, so that entries agree without words. Entries that see other
/// members name other keepers, which makes a choice a little worse and nothing else.
class engine_keepers {
public:
    /// The members must outlive this.
    explicit engine_keepers(const token_homes& members);

    /// The engine's keeper. Nothing if no member is known that answers.
    std::optional<ledger_member> keeper_of(instant now, std::string_view engine);

    const std::string& own_host() const { return members_.own_host(); }

    /// True if this host is the engine's keeper.
    bool is_own(instant now, std::string_view engine);

    /// True if this host is the engine's keeper for every entry that knows the same members,
    /// whoever it reaches itself. Two entries that each take the other for lost would both be
    /// keepers otherwise; where that must not be, no other entry steps in.
    bool is_own_for_all(instant now, std::string_view engine);

    /// A keeper that isn't among these hosts; `pick` from 0 to 1 chooses among several. Nothing if
    /// there is none.
    std::optional<ledger_member> another(instant now, std::span<const std::string> hosts,
                                         double pick);

    /// Rises whenever other members become keepers.
    std::uint64_t changes(instant now);

private:
    void refresh(instant now);
    std::size_t place_of(std::string_view engine);
    static std::size_t place_among(std::span<const ledger_member> keepers, std::string_view engine);

    const token_homes& members_;
    std::vector<ledger_member> keepers_;
    /// The same with those that don't answer this entry.
    std::vector<ledger_member> keepers_for_all_;
    /// The places of engines' keepers that were worked out, while the keepers stay the same.
    std::unordered_map<std::string, std::size_t> known_;
    std::uint64_t seen_version_ = 0;
    std::uint64_t changes_ = 0;
    instant refreshed_{};
};

}  // namespace wrenswitch
