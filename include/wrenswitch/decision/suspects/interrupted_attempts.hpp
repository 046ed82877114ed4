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
    /// How long before the last connection of an incarnation ended its crash may have ended another
    /// one: about an iteration of the event loop.
    microseconds simultaneous_end_time = milliseconds(120);
    /// Attempts remembered per incarnation; more than a target can execute at once.
    std::size_t max_per_incarnation = 256;
};

/// A response that ended with its connection, so that the end of the target's process would have
/// looked the same.
struct unconfirmed_response {
    /// The fingerprints of the request's content and of its prompt's parts.
    std::vector<digest> fingerprints;
    /// When the target began to write it.
    instant began{};
};

/// Attempts whose connection failed before the response was complete, or ended with it, by target
/// incarnation, kept until it is known whether the target process ended. A connection alone doesn't
/// show that: it may have been reset or cut, or the response was malformed.
class interrupted_attempts {
public:
    explicit interrupted_attempts(interrupted_attempts_settings settings = {})
        : settings_(settings) {}

    /// Records an attempt whose connection ended before its response did. `suspects` are the
    /// fingerprints of the request's content and of its prompt's parts.
    void record_interrupted(instant now, const target_incarnation& incarnation,
                            std::span<const digest> fingerprints);

    /// Records an attempt that this entry cancelled before the response was complete.
    void record_cancelled(instant now, const target_incarnation& incarnation,
                          std::span<const digest> fingerprints);

    /// Records an attempt whose response ended with its connection.
    void record_unconfirmed(instant now, const target_incarnation& incarnation,
                            unconfirmed_response response);

    /// Discards the attempts of an incarnation that has proven to be alive: they were interrupted
    /// for another reason. Returns the responses that this confirms.
    std::vector<unconfirmed_response> discard(const target_incarnation& incarnation);

    /// Removes the responses of an incarnation that is alive and returns them. The attempts that
    /// were interrupted are kept.
    std::vector<unconfirmed_response> take_unconfirmed(const target_incarnation& incarnation);

    /// True if attempts at this incarnation were interrupted for a reason still unknown, or their
    /// responses ended with their connections.
    bool has_interrupted(const target_incarnation& incarnation) const;

    /// The incarnations of a target with interrupted attempts.
    std::vector<target_incarnation> interrupted_incarnations(std::string_view target) const;

    /// Removes the attempts of an incarnation that has ended and returns the fingerprints of the
    /// requests that were in flight at the time, without duplicates.
    std::vector<digest> take_in_flight(const target_incarnation& incarnation);

    /// Discards attempts that are older than the retention time.
    void discard_expired(instant now);

private:
    enum class attempt_end { interrupted, cancelled, unconfirmed };

    struct attempt {
        std::vector<digest> fingerprints;
        instant ended{};
        attempt_end end = attempt_end::interrupted;
        /// When the target began to write; only of unconfirmed responses.
        instant began{};
    };

    void add(const target_incarnation& incarnation, attempt ended);
    bool was_in_flight(const attempt& each, instant crashed) const;

    interrupted_attempts_settings settings_;
    std::map<target_incarnation, std::vector<attempt>> attempts_by_incarnation_;
};

}  // namespace wrenswitch
