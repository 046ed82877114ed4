#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "wrenswitch/decision/gateway/overload_watch.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch {

/// A timer that is later than this says that the process itself is behind, so that what it waits
/// for may have come and lie unread.
constexpr microseconds own_lateness = milliseconds(15);

/// Measures how late the loop comes to what is due, and tells in the log when the process begins or
/// ceases to be overloaded.
class lag_watch {
public:
    /// The loop must outlive this. `requests` counts what is under way, for the log; `looked` is
    /// called at each look.
    lag_watch(event_loop& loop, std::function<std::size_t()> requests,
              std::function<void(instant)> looked);
    ~lag_watch();
    lag_watch(const lag_watch&) = delete;
    lag_watch& operator=(const lag_watch&) = delete;

    void start();

    const overload_detector& overload() const { return overload_; }

private:
    void look_later();
    void look(microseconds lag);

    event_loop& loop_;
    std::function<std::size_t()> requests_;
    std::function<void(instant)> looked_;
    overload_detector overload_;
    bool was_overloaded_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
