#pragma once

#include <algorithm>
#include <cstdint>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The wait before a conditional append that lost a race is tried again. Doubles with each race
/// lost in a row, so that it follows the number of writers that append at the time, and not the
/// size of the fleet.
class race_backoff {
public:
    /// A random wait. Call after each lost race.
    microseconds next_wait() {
        const microseconds most = longest_;
        longest_ = std::min(longest_ * 2, max_longest);
        const auto bound = static_cast<std::uint64_t>(most.count()) + 1;
        return microseconds(static_cast<std::int64_t>(random_.below(bound)));
    }

    /// Call after an append that succeeded.
    void reset() { longest_ = first_longest; }

private:
    /// A few times what a read and an append take.
    static constexpr microseconds first_longest = milliseconds(10);
    static constexpr microseconds max_longest = milliseconds(640);

    random_source random_;
    microseconds longest_ = first_longest;
};

}  // namespace wrenswitch
