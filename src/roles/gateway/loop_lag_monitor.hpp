#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "wrenswitch/decision/gateway/overload_detector.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch {

/// A timer that fires later than this shows that the process itself lags, so that a reply it waits
/// for may have arrived and not been read yet.
constexpr microseconds late_timer_threshold = milliseconds(15);

/// Measures how late the event loop runs its timers, detects overload from this lag, and logs when
/// the process becomes overloaded or ceases to be.
class loop_lag_monitor {
public:
    /// The loop must outlive this. `active_requests` returns the number of active requests, for the
    /// log; `on_sample` is called after each measurement.
    loop_lag_monitor(event_loop& loop, std::function<std::size_t()> active_requests,
                     std::function<void(instant)> on_sample);
    ~loop_lag_monitor();
    loop_lag_monitor(const loop_lag_monitor&) = delete;
    loop_lag_monitor& operator=(const loop_lag_monitor&) = delete;

    void start();

    const overload_detector& overload() const { return overload_; }

private:
    void schedule_sample();
    void sample(microseconds lag);

    event_loop& loop_;
    std::function<std::size_t()> active_requests_;
    std::function<void(instant)> on_sample_;
    overload_detector overload_;
    bool was_overloaded_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
