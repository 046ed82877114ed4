#pragma once

#include <cstddef>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/reported_slowdown.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"

namespace wrenswitch {

/// What a gateway has learnt of the speed of one plain target: its service time without queueing
/// and slowdown, its present slowdown, and how many requests are ahead of a new one.
class target_speed {
public:
    /// Records a load report.
    void record_load(instant now, const load_report& load);

    /// Records the time of a successful response that reported this load. It is learnt from only if
    /// the request didn't queue.
    void record_response(instant now, microseconds time, const load_report& load);

    /// Records a request that was sent.
    void record_sent() { sent_since_report_ += 1; }

    /// The present slowdown.
    double slowdown(instant now) const { return slowdown_.at(now); }

    /// True if the target has reported a slowdown within the half-life of a report.
    bool has_recent_slowdown(instant now) const { return slowdown_.is_recent(now); }

    /// The number of responses that the learnt service time is based on. It decays with the time
    /// since the last one.
    double sample_weight(instant now) const;

    /// The average service time of the samples, in ms.
    double average_ms() const { return average_ms_; }

    /// The service time in ms, which is close to `assumed_ms` if little has been learnt.
    double service_ms(instant now, double assumed_ms) const;

    /// The expected number of requests, including a new one, in excess of the target's slots.
    /// `in_flight` is the number of requests that this gateway has there.
    double expected_excess(instant now, unsigned in_flight, unsigned slots) const;

    /// The time that a new request is expected to cost, in ms: its own service time, and one more
    /// for each request in excess of the slots.
    double expected_ms(instant now, double assumed_ms, unsigned in_flight, unsigned slots) const;

private:
    double decayed_average(instant now) const;

    reported_slowdown slowdown_;
    /// The average service time of the samples, in ms, and their number up to the limit.
    double average_ms_ = 0.0;
    double samples_ = 0.0;
    instant sampled_at_{};
    /// The last reported number of requests, and the average of the reported numbers.
    double reported_requests_ = 0.0;
    double average_requests_ = 0.0;
    instant reported_at_{};
    unsigned sent_since_report_ = 0;
};

}  // namespace wrenswitch
