#pragma once

#include <cstdint>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Settings of the congestion detection for one network link.
struct link_congestion_settings {
    /// The capacity of the link in each direction. Zero if unknown; the link then never counts as
    /// full.
    double bytes_per_second = 0.0;
    /// How long the link has to be full before callers are sent away. A single request body of the
    /// maximum size fills a link of 10 Mbit/s for 40 ms, which must not trigger shedding.
    microseconds shed_delay = milliseconds(150);
    /// How long callers are sent away. The platform takes two seconds to direct them to other
    /// gateways. The duration doubles up to `max_shed_duration` each time that the link is full
    /// again within `repeat_window` after the last shedding.
    microseconds initial_shed_duration = milliseconds(3500);
    microseconds max_shed_duration = milliseconds(8000);
    microseconds repeat_window = milliseconds(5000);
    /// True if link sharing keeps the use of the link at 0.85 of its capacity. Callers are then
    /// sent away only if the link carries more than that nevertheless, since a link that is full
    /// because of one account still serves the others in time.
    bool is_shared = false;
};

/// Detects that the link of a gateway with little bandwidth is full, and decides when to shed load.
/// If all callers of one account connect to one gateway with a link of 10 Mbit/s and send twice
/// what it carries, small messages queue behind large ones, responses do not reach the callers, and
/// messages between hosts are so late that healthy peers are taken for failed.
///
/// Shedding moves an account that no step back can move, and protects a link that is full because
/// of many accounts. See docs/design/link-sharing.md and docs/design/entry-selection.md for what
/// was weighed.
class link_congestion_detector {
public:
    explicit link_congestion_detector(link_congestion_settings settings) : settings_(settings) {}

    /// Updates the state from the total number of bytes that the process has received and sent.
    void observe(instant now, std::uint64_t received, std::uint64_t sent);

    /// While not allowed, no shedding begins. One that is under way goes on to its end.
    void allow_shedding(bool allowed) { shedding_allowed_ = allowed; }

    /// True while callers would be sent to other gateways if shedding were allowed.
    bool is_shedding_withheld() const { return shedding_withheld_; }

    /// How long the link needs to transmit the data that is already written.
    microseconds send_queue_delay() const;

    /// True while the link is full in either direction.
    bool is_full() const { return full_; }

    /// True while callers should be sent to other gateways.
    bool is_shedding() const { return shedding_; }

    /// The share of the link's capacity that recently received data uses.
    double received_share() const { return received_share_; }

private:
    void update_state(instant now);
    bool is_overrun() const;

    link_congestion_settings settings_;
    instant last_sample_{};
    std::uint64_t received_ = 0;
    std::uint64_t sent_ = 0;
    double received_share_ = 0.0;
    double send_queue_bytes_ = 0.0;
    bool full_ = false;
    bool shedding_ = false;
    bool shedding_allowed_ = true;
    bool shedding_withheld_ = false;
    /// True while there is cause to send callers away, and since when.
    bool has_shed_cause_ = false;
    instant shed_cause_changed_at_{};
    /// The end and the duration of the current shedding, or of the last one.
    instant shed_until_{};
    microseconds shed_duration_{};
};

}  // namespace wrenswitch
