#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch::stand {

/// A stand-in of the platform's list of live and leaving hosts. POST /v1/hosts replaces the list;
/// GET shows it as it was some time ago.
class host_list_stand {
public:
    static result<std::unique_ptr<host_list_stand>> start(event_loop& loop, std::uint16_t port,
                                                          microseconds lag);

    std::uint16_t port() const { return server_->port(); }

private:
    struct version {
        instant since{};
        std::string text;
    };

    explicit host_list_stand(microseconds lag) : lag_(lag) {}

    void handle(const http_exchange_pointer& exchange);

    microseconds lag_;
    std::deque<version> versions_;
    std::unique_ptr<http_server> server_;
};

}  // namespace wrenswitch::stand
