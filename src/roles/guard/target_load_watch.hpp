#pragma once

#include <memory>

#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_client.hpp"

namespace wrenswitch {

/// What a target last said of its load; -1 where it says nothing.
struct target_load {
    double batch = -1.0;
    double queue = -1.0;
    double memory = -1.0;
};

/// Asks a target for its load, one call at a time.
class target_load_watch {
public:
    target_load_watch(event_loop& loop, http_client& target) : loop_(loop), target_(target) {}

    /// Asks, unless an answer is still awaited.
    void poll();

    const target_load& last() const { return last_; }

private:
    void take_in(const result<http_reply>& reply);

    event_loop& loop_;
    http_client& target_;
    target_load last_;
    std::unique_ptr<http_call> call_;
};

}  // namespace wrenswitch
