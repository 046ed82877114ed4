// The part of a soak in which a request ends the workers that run it.

#include <algorithm>
#include <csignal>

#include "soak/soak_fleet.hpp"

namespace wrenswitch::testing {
namespace {

/// The request that ends the workers which run it, and how long these are away.
constexpr const char* crashing_body = "ends its worker";
constexpr microseconds worker_away = milliseconds(600);

/// So many workers may end under it before it is known, and it may reach so many more later than
/// this after the third, once nothing else is wrong.
constexpr std::size_t most_ends = 3;
constexpr std::ptrdiff_t most_after_ends = 3;
constexpr microseconds in_touch_after = seconds(3);

}  // namespace

/// A worker whose process ends with this request is back under its identifier a moment later.
bool soak_fleet::ends_worker(worker_standin& worker, const ingress_exchange_pointer& exchange) {
    if (exchange->body() != crashing_body) {
        return false;
    }
    crash_arrivals_.push_back(monotonic_now());
    loop.call_after(milliseconds(10), [this, &worker] {
        if (!worker.runs()) {
            return;
        }
        crash_ends_.push_back(monotonic_now());
        worker.crash();
        loop.call_after(worker_away, [this, &worker] {
            worker.start_again();
            store_.put("keyed.servers", worker.id(), entry_of(worker));
        });
    });
    return true;
}

void soak_fleet::ask_crashing(std::size_t index) {
    raw_socket socket = raw_socket::connect(gateways_[index].listen);
    socket.send(
        "POST /again/x HTTP/1.1\r\nHost: h.test\r\nRequest-Id: crash" + std::to_string(++last_id_) +
        "\r\nCredential: key-1\r\nDeadline-Ms: 600\r\nConnection: close\r\n"
        "Content-Length: " +
        std::to_string(std::string_view(crashing_body).size()) + "\r\n\r\n" + crashing_body);
    run_until([&] { return socket.ended(); }, milliseconds(700));
}

void soak_fleet::harm_while_crashing() {
    gateway_process& gateway = gateways_[crashing_.below(gateway_count)];
    const double kind = crashing_.unit();
    if (kind < 0.1) {
        gateway.process->signal(SIGKILL);
        run_until([&] { return gateway.process->ended(); });
        start_gateway(static_cast<std::size_t>(&gateway - gateways_.data()));
    } else if (kind < 0.2) {
        gateway.way->silent = !gateway.way->silent;
    } else if (kind < 0.25) {
        store_.silent = !store_.silent;
    } else if (kind < 0.35) {
        gateway.bus_way->silent = !gateway.bus_way->silent;
    }
}

void soak_fleet::play_crashing_request() {
    const instant until = monotonic_now() + seconds(6);
    while (monotonic_now() < until) {
        ask_crashing(crashing_.below(gateway_count));
        harm_while_crashing();
        run_for(milliseconds(static_cast<std::int64_t>(crashing_.below(200))));
    }
    store_.silent = false;
    for (gateway_process& gateway : gateways_) {
        gateway.way->heal();
        gateway.bus_way->heal();
    }
    const instant healed = monotonic_now();
    run_for(in_touch_after);
    for (std::size_t turn = 0; turn < 4 * gateway_count; ++turn) {
        ask_crashing(turn % gateway_count);
        run_for(milliseconds(150));
    }
    const instant third = crash_ends_.size() < most_ends ? instant::max() - in_touch_after
                                                         : crash_ends_[most_ends - 1];
    const instant from = std::max(healed, third) + in_touch_after;
    const auto late = std::count_if(crash_arrivals_.begin(), crash_arrivals_.end(),
                                    [from](instant at) { return at > from; });
    if (late > most_after_ends) {
        broken_.push_back("a request under which workers had ended reached workers " +
                          std::to_string(late) + " times more; " +
                          std::to_string(crash_ends_.size()) + " ended in all");
    }
    run_until([this] {
        return std::all_of(workers_.begin(), workers_.end(),
                           [](const auto& worker) { return worker->runs(); });
    });
    run_for(until_known);
}

}  // namespace wrenswitch::testing
