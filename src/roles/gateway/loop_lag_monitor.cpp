#include "roles/gateway/loop_lag_monitor.hpp"

#include <algorithm>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// How often the lag is sampled: five times in the shortest period over which overload is
/// evaluated.
constexpr microseconds sample_period = milliseconds(20);

}  // namespace

loop_lag_monitor::loop_lag_monitor(event_loop& loop, std::function<std::size_t()> active_requests,
                                   std::function<void(instant)> on_sample)
    : loop_(loop), active_requests_(std::move(active_requests)), on_sample_(std::move(on_sample)) {}

loop_lag_monitor::~loop_lag_monitor() {
    *alive_ = false;
}

void loop_lag_monitor::start() {
    schedule_sample();
}

void loop_lag_monitor::schedule_sample() {
    const instant due = monotonic_now() + sample_period;
    loop_.call_after(sample_period, [this, due, alive = alive_] {
        if (*alive) {
            sample(std::max(microseconds(0), monotonic_now() - due));
            schedule_sample();
        }
    });
}

void loop_lag_monitor::sample(microseconds lag) {
    const instant now = monotonic_now();
    overload_.observe(now, lag);
    on_sample_(now);
    const bool overloaded = overload_.refused_share() > 0.0;
    if (overloaded == std::exchange(was_overloaded_, overloaded)) {
        return;
    }
    log_event(log_level::warning, overloaded ? "overloaded" : "no_longer_overloaded",
              {{"lag_ms", millis_text(lag)}, {"requests", std::to_string(active_requests_())}});
}

}  // namespace wrenswitch
