#include "wrenswitch/decision/gateway/link_congestion_detector.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// The time constant of the average receive rate: the transmission time of several bodies of the
/// maximum size.
constexpr microseconds receive_rate_time_constant = milliseconds(200);

/// The link counts as full above this share of its capacity in received data. It is below 1 because
/// packet headers are not counted here.
constexpr double full_received_share = 0.88;

/// The link stops counting as full below this share.
constexpr double clear_received_share = 0.6;

/// The send queue delays at which the link counts as full, and below which it stops counting as
/// full. Messages between hosts time out after 20 ms at the earliest.
constexpr microseconds full_send_queue = milliseconds(60);
constexpr microseconds clear_send_queue = milliseconds(15);

/// What a shared link carries at most if link sharing works: 0.85 of its capacity on average, and
/// bursts of 100 ms from accounts below their shares.
constexpr double overrun_received_share = 0.97;
constexpr microseconds overrun_send_queue = milliseconds(250);

/// After a longer pause between samples the elapsed time says nothing about the load of the link.
constexpr microseconds max_sample_interval = seconds(1);

}  // namespace

void link_congestion_detector::observe(instant now, std::uint64_t received, std::uint64_t sent) {
    const microseconds elapsed = now - last_sample_;
    const bool is_valid_sample = last_sample_ != instant{} && elapsed > microseconds(0) &&
                                 elapsed < max_sample_interval && settings_.bytes_per_second > 0.0;
    if (is_valid_sample) {
        const double capacity = settings_.bytes_per_second * as_seconds(elapsed);
        const double share = static_cast<double>(received - received_) / capacity;
        const double weight =
            1.0 - std::exp(-as_seconds(elapsed) / as_seconds(receive_rate_time_constant));
        received_share_ += weight * (share - received_share_);
        send_queue_bytes_ =
            std::max(0.0, send_queue_bytes_ + static_cast<double>(sent - sent_) - capacity);
        update_state(now);
    }
    last_sample_ = now;
    received_ = received;
    sent_ = sent;
}

microseconds link_congestion_detector::send_queue_delay() const {
    if (settings_.bytes_per_second <= 0.0) {
        return microseconds(0);
    }
    constexpr double microseconds_per_second = 1e6;
    return microseconds(static_cast<std::int64_t>(send_queue_bytes_ / settings_.bytes_per_second *
                                                  microseconds_per_second));
}

bool link_congestion_detector::is_overrun() const {
    return received_share_ > overrun_received_share || send_queue_delay() > overrun_send_queue;
}

void link_congestion_detector::update_state(instant now) {
    const bool above_full =
        received_share_ > full_received_share || send_queue_delay() > full_send_queue;
    const bool below_clear =
        received_share_ < clear_received_share && send_queue_delay() < clear_send_queue;
    full_ = full_ ? !below_clear : above_full;
    const bool has_cause = settings_.is_shared ? is_overrun() : full_;
    if (has_cause != has_shed_cause_) {
        has_shed_cause_ = has_cause;
        shed_cause_changed_at_ = now;
    }
    if (shedding_) {
        shedding_ = now < shed_until_;
        return;
    }
    const bool is_due = has_shed_cause_ && now - shed_cause_changed_at_ >= settings_.shed_delay;
    shedding_withheld_ = is_due && !shedding_allowed_;
    if (!is_due || !shedding_allowed_) {
        return;
    }
    const bool is_repeat =
        shed_duration_ > microseconds(0) && now - shed_until_ < settings_.repeat_window;
    shed_duration_ = is_repeat ? std::min(shed_duration_ * 2, settings_.max_shed_duration)
                               : settings_.initial_shed_duration;
    shedding_ = true;
    shed_until_ = now + shed_duration_;
}

}  // namespace wrenswitch
