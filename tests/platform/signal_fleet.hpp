#pragma once

#include <algorithm>
#include <map>

#include "platform/gateway_fleet.hpp"
#include "platform/signal_record.hpp"

namespace wrenswitch::testing {

/// Some real wrengates before plain targets and engines that say something of themselves with their
/// answers, and callers at all entries.
struct signal_fleet : gateway_fleet {
    static constexpr microseconds work = milliseconds(20);

    struct caller {
        raw_socket socket;
        std::size_t entry = 0;
        instant sent{};
        instant ended{};
    };

    std::vector<std::unique_ptr<worker_standin>> plain;
    std::vector<std::unique_ptr<worker_standin>> engines;
    std::map<std::string, signal_record> records;
    /// The targets that turn all requests away, and the rest that they ask for.
    std::map<std::string, microseconds> turning_away;
    std::vector<caller> callers;
    std::size_t last_request = 0;

    explicit signal_fleet(std::size_t entry_count = 3, std::size_t target_count = 4)
        : gateway_fleet(entry_count) {
        more_settings = R"(,"retry_share":0.5)";
        configure();
        for (std::size_t number = 1; number <= target_count; ++number) {
            add(plain, "app", number);
            add(engines, "llm", number);
        }
    }

    void configure() {
        store.put("keyed.op", "config", R"({"version":1,"routes":[
            {"name":"once","host":"h.test","pathPrefix":"/once/","kind":"non_idempotent",
             "timeoutMs":2000,"targetLatencyMs":300,"service":"app","maxAttempts":1},
            {"name":"again","host":"h.test","pathPrefix":"/again/","kind":"idempotent",
             "timeoutMs":2000,"targetLatencyMs":300,"service":"app","maxAttempts":3,"priority":0},
            {"name":"later","host":"h.test","pathPrefix":"/later/","kind":"idempotent",
             "timeoutMs":2000,"targetLatencyMs":300,"service":"app","maxAttempts":3,"priority":5},
            {"name":"stream","host":"h.test","pathPrefix":"/stream/","kind":"streaming",
             "timeoutMs":3000,"targetLatencyMs":600,"service":"llm","maxAttempts":1}],
            "services":[{"name":"app","healthPath":"/health","maxConns":240},
             {"name":"llm","healthPath":"/health","maxConns":240,
              "engine":{"slots":64,"kvCapacity":1000000,"stride":3}}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000,
              "idleTimeoutMs":10000},
            "tenants":[{"name":"tenant","apiKeys":["key-1"]}]})");
    }

    void add(std::vector<std::unique_ptr<worker_standin>>& to, const std::string& service,
             std::size_t number) {
        to.push_back(
            std::make_unique<worker_standin>(loop, service + "-" + std::to_string(number)));
        worker_standin& target = *to.back();
        target.started = 1'700'000'000'000;
        target.answer = [this, &target](const ingress_exchange_pointer& exchange) {
            serve(target, exchange);
        };
        list(target, service);
    }

    void list(const worker_standin& target, const std::string& service) {
        store.put("keyed.servers", target.id(), target.list_entry(service));
    }

    /// Notes who sent it, and answers after some time with what the target says then.
    void serve(const worker_standin& target, const ingress_exchange_pointer& exchange) {
        const std::string id(exchange->head().header("Request-Id"));
        const std::size_t sender = std::stoul(id.substr(1));
        records[target.id()].arrived(monotonic_now(), sender);
        if (turning_away.contains(target.id())) {
            turn_away(target, exchange, sender);
            return;
        }
        loop.call_after(work, [this, &target, exchange, sender] {
            if (!target.said.empty()) {
                records[target.id()].told(monotonic_now(), sender);
            }
            answer(target, exchange);
        });
    }

    void turn_away(const worker_standin& target, const ingress_exchange_pointer& exchange,
                   std::size_t sender) {
        const microseconds rest = turning_away.at(target.id());
        std::vector<http_header> headers = target.signed_headers(exchange);
        headers.push_back({"Not-Executed", "1"});
        headers.push_back({"Retry-After", std::to_string(as_seconds(rest))});
        records[target.id()].asked_for_rest(monotonic_now(), sender, rest);
        exchange->answer(503, headers, "");
    }

    void answer(const worker_standin& target, const ingress_exchange_pointer& exchange) {
        if (!exchange->head().target.starts_with("/stream/")) {
            exchange->answer(200, target.signed_headers(exchange), "body");
            return;
        }
        exchange->begin_answer(200, target.signed_headers(exchange));
        exchange->send_piece("id: 1\ndata: e1\n\n");
        exchange->end_answer();
    }

    /// From now on the target says this with its answers.
    void say(worker_standin& target, std::vector<http_header> headers) {
        target.said = std::move(headers);
        records[target.id()].says_anew(monotonic_now());
    }

    void name_limit(worker_standin& target, const std::string& per_second) {
        say(target, {{"Server-Limit", per_second}});
    }

    void send(std::size_t at, const std::string& path) {
        const std::string number = std::to_string(++last_request);
        raw_socket socket = raw_socket::connect(entries[at].listen);
        std::string text = "POST " + path + " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: e" +
                           std::to_string(at) + "-" + number +
                           "\r\nCredential: key-1\r\nDeadline-Ms: 2000\r\nConnection: close\r\n";
        if (path.starts_with("/stream/")) {
            text += "Model: m\r\nToken-Usage: 100,30\r\nPrefix-Hash: aa:50," + number + ":50\r\n";
        }
        socket.send(text + "Content-Length: 0\r\n\r\n");
        callers.push_back({std::move(socket), at, monotonic_now(), {}});
    }

    void look_at_callers() {
        for (caller& each : callers) {
            if (each.ended == instant{} && each.socket.ended()) {
                each.ended = monotonic_now();
            }
        }
    }

    /// Requests at all entries in turn, with this pause between.
    void ask_for(microseconds length, microseconds pause, const std::string& path) {
        const instant until = monotonic_now() + length;
        while (monotonic_now() < until) {
            send(last_request % entries.size(), path);
            run_for(pause);
            look_at_callers();
        }
    }

    void until_answered() {
        BOOST_REQUIRE(run_until([this] {
            look_at_callers();
            return std::all_of(callers.begin(), callers.end(),
                               [](const caller& each) { return each.ended != instant{}; });
        }));
    }

    std::size_t answered(const std::string& status) {
        return static_cast<std::size_t>(
            std::count_if(callers.begin(), callers.end(), [&status](caller& each) {
                return each.socket.received().starts_with("HTTP/1.1 " + status);
            }));
    }

    /// The one that is used most now.
    worker_standin& busiest(const std::vector<std::unique_ptr<worker_standin>>& among) {
        return **std::max_element(
            among.begin(), among.end(), [this](const auto& left, const auto& right) {
                return records[left->id()].arrivals() < records[right->id()].arrivals();
            });
    }

    std::size_t got_since(const worker_standin& target, instant from) {
        std::size_t got = 0;
        for (const auto& [sender, count] : records[target.id()].senders_since(from)) {
            got += count;
        }
        return got;
    }
};

}  // namespace wrenswitch::testing
