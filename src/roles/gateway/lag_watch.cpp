#include "roles/gateway/lag_watch.hpp"

#include <algorithm>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// How often the lag is looked at: five times in the shortest time that overload is judged by.
constexpr microseconds look_period = milliseconds(20);

}  // namespace

lag_watch::lag_watch(event_loop& loop, std::function<std::size_t()> requests,
                     std::function<void(instant)> looked)
    : loop_(loop), requests_(std::move(requests)), looked_(std::move(looked)) {}

lag_watch::~lag_watch() {
    *alive_ = false;
}

void lag_watch::start() {
    look_later();
}

void lag_watch::look_later() {
    const instant due = monotonic_now() + look_period;
    loop_.call_after(look_period, [this, due, alive = alive_] {
        if (*alive) {
            look(std::max(microseconds(0), monotonic_now() - due));
            look_later();
        }
    });
}

void lag_watch::look(microseconds lag) {
    const instant now = monotonic_now();
    overload_.observe(now, lag);
    looked_(now);
    const bool overloaded = overload_.refused_share() > 0.0;
    if (overloaded == std::exchange(was_overloaded_, overloaded)) {
        return;
    }
    log_event(log_level::warning, overloaded ? "overloaded" : "no_longer_overloaded",
              {{"lag_ms", millis_text(lag)}, {"requests", std::to_string(requests_())}});
}

}  // namespace wrenswitch
