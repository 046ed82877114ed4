#include "stand/service_stand.hpp"

#include <nlohmann/json.hpp>

namespace wrenswitch::stand {

using nlohmann::json;

result<std::unique_ptr<service_stand>> service_stand::start(event_loop& loop, std::uint16_t port,
                                                            microseconds duration) {
    std::unique_ptr<service_stand> stand(new service_stand(loop, duration));
    service_stand* self = stand.get();
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

void service_stand::handle(const http_exchange_pointer& exchange) {
    if (exchange->path() == "/counts") {
        exchange->reply(200, {{"Content-Type", "application/json"}}, counts_.to_json().dump());
        return;
    }
    if (exchange->path() == "/load") {
        exchange->reply(200, {{"Content-Type", "application/json"}}, R"({"batch":0,"queue":0})");
        return;
    }
    if (exchange->path() == "/faults") {
        set_faults(exchange);
        return;
    }
    call(exchange);
}

void service_stand::call(const http_exchange_pointer& exchange) {
    counts_.started(exchange->header("Idempotency-Key"), exchange->header("X-Client-Account"));
    loop_.call_after(duration_, [this, exchange] {
        counts_.ended();
        if (lose_replies_) {
            exchange->cut();
            return;
        }
        const json answer = {{"done", true}, {"path", exchange->path()}};
        exchange->reply(200, {{"Content-Type", "application/json"}}, answer.dump());
    });
}

void service_stand::set_faults(const http_exchange_pointer& exchange) {
    const json wanted = json::parse(exchange->body(), nullptr, false);
    if (!wanted.is_object()) {
        exchange->reply(400, {}, "a JSON object is needed");
        return;
    }
    lose_replies_ = wanted.value("lose_replies", lose_replies_);
    duration_ = milliseconds(
        wanted.value("duration_ms", std::chrono::duration_cast<milliseconds>(duration_).count()));
    exchange->reply(200, {{"Content-Type", "application/json"}}, R"({"ok":true})");
}

}  // namespace wrenswitch::stand
