#pragma once

#include <map>
#include <span>
#include <string_view>
#include <vector>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/suspects/target_incarnation.hpp"

namespace wrenswitch {

/// Settings of interrupted_attempts.
struct interrupted_attempts_settings {
    /// How long an attempt is remembered. The platform's list drops a target three heartbeats after
    /// it ends (about 3.6 s), and a restarted one is listed again within about the same time.
    microseconds retention = seconds(8);
    /// How long a cancelled attempt may still be executing at its target.
    microseconds cancelled_in_flight_time = seconds(1);
    /// Attempts remembered per incarnation; more than a target can execute at once.
    std::size_t max_per_incarnation = 256;
};

/// Attempts whose connection failed before the response was complete, by target incarnation, kept
/// until it is known whether the target process ended. A failed connection alone doesn't show that:
/// it may have been reset or cut, or the response was malformed.
class interrupted_attempts {
public:
    explicit interrupted_attempts(interrupted_attempts_settings settings = {})
        : settings_(settings) {}

    /// Records an attempt whose connection ended before its response did. `suspects` are the
    /// fingerprints of the request's content and of its prompt's parts.
    void record_interrupted(instant now, const target_incarnation& incarnation,
                            std::span<const digest> suspects);

    /// Records an attempt that this entry cancelled before the response was complete.
    void record_cancelled(instant now, const target_incarnation& incarnation,
                          std::span<const digest> suspects);

    /// Discards the attempts of an incarnation that has proven to be alive: they were interrupted
    /// for another reason.
    void discard(const target_incarnation& incarnation) {
        attempts_by_incarnation_.erase(incarnation);
    }

    /// True if attempts at this incarnation were interrupted for a reason still unknown.
    bool has_interrupted(const target_incarnation& incarnation) const;

    /// The incarnations of a target with interrupted attempts.
    std::vector<target_incarnation> interrupted_incarnations(std::string_view target) const;

    /// Removes the attempts of an incarnation that has ended and returns the fingerprints of the
    /// requests that were in flight at the time, without duplicates.
    std::vector<digest> take_in_flight(const target_incarnation& incarnation);

    /// Discards attempts that are older than the retention time.
    void discard_expired(instant now);

private:
    struct attempt {
        std::vector<digest> suspects;
        instant ended{};
        /// False if this entry cancelled the attempt.
        bool interrupted = false;
    };

    void add(const target_incarnation& incarnation, attempt ended);

    interrupted_attempts_settings settings_;
    std::map<target_incarnation, std::vector<attempt>> attempts_by_incarnation_;
};

}  // namespace wrenswitch
