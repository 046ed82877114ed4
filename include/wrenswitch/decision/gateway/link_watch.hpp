#pragma once

#include <cstdint>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Settings of a link's watch.
struct link_watch_settings {
    /// What the link carries each way; zero if that isn't known, and then it is never full.
    double bytes_per_second = 0.0;
    /// How long it is full before callers are sent away. A body of the largest kind fills 10 Mbit/s
    /// for 40 ms and is no reason to.
    microseconds patience = milliseconds(150);
    /// How long callers are sent away then: the platform takes two seconds to lead them elsewhere.
    /// Twice as long each time that the link is full again soon after, up to a bound.
    microseconds first_length = milliseconds(3500);
    microseconds longest_length = milliseconds(8000);
    microseconds soon = milliseconds(5000);
};

/// Notices when the link of a small entry is full. The load it answers: one account's callers all
/// hang at one entry of 10 Mbit/s and send it twice what its link carries; what is small then waits
/// behind what is large, answers reach nobody, and messages of the fleet come so late that keepers
/// and homes are taken for lost. Sending the callers away for some seconds gave 0.90 in place of
/// 0.77 of what a day's requests are worth where an account sent 2.3 times its usual for 6 s to one
/// of 31 entries, and 0.86 in place of 0.67 at the day's highest load (processor
/// time left out; other seeds 0.90 to 0.93 and 0.86 to 0.91). Refusing the large requests at once
/// in its place gave 0.84 and 0.82, since they come back; closing new connections unread 0.81 and
/// 0.83.
class link_watch {
public:
    explicit link_watch(link_watch_settings settings) : settings_(settings) {}

    /// What the process's connections have carried until now.
    void observe(instant now, std::uint64_t received, std::uint64_t sent);

    /// The time that what was written needs to get out by the link's width.
    microseconds send_queue() const;

    /// True while the link is full in either direction.
    bool is_full() const { return full_; }

    /// True while callers should go to other entries.
    bool sheds() const { return sheds_; }

    /// The share of the link that came in of late.
    double received_share() const { return received_share_; }

private:
    void decide(instant now);

    link_watch_settings settings_;
    instant looked_{};
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;
    double received_share_ = 0.0;
    double waiting_bytes_ = 0.0;
    bool full_ = false;
    bool sheds_ = false;
    /// When it became full, or had room again.
    instant full_changed_{};
    /// Until when callers are sent away, or were the last time, and for how long.
    instant shed_until_{};
    microseconds shed_length_{};
};

}  // namespace wrenswitch
