#include "stand/weight_store_stand.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch::stand {

result<std::unique_ptr<weight_store_stand>> weight_store_stand::start(event_loop& loop,
                                                                      std::uint16_t port,
                                                                      double loads_a_second) {
    std::unique_ptr<weight_store_stand> stand(new weight_store_stand(loads_a_second));
    weight_store_stand* self = stand.get();
    http_server_settings settings;
    settings.port = port;
    auto server = http_server::start(
        loop, settings, [self](const http_exchange_pointer& exchange) { self->handle(exchange); });
    if (!server) {
        return server.error();
    }
    stand->server_ = std::move(server.value());
    return stand;
}

void weight_store_stand::handle(const http_exchange_pointer& exchange) {
    constexpr std::string_view prefix = "/v1/weights/";
    if (exchange->path().substr(0, prefix.size()) != prefix) {
        exchange->reply(404, {}, "");
        return;
    }
    const instant now = monotonic_now();
    allowance_ = std::min(1.0, allowance_ + as_seconds(now - last_) * loads_a_second_);
    last_ = now;
    if (allowance_ < 1.0) {
        const auto wait = static_cast<int>(std::ceil((1.0 - allowance_) / loads_a_second_));
        exchange->reply(429, {{"Retry-After", std::to_string(wait)}}, "");
        return;
    }
    allowance_ -= 1.0;
    exchange->reply(200, {{"Content-Type", "application/octet-stream"}}, "weights");
}

}  // namespace wrenswitch::stand
