#include "stand/host_list_stand.hpp"

#include <nlohmann/json.hpp>

namespace wrenswitch::stand {

result<std::unique_ptr<host_list_stand>> host_list_stand::start(event_loop& loop,
                                                                std::uint16_t port,
                                                                microseconds lag) {
    std::unique_ptr<host_list_stand> stand(new host_list_stand(lag));
    host_list_stand* self = stand.get();
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

void host_list_stand::handle(const http_exchange_pointer& exchange) {
    const instant now = monotonic_now();
    if (exchange->method() == "POST") {
        if (!nlohmann::json::accept(exchange->body())) {
            exchange->reply(400, {}, "the list must be JSON");
            return;
        }
        versions_.push_back({now, std::string(exchange->body())});
        exchange->reply(200, {}, "");
        return;
    }
    while (versions_.size() > 1 && now - versions_[1].since >= lag_) {
        versions_.pop_front();
    }
    const bool visible = !versions_.empty() && now - versions_.front().since >= lag_;
    exchange->reply(200, {{"Content-Type", "application/json"}},
                    visible ? versions_.front().text : R"({"hosts":[]})");
}

}  // namespace wrenswitch::stand
