#include "wrenswitch/decision/gateway/link_watch.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// What came in counts for about so long: some of the largest bodies.
constexpr microseconds rate_memory = milliseconds(200);

/// A link counts as full by what comes in from this share on: heads of packets aren't counted here.
constexpr double full_share = 0.88;

/// It has room again below this one.
constexpr double free_share = 0.6;

/// What may wait to go out before it counts as full, and below which it has room: a message of the
/// fleet is waited for 20 ms at the least.
constexpr microseconds full_queue = milliseconds(60);
constexpr microseconds free_queue = milliseconds(15);

/// A pause in which nobody looked says nothing of what the link carried.
constexpr microseconds longest_look = seconds(1);

}  // namespace

void link_watch::observe(instant now, std::uint64_t received, std::uint64_t sent) {
    const microseconds passed = now - looked_;
    const bool counts = looked_ != instant{} && passed > microseconds(0) && passed < longest_look &&
                        settings_.bytes_per_second > 0.0;
    if (counts) {
        const double capacity = settings_.bytes_per_second * as_seconds(passed);
        const double share = static_cast<double>(received - received_) / capacity;
        const double weight = 1.0 - std::exp(-as_seconds(passed) / as_seconds(rate_memory));
        received_share_ += weight * (share - received_share_);
        waiting_bytes_ =
            std::max(0.0, waiting_bytes_ + static_cast<double>(sent - sent_) - capacity);
        decide(now);
    }
    looked_ = now;
    received_ = received;
    sent_ = sent;
}

microseconds link_watch::send_queue() const {
    if (settings_.bytes_per_second <= 0.0) {
        return microseconds(0);
    }
    constexpr double microseconds_a_second = 1e6;
    return microseconds(static_cast<std::int64_t>(waiting_bytes_ / settings_.bytes_per_second *
                                                  microseconds_a_second));
}

void link_watch::decide(instant now) {
    const bool over = received_share_ > full_share || send_queue() > full_queue;
    const bool under = received_share_ < free_share && send_queue() < free_queue;
    const bool full = full_ ? !under : over;
    if (full != full_) {
        full_ = full;
        full_changed_ = now;
    }
    const microseconds since = now - full_changed_;
    if (sheds_) {
        sheds_ = now < shed_until_;
        return;
    }
    if (!full_ || since < settings_.patience) {
        return;
    }
    const bool again = shed_length_ > microseconds(0) && now - shed_until_ < settings_.soon;
    shed_length_ =
        again ? std::min(shed_length_ * 2, settings_.longest_length) : settings_.first_length;
    sheds_ = true;
    shed_until_ = now + shed_length_;
}

}  // namespace wrenswitch
