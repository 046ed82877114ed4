#pragma once

#include <cstdint>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/routing/time_slot_counter.hpp"

namespace wrenswitch {

/// Limits the retries of a service at one process so that the retries of all processes together
/// stay below a ratio of the first tries, regardless of the number of processes and of when they
/// start, restart, are partitioned or learn of each other. A process spends only what its own
/// requests have earned. In an earlier design all processes shared a slack, each dividing it by its
/// own count of processes, which may be too low, and had its part available at start. With it, 30
/// processes sent 620 retries in 10 s where 344 were allowed, while targets refused 9 in 10
/// requests (counted at the targets).
///
/// The common bound: in any window, the retries are at most the ratio times the first tries of that
/// window or of the previous one, whichever is larger. At each process, starting from any of its
/// retries, the retries so far are at most half the ratio times the first tries since one window
/// before that retry. Summed over all processes, the retries of a window are thus at most half the
/// ratio times the first tries of both windows, which does not exceed the ratio times the larger
/// one. A process that starts has earned nothing, so that the requests of its predecessor are never
/// counted twice.
class retry_budget {
public:
    /// `ratio` is the average number of retries allowed per first try; `window` is the time over
    /// which the bound is measured. `extra_retries` more are allowed per window, for deployments
    /// that bound each process separately; it must not be used for a slack that all processes
    /// share.
    retry_budget(double ratio, microseconds window, double extra_retries = 0.0);

    /// Counts a first try.
    void record_first_try(instant now) { first_tries_.add(slot_at(now)); }

    /// Counts a retry and returns true if one is allowed now.
    bool try_acquire_retry(instant now);

    /// The number of retries that would be allowed now in sequence.
    double available_retries(instant now) const;

    /// The number of retries and of first tries in the window that ends now.
    std::uint32_t retries_in_window(instant now) const;
    std::uint32_t first_tries_in_window(instant now) const;

private:
    std::int64_t slot_at(instant time) const;

    double ratio_;
    double extra_retries_;
    microseconds slot_length_;
    time_slot_counter first_tries_;
    time_slot_counter retries_;
};

}  // namespace wrenswitch
