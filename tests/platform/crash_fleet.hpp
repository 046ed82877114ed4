#pragma once

#include <algorithm>

#include "platform/gateway_fleet.hpp"

namespace wrenswitch::testing {

/// Some real wrengates before plain targets that end when they begin to run a request with a
/// certain body, and are back a second later under their identifiers with a new start.
struct crash_fleet : gateway_fleet {
    /// How long after its third end a request may still reach targets without being counted.
    static constexpr microseconds contact = seconds(3);
    static constexpr std::size_t most_after_contact = 3;
    static constexpr microseconds away = seconds(1);
    static constexpr const char* crashing = "ends its target";

    std::vector<std::unique_ptr<worker_standin>> targets;
    /// When targets ended under the crashing request.
    std::vector<instant> ends;
    /// When the crashing request reached a target.
    std::vector<instant> arrivals;
    std::size_t last_request = 0;

    explicit crash_fleet(std::size_t entry_count = 3, std::size_t target_count = 6)
        : gateway_fleet(entry_count) {
        more_settings = R"(,"retry_share":0.5)";
        configure();
        for (std::size_t number = 1; number <= target_count; ++number) {
            targets.push_back(
                std::make_unique<worker_standin>(loop, "i-" + std::to_string(number)));
            worker_standin& target = *targets.back();
            target.started = 1'700'000'000'000;
            target.answer = [this, &target](const ingress_exchange_pointer& exchange) {
                serve(target, exchange);
            };
            list(target);
        }
    }

    void configure() {
        store.put("keyed.op", "config", R"({"version":1,"routes":[
            {"name":"once","host":"h.test","pathPrefix":"/once/","kind":"non_idempotent",
             "timeoutMs":2000,"service":"app","maxAttempts":1},
            {"name":"again","host":"h.test","pathPrefix":"/again/","kind":"idempotent",
             "timeoutMs":2000,"service":"app","maxAttempts":2}],
            "services":[{"name":"app","healthPath":"/health","maxConns":240}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000,
              "idleTimeoutMs":10000},
            "tenants":[{"name":"tenant","apiKeys":["key-1"]},
             {"name":"other","apiKeys":["key-2"]}]})");
    }

    void list(const worker_standin& target) {
        store.put("keyed.servers", target.id(), target.list_entry("app"));
    }

    void serve(worker_standin& target, const ingress_exchange_pointer& exchange) {
        if (exchange->body() != crashing) {
            loop.call_after(milliseconds(30), [&target, exchange] {
                exchange->answer(200, target.signed_headers(exchange), "body");
            });
            return;
        }
        arrivals.push_back(monotonic_now());
        loop.call_after(milliseconds(10), [this, &target] {
            if (target.runs()) {
                ends.push_back(monotonic_now());
                end(target);
            }
        });
    }

    /// A target's process ends; it is back a second later.
    void end(worker_standin& target) {
        target.crash();
        loop.call_after(away, [this, &target] {
            target.start_again();
            list(target);
        });
    }

    raw_socket send(const entry& to, const std::string& path, const std::string& body,
                    const std::string& key = "key-1") {
        raw_socket caller = raw_socket::connect(to.listen);
        caller.send("POST " + path + " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: r" +
                    std::to_string(++last_request) + "\r\nCredential: " + key +
                    "\r\nDeadline-Ms: 2000\r\nConnection: close\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
        return caller;
    }

    /// The whole answer.
    std::string ask(const entry& at, const std::string& path, const std::string& body,
                    const std::string& key = "key-1") {
        raw_socket caller = send(at, path, body, key);
        BOOST_REQUIRE(run_until([&] { return caller.ended(); }, seconds(4)));
        return caller.received();
    }

    /// The crashing request so often, each time at the next entry, with a pause between.
    void ask_crashing(std::size_t count, const std::string& path,
                      microseconds pause = milliseconds(150)) {
        for (std::size_t turn = 0; turn < count; ++turn) {
            ask(entries[turn % entries.size()], path, crashing);
            run_for(pause);
        }
    }

    bool all_run() const {
        return std::all_of(targets.begin(), targets.end(),
                           [](const auto& target) { return target->runs(); });
    }

    /// Until all targets are listed with their present lives everywhere.
    void until_all_run() {
        BOOST_REQUIRE(run_until([this] { return all_run(); }));
        run_for(milliseconds(400));
    }

    /// How often the crashing request reached a target later than it may after its third end.
    std::size_t reached_after_contact() const {
        if (ends.size() < 3) {
            return 0;
        }
        const instant from = ends[2] + contact;
        return static_cast<std::size_t>(std::count_if(arrivals.begin(), arrivals.end(),
                                                      [from](instant at) { return at > from; }));
    }
};

}  // namespace wrenswitch::testing
