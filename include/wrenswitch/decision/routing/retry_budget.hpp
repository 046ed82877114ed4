#pragma once

#include <cstdint>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/routing/slot_counts.hpp"

namespace wrenswitch {

/// Bounds a service's retries at one entry so that those of all entries together stay within a
/// share of the first tries, however many entries there are, and whenever they start, restart, are
/// cut off or hear of each other: an entry spends nothing but what its own requests earn. Shares of
/// a slack that all have together, each reckoned by a count of entries that may be short, and in
/// hand at a start, let 30 entries send 620 retries in 10 s where 344 were allowed, while targets
/// turned 9 in 10 requests away (counted at the targets).
///
/// The common bound: in any window, retries are at most the share of the first tries of that window
/// or of the one before it, whichever has more. At each entry, from any of its retries on, the
/// retries so far are at most half of the share of the first tries since one window before that
/// retry. Summed over all entries, a window's retries are thus at most half of the share of the
/// first tries of both windows, which is no more than the share of the larger one. A process that
/// starts has earned nothing, so that its predecessor's requests are never counted twice.
class retry_budget {
public:
    /// `share` is the retries that may follow a first try, on the average; `window` the time over
    /// which others count them. `spare` retries more are allowed in a window, for fleets whose
    /// bound is one of each entry; what all entries share has no place here.
    retry_budget(double share, microseconds window, double spare = 0.0);

    /// Counts a first try.
    void first_try(instant now) { first_tries_.add(slot_of(now)); }

    /// True, and counted, if a retry is allowed now.
    bool take_retry(instant now);

    /// The retries that would be allowed now, one after the other.
    double allowed(instant now) const;

    /// The retries that were made in the window that ends now, and the first tries.
    std::uint32_t retries_in_window(instant now) const;
    std::uint32_t first_tries_in_window(instant now) const;

private:
    std::int64_t slot_of(instant at) const;

    double share_;
    double spare_;
    microseconds slot_length_;
    slot_counts first_tries_;
    slot_counts retries_;
};

}  // namespace wrenswitch
