// The part of a soak in which plain workers say something of themselves with their answers.

#include <csignal>

#include "soak/soak_fleet.hpp"

namespace wrenswitch::testing {
namespace {

constexpr microseconds play_length = seconds(9);
constexpr microseconds between_requests = milliseconds(10);
constexpr microseconds between_harms = milliseconds(700);
constexpr microseconds asked_rest = seconds(2);

/// The gateway that a request of this play was sent to.
std::size_t gateway_of(std::string_view id) {
    return static_cast<std::size_t>(id[std::string_view("said").size()] - '0');
}

}  // namespace

/// Notes what came and whom the answer tells. True if the worker turned the request away.
bool soak_fleet::says_something(worker_standin& worker, const ingress_exchange_pointer& exchange) {
    const std::string id(exchange->head().header("Request-Id"));
    const auto found = signal_records_.find(worker.id());
    if (!signals_played_ || found == signal_records_.end() || !id.starts_with("said")) {
        return false;
    }
    const instant now = monotonic_now();
    const std::size_t gateway = gateway_of(id);
    found->second.arrived(now, gateway);
    found->second.told(now, gateway);
    signals_told_ += 1;
    if (signal_ != signal_kind::rest) {
        return false;
    }
    found->second.asked_for_rest(now, gateway, asked_rest);
    std::vector<http_header> headers = worker.signed_headers(exchange);
    headers.push_back({"Not-Executed", "1"});
    headers.push_back({"Retry-After", std::to_string(as_seconds(asked_rest))});
    exchange->answer(503, headers, "");
    return true;
}

void soak_fleet::ask_while_signalling(std::size_t turn, std::vector<raw_socket>& callers) {
    const std::size_t index = turn % gateway_count;
    raw_socket socket = raw_socket::connect(gateways_[index].listen);
    const std::string path = turn % 2 == 0 ? "/once/x" : "/again/x";
    socket.send("GET " + path + " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: said" +
                std::to_string(index) + "-" + std::to_string(++last_id_) +
                "\r\nCredential: key-1\r\nDeadline-Ms: 1000\r\nConnection: close\r\n\r\n");
    callers.push_back(std::move(socket));
}

void soak_fleet::excuse(std::size_t index) {
    for (auto& [worker, record] : signal_records_) {
        record.excuse(index);
    }
}

void soak_fleet::harm_while_signalling() {
    const std::size_t index = signals_.below(gateway_count);
    gateway_process& gateway = gateways_[index];
    const double kind = signals_.unit();
    if (kind < 0.2) {
        gateway.process->signal(SIGKILL);
        run_until([&] { return gateway.process->ended(); });
        start_gateway(index);
        excuse(index);
    } else if (kind < 0.35) {
        gateway.process->signal(SIGSTOP);
        run_for(milliseconds(300 + static_cast<std::int64_t>(signals_.below(900))));
        gateway.process->signal(SIGCONT);
        excuse(index);
    } else if (kind < 0.55) {
        gateway.way->silent = !gateway.way->silent;
    } else if (kind < 0.7) {
        store_.silent = !store_.silent;
    } else if (kind < 0.9) {
        gateway.bus_way->silent = !gateway.bus_way->silent;
    }
}

void soak_fleet::play_signals() {
    const std::size_t kind = signals_.below(3);
    signal_ =
        kind == 0 ? signal_kind::limit : (kind == 1 ? signal_kind::rest : signal_kind::leaving);
    constexpr double limits[]{0.5, 1.5, 4.0};
    signalled_limit_ = limits[signals_.below(3)];
    const bool both = signals_.below(3) == 0;
    signals_played_ = true;
    for (const auto& worker : workers_) {
        const bool speaks = worker->id() == "app-1" || (both && worker->id() == "app-2");
        if (!speaks) {
            continue;
        }
        if (worker->started == 0) {
            // A life that doesn't say its start can't be told from the next one.
            start_anew(*worker);
            run_for(seconds(1));
        }
        signal_records_[worker->id()].says_anew(monotonic_now());
        if (signal_ == signal_kind::limit) {
            worker->said = {{"Server-Limit", std::to_string(signalled_limit_)}};
        } else if (signal_ == signal_kind::leaving) {
            worker->said = {{"Server-Leaving", "1"}};
        }
    }
    std::vector<raw_socket> callers;
    const instant until = monotonic_now() + play_length;
    instant next_harm = monotonic_now() + between_harms;
    for (std::size_t turn = 0; monotonic_now() < until; ++turn) {
        ask_while_signalling(turn, callers);
        run_for(between_requests);
        if (monotonic_now() > next_harm) {
            next_harm = monotonic_now() + between_harms;
            harm_while_signalling();
        }
    }
    check_signals();
    end_signals();
}

void soak_fleet::check_signals() {
    for (const auto& [worker, record] : signal_records_) {
        const std::string limit = std::to_string(signalled_limit_);
        if (signal_ == signal_kind::limit && static_cast<double>(record.most_from_told()) >
                                                 signal_record::allowed(signalled_limit_)) {
            broken_.push_back(worker + " named a limit of " + limit + " and got " +
                              std::to_string(record.most_from_told()) + " in a window");
        }
        if (signal_ == signal_kind::leaving && record.got_after_drained() > 0) {
            broken_.push_back(worker + " said that it leaves and got " +
                              std::to_string(record.got_after_drained()) + " later");
        }
        if (record.most_in_a_rest() > signal_record::most_in_rest) {
            broken_.push_back(worker + " asked for rest and got " +
                              std::to_string(record.most_in_a_rest()) + " in it");
        }
    }
}

/// The workers say nothing more, and those that left are back in a new life.
void soak_fleet::end_signals() {
    signals_played_ = false;
    store_.silent = false;
    for (gateway_process& gateway : gateways_) {
        gateway.way->heal();
        gateway.bus_way->heal();
    }
    for (const auto& worker : workers_) {
        if (worker->said.empty()) {
            continue;
        }
        worker->said.clear();
        start_anew(*worker);
    }
    run_for(seconds(3));
}

void soak_fleet::start_anew(worker_standin& worker) {
    worker.crash();
    worker.start_again();
    store_.put("keyed.servers", worker.id(), entry_of(worker));
}

}  // namespace wrenswitch::testing
