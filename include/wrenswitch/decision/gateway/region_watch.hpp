#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/grants/token_homes.hpp"

namespace wrenswitch {

/// A change of what is believed of a region.
struct region_news {
    std::string region;
    bool cut_off = false;
    /// Its entries that were asked and said nothing, and all that it has.
    std::size_t silent = 0;
    std::size_t members = 0;
    /// Since the first of them was silent.
    microseconds since{};
};

/// Tells when another region is cut off from this entry, and when it is back, by what comes of
/// asking its entries. For operators: no request depends on it.
class region_watch {
public:
    /// The entry's own region is left out: whether that is reached is its isolation.
    explicit region_watch(std::string own_region);

    /// Takes in how often members answered until now. Returns what changed since the last look.
    std::vector<region_news> look(instant now, std::span<const member_answers> members);

    /// How many regions are held for cut off.
    std::size_t cut_off() const;

private:
    struct counts {
        std::uint64_t answers = 0;
        std::uint64_t silences = 0;
    };

    struct region_state {
        std::size_t members = 0;
        /// Those that were silent since any of the region's entries answered.
        std::set<std::string, std::less<>> silent;
        instant since{};
        instant last_silence{};
        bool answered = false;
        bool cut_off = false;
    };

    void take(instant now, const member_answers& member);

    std::string own_region_;
    std::map<std::string, counts, std::less<>> seen_;
    std::map<std::string, region_state, std::less<>> regions_;
};

}  // namespace wrenswitch
