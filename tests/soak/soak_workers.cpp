// What the stand-ins of workers answer.

#include "soak/soak_fleet.hpp"

namespace wrenswitch::testing {
namespace {

/// The first worker of each service is in one failure domain and region, the second in another.
bool is_south(const worker_standin& worker) {
    return worker.id().ends_with("2");
}

}  // namespace

std::string soak_fleet::entry_of(const worker_standin& worker, int cold_left_ms) {
    const std::string& id = worker.id();
    return worker.list_entry(id.substr(0, 3), "ready", is_south(worker) ? "z2" : "z1",
                             cold_left_ms);
}

void soak_fleet::serve(worker_standin& worker, const ingress_exchange_pointer& exchange) {
    if (ends_worker(worker, exchange)) {
        return;
    }
    if (says_something(worker, exchange) || turns_away(worker, exchange)) {
        return;
    }
    const std::string id(exchange->head().header("Request-Id"));
    runs_[id] += 1;
    arrivals_[worker.id()].push_back(monotonic_now());
    check_region(worker, exchange->head());
    const bool cuts = random_.unit() < cut_share_;
    if (exchange->head().target.starts_with("/stream/")) {
        // The prompt counts once a request, the events as they are handed out.
        handed_out_ += (runs_[id] == 1 ? prompt : 0) + 3;
        exchange->begin_answer(200, worker.signed_headers(exchange));
        exchange->send_piece(stream_event(1));
        const microseconds pause = milliseconds(5 + static_cast<std::int64_t>(random_.below(60)));
        loop.call_after(pause, [this, exchange, cuts] {
            if (cuts) {
                exchange->cut();
                return;
            }
            handed_out_ += 3;
            exchange->send_piece(stream_event(2));
            exchange->end_answer();
        });
        return;
    }
    if (cuts) {
        exchange->cut();
        return;
    }
    exchange->answer(200, worker.signed_headers(exchange), "body of " + id);
}

/// Counts what reaches a plain worker, and answers it at once if it is turned away.
bool soak_fleet::turns_away(const worker_standin& worker,
                            const ingress_exchange_pointer& exchange) {
    if (!worker.id().starts_with("app")) {
        return false;
    }
    const std::string id(exchange->head().header("Request-Id"));
    plain_arrivals_[id] += 1;
    if (plain_arrivals_[id] > 1) {
        plain_retries_.push_back(monotonic_now());
    }
    if (turned_away_share_ == 0.0 || turned_away_.unit() >= turned_away_share_) {
        return false;
    }
    std::vector<http_header> headers = worker.signed_headers(exchange);
    headers.push_back({"Not-Executed", "1"});
    exchange->answer(503, headers, "");
    return true;
}

void soak_fleet::check_region(const worker_standin& worker, const message_head& head) {
    const bool bound =
        head.target.find("/south/") != std::string::npos || head.header("Tenant") == "southern";
    bound_runs_ += bound ? 1 : 0;
    if (bound && !is_south(worker)) {
        broken_.push_back("a bound request reached another region: " +
                          std::string(head.header("Request-Id")));
    }
}

}  // namespace wrenswitch::testing
