#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/ingress_server.hpp"

namespace wrenswitch::testing {

/// A stand-in of one of the platform's workers. It checks whom a request expects, keeps what it was
/// sent, and answers as a test says; by default with its own name and the request's identifier.
class worker_standin {
public:
    worker_standin(event_loop& loop, std::string id) : loop_(loop), id_(std::move(id)) { listen(); }

    /// Ends like a process that is killed: its connections close, and nothing listens.
    void crash() {
        for (const ingress_exchange_pointer& exchange : exchanges) {
            exchange->cut();
        }
        exchanges.clear();
        server_->stop_listening();
        // What a test still holds of its exchanges refers to it.
        ended_servers_.push_back(std::move(server_));
        under_way_ = 0;
        alive_ = std::make_shared<bool>(true);
    }

    bool runs() const { return server_ != nullptr; }

    /// Starts again under the same identifier and address.
    void start_again() {
        started += 1000;
        listen();
    }

    const std::string& id() const { return id_; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    /// What the platform's list says of this worker.
    std::string list_entry(const std::string& service, const std::string& state = "ready",
                           const std::string& zone = "z1", int cold_left_ms = 0) const {
        return R"({"service":")" + service + R"(","addr":")" + address() + R"(","zone":")" + zone +
               R"(","slots":6,"coldLeftMs":)" + std::to_string(cold_left_ms) + R"(,"state":")" +
               state + (version.empty() ? "" : R"(","version":")" + version) + R"(","seq":1)" +
               (started == 0 ? "" : R"(,"born":)" + std::to_string(started)) + "}";
    }

    /// The headers of each answer of this worker's own.
    std::vector<http_header> signed_headers(const ingress_exchange_pointer& exchange) const {
        std::vector<http_header> headers{
            {"Request-Id", std::string(exchange->head().header("Request-Id"))},
            {"Server-Stamp", "stamp-" + id_},
            {"Load-Report", load}};
        headers.insert(headers.end(), said.begin(), said.end());
        return headers;
    }

    /// Running and waiting requests and slots, and the slowdown in percent if it reports one.
    std::string load = "1,0,6";

    /// What it says of itself besides with each answer.
    std::vector<http_header> said;

    /// When its process started, in Unix milliseconds; zero if it doesn't say.
    std::int64_t started = 0;

    /// Of its software; empty if it doesn't say.
    std::string version;

    /// What is wrong with its software. All that is said has to hold for an answer to be bad.
    struct flaws {
        /// The share of answers that are failures, and how much later the others come.
        double failing = 0.0;
        microseconds slower{};
        /// From then on, on paths that begin so, with more than so many requests under way.
        instant from{};
        std::string path;
        std::size_t above = 0;
    };
    flaws wrong;
    /// How long an answer takes.
    microseconds work{};

    /// When a request came, by its number in `seen`, and which answers were bad.
    struct arrival {
        instant at{};
        bool bad = false;
    };
    std::vector<arrival> arrivals;

    /// The answer, if a test wants another.
    std::function<void(const ingress_exchange_pointer&)> answer;
    /// Every request that expected this worker.
    std::vector<message_head> seen;
    std::vector<ingress_exchange_pointer> exchanges;

private:
    void listen() {
        server_ =
            std::move(ingress_server::start(
                          loop_, "127.0.0.1", port_, [] { return ingress_limits{}; },
                          [this](const ingress_exchange_pointer& exchange) { serve(exchange); })
                          .value());
        port_ = server_->port();
    }

    void serve(const ingress_exchange_pointer& exchange) {
        const std::string_view expected = exchange->head().header("Expect-Instance");
        if (!expected.empty() && expected != id_) {
            exchange->answer(421, signed_headers(exchange), "");
            return;
        }
        seen.push_back(exchange->head());
        exchanges.push_back(exchange);
        arrivals.push_back({monotonic_now(), false});
        if (answer) {
            answer(exchange);
            return;
        }
        under_way_ += 1;
        const bool flawed = is_flawed(exchange->head().target);
        const bool failing = flawed && random_.unit() < wrong.failing;
        const bool slow = flawed && wrong.slower > microseconds(0);
        arrivals.back().bad = failing || slow;
        const microseconds takes = work + (slow ? wrong.slower : microseconds(0));
        if (takes == microseconds(0)) {
            end(exchange, failing);
            return;
        }
        loop_.call_after(takes, [this, exchange, failing, alive = std::weak_ptr(alive_)] {
            if (!alive.expired()) {
                end(exchange, failing);
            }
        });
    }

    bool is_flawed(std::string_view path) const {
        return (wrong.failing > 0.0 || wrong.slower > microseconds(0)) &&
               monotonic_now() >= wrong.from && path.starts_with(wrong.path) &&
               under_way_ > wrong.above;
    }

    void end(const ingress_exchange_pointer& exchange, bool failing) {
        under_way_ -= 1;
        exchange->answer(failing ? 500 : 200, signed_headers(exchange), "body of " + id_);
    }

    event_loop& loop_;
    random_source random_{7};
    std::size_t under_way_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    std::string id_;
    std::uint16_t port_ = 0;
    std::vector<std::unique_ptr<ingress_server>> ended_servers_;
    std::unique_ptr<ingress_server> server_;
};

}  // namespace wrenswitch::testing
