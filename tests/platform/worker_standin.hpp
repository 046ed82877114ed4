#pragma once

#include <functional>
#include <string>
#include <vector>

#include "wrenswitch/drivers/ingress_server.hpp"

namespace wrenswitch::testing {

/// A stand-in of one of the platform's workers. It checks whom a request expects, keeps what it was
/// sent, and answers as a test says; by default with its own name and the request's identifier.
class worker_standin {
public:
    worker_standin(event_loop& loop, std::string id) : id_(std::move(id)) {
        server_ =
            std::move(ingress_server::start(
                          loop, "127.0.0.1", 0, [] { return ingress_limits{}; },
                          [this](const ingress_exchange_pointer& exchange) { serve(exchange); })
                          .value());
    }

    const std::string& id() const { return id_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(server_->port()); }

    /// What the platform's list says of this worker.
    std::string list_entry(const std::string& service, const std::string& state = "ready",
                           const std::string& zone = "z1", int cold_left_ms = 0) const {
        return R"({"service":")" + service + R"(","addr":")" + address() + R"(","zone":")" + zone +
               R"(","slots":6,"coldLeftMs":)" + std::to_string(cold_left_ms) + R"(,"state":")" +
               state + R"(","seq":1})";
    }

    /// The headers of each answer of this worker's own.
    std::vector<http_header> signed_headers(const ingress_exchange_pointer& exchange) const {
        return {{"Request-Id", std::string(exchange->head().header("Request-Id"))},
                {"Server-Stamp", "stamp-" + id_},
                {"Load-Report", "1,0,6"}};
    }

    /// The answer, if a test wants another.
    std::function<void(const ingress_exchange_pointer&)> answer;
    /// Every request that expected this worker.
    std::vector<message_head> seen;
    std::vector<ingress_exchange_pointer> exchanges;

private:
    void serve(const ingress_exchange_pointer& exchange) {
        const std::string_view expected = exchange->head().header("Expect-Instance");
        if (!expected.empty() && expected != id_) {
            exchange->answer(421, signed_headers(exchange), "");
            return;
        }
        seen.push_back(exchange->head());
        exchanges.push_back(exchange);
        if (answer) {
            answer(exchange);
            return;
        }
        exchange->answer(200, signed_headers(exchange), "body of " + id_);
    }

    std::string id_;
    std::unique_ptr<ingress_server> server_;
};

}  // namespace wrenswitch::testing
