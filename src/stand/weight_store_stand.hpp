#pragma once

#include <cstdint>
#include <memory>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch::stand {

/// A stand-in of the rate-limited weight store: GET /v1/weights/NAME succeeds at most so many times
/// a second and otherwise says when to come back.
class weight_store_stand {
public:
    static result<std::unique_ptr<weight_store_stand>> start(event_loop& loop, std::uint16_t port,
                                                             double loads_a_second);

    std::uint16_t port() const { return server_->port(); }

private:
    explicit weight_store_stand(double loads_a_second)
        : loads_a_second_(loads_a_second), allowance_(1.0), last_(monotonic_now()) {}

    void handle(const http_exchange_pointer& exchange);

    double loads_a_second_;
    double allowance_;
    instant last_;
    std::unique_ptr<http_server> server_;
};

}  // namespace wrenswitch::stand
