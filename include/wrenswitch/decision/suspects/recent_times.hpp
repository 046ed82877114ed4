#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The latest time of something by fingerprint, for a bounded number of fingerprints. The one that
/// was recorded the longest ago is forgotten first.
class recent_times {
public:
    /// A fingerprint that is recorded all the time moves to the end of the order only after
    /// `resolution`.
    recent_times(std::size_t max_count, microseconds resolution)
        : max_count_(max_count), resolution_(resolution) {}

    /// Records a time. An earlier one than the latest changes nothing.
    void record(const digest& fingerprint, instant at);

    /// The latest time, or nothing if there is none or it was forgotten.
    std::optional<instant> latest(const digest& fingerprint) const;

private:
    struct entry {
        instant latest{};
        /// The time under which the fingerprint stands in the order.
        instant ordered{};
    };
    struct position {
        digest fingerprint;
        instant ordered{};
    };

    std::size_t max_count_;
    microseconds resolution_;
    std::unordered_map<digest, entry> entries_;
    /// Oldest first; a fingerprint may appear several times, of which the last one counts.
    std::deque<position> order_;
};

}  // namespace wrenswitch
