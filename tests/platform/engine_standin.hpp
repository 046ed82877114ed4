#pragma once

#include <algorithm>
#include <memory>
#include <set>
#include <string>

#include "platform/worker_standin.hpp"

namespace wrenswitch::testing {

/// A stand-in of an engine: it processes prompts one after the other and then sends each stream an
/// event per interval.
struct engine_standin {
    static constexpr double tokens_per_ms = 36.7;
    static constexpr microseconds event_interval = milliseconds(30);
    static constexpr unsigned events = 10;

    event_loop& loop;
    worker_standin worker;
    instant busy_until{};
    /// The identifiers of the requests that ran here.
    std::set<std::string> ran;

    engine_standin(event_loop& used_loop, const std::string& id)
        : loop(used_loop), worker(used_loop, id) {
        worker.answer = [this](const ingress_exchange_pointer& exchange) { serve(exchange); };
    }

    /// The entry in the platform's list of workers.
    std::string list_entry(const std::string& service) const {
        std::string text = worker.list_entry(service);
        const std::string slots = R"("slots":6)";
        return text.replace(text.find(slots), slots.size(), R"("slots":64)");
    }

    void serve(const ingress_exchange_pointer& exchange) {
        ran.insert(std::string(exchange->head().header("Request-Id")));
        const double prompt = std::stod(std::string(exchange->head().header("Token-Usage")));
        const instant now = monotonic_now();
        busy_until = std::max(now, busy_until) + from_seconds(prompt / tokens_per_ms / 1000.0);
        loop.call_after(busy_until - now, [this, exchange] {
            exchange->begin_answer(200, worker.signed_headers(exchange));
            send_events(exchange, 1);
        });
    }

    void send_events(const ingress_exchange_pointer& exchange, unsigned number) {
        exchange->send_piece("id: " + std::to_string(number) + "\ndata: e\n\n");
        if (number == events) {
            exchange->end_answer();
            return;
        }
        loop.call_after(event_interval,
                        [this, exchange, number] { send_events(exchange, number + 1); });
    }
};

}  // namespace wrenswitch::testing
