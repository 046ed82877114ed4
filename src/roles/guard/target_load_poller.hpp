#pragma once

#include <memory>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_client.hpp"

namespace wrenswitch {

/// The load that a target last reported; -1 for values that it does not report.
struct target_load {
    double batch = -1.0;
    double queue = -1.0;
    double memory = -1.0;
};

/// Polls a target for its load, with at most one call in flight.
class target_load_poller {
public:
    target_load_poller(event_loop& loop, http_client& target) : loop_(loop), target_(target) {}

    /// Sends a load request unless one is still in flight.
    void poll();

    const target_load& latest() const { return latest_; }

private:
    void update_load(const result<http_reply>& reply);

    event_loop& loop_;
    http_client& target_;
    target_load latest_;
    instant sent_at_{};
    std::unique_ptr<http_call> call_;
};

}  // namespace wrenswitch
