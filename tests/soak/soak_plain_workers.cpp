// The parts of a soak in which plain workers are cold, emptied or turn requests away.

#include <algorithm>
#include <csignal>

#include "soak/soak_fleet.hpp"

namespace wrenswitch::testing {
namespace {

/// What may reach a cold plain worker in a second at the most: half as much again as its rate,
/// and five.
constexpr std::size_t most_while_cold = 14;

/// The bound on retries, as gateways have it by default.
constexpr double retry_share = 0.1;
constexpr double retry_slack = 20.0;
constexpr microseconds retry_window = seconds(10);

}  // namespace

/// Requests to plain workers at all gateways, some 80 a second.
void soak_fleet::ask_plain_workers(microseconds length) {
    std::vector<raw_socket> sockets;
    const instant end = monotonic_now() + length;
    for (std::size_t turn = 0; monotonic_now() < end; ++turn) {
        raw_socket socket = raw_socket::connect(gateways_[turn % gateway_count].listen);
        socket.send("GET /again/x HTTP/1.1\r\nHost: h.test\r\nRequest-Id: plain" +
                    std::to_string(++last_id_) +
                    "\r\nCredential: key-1\r\nDeadline-Ms: 1000\r\nConnection: close\r\n\r\n");
        plain_sent_.push_back(monotonic_now());
        sockets.push_back(std::move(socket));
        run_for(milliseconds(12));
    }
    run_for(milliseconds(200));
}

void soak_fleet::check_cold_worker(const worker_standin& worker, instant from) {
    const std::vector<instant>& times = arrivals_[worker.id()];
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto last = std::lower_bound(first, times.end(), *first + seconds(1));
        if (*first >= from && static_cast<std::size_t>(last - first) > most_while_cold) {
            broken_.push_back(std::to_string(last - first) + " requests in a second at cold " +
                              worker.id());
            return;
        }
    }
}

void soak_fleet::play_cold_and_emptied() {
    const worker_standin& worker = *workers_[2];
    const microseconds cold = seconds(4);
    const instant turned = monotonic_now();
    store_.put("keyed.servers", worker.id(),
               entry_of(worker, static_cast<int>(cold / milliseconds(1))));
    ask_plain_workers(cold - milliseconds(500));
    check_cold_worker(worker, turned + until_known);

    store_.put("keyed.op", "evacuate/z1", "{}");
    run_for(until_known);
    const std::size_t before = arrivals_[worker.id()].size();
    ask_plain_workers(seconds(1));
    if (arrivals_[worker.id()].size() != before) {
        broken_.push_back("a request reached a worker of an emptied domain");
    }
    store_.put("keyed.op", "evacuate/z1", std::nullopt);
    const std::size_t emptied = arrivals_[worker.id()].size();
    ask_plain_workers(until_known);
    if (arrivals_[worker.id()].size() == emptied) {
        broken_.push_back("no request reached a worker of a domain that was taken back");
    }
}

void soak_fleet::play_turned_away() {
    turned_away_share_ = 0.9;
    ask_plain_workers(seconds(2));
    const std::size_t index = seed_ % gateway_count;
    gateways_[index].process->signal(SIGKILL);
    run_until([&] { return gateways_[index].process->ended(); });
    start_gateway(index);
    ask_plain_workers(seconds(3));
    turned_away_share_ = 0.0;
    check_retries();
}

/// In each window, from a retry on: no more of them than a share of the requests of that window, of
/// the one before or of the one half a window before, and the slack.
void soak_fleet::check_retries() {
    const auto count = [](const std::vector<instant>& times, instant from, instant until) {
        return static_cast<double>(std::lower_bound(times.begin(), times.end(), until) -
                                   std::lower_bound(times.begin(), times.end(), from));
    };
    for (const instant from : plain_retries_) {
        const double retries = count(plain_retries_, from, from + retry_window);
        double requests = 0.0;
        for (const microseconds back : {microseconds(0), retry_window / 2, retry_window}) {
            const instant begin = from - back;
            requests = std::max(requests, count(plain_sent_, begin, begin + retry_window));
        }
        if (retries > retry_share * requests + retry_slack) {
            broken_.push_back(std::to_string(retries) + " retries for " + std::to_string(requests) +
                              " requests at plain workers");
            return;
        }
    }
}

}  // namespace wrenswitch::testing
