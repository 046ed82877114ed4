#pragma once

#include <cstdint>
#include <memory>

#include "stand/target_counts.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch::stand {

/// A stand-in of a plain service. It answers every call and counts the runs of each key.
class service_stand {
public:
    static result<std::unique_ptr<service_stand>> start(event_loop& loop, std::uint16_t port,
                                                        microseconds duration);

    std::uint16_t port() const { return server_->port(); }

private:
    service_stand(event_loop& loop, microseconds duration) : loop_(loop), duration_(duration) {}

    void handle(const http_exchange_pointer& exchange);
    void call(const http_exchange_pointer& exchange);
    void set_faults(const http_exchange_pointer& exchange);

    event_loop& loop_;
    microseconds duration_;
    target_counts counts_;
    std::unique_ptr<http_server> server_;
    bool lose_replies_ = false;
};

}  // namespace wrenswitch::stand
