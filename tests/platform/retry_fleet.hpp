#pragma once

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/store_standin.hpp"
#include "platform/worker_standin.hpp"
#include "support/child_process.hpp"
#include "support/fixed_port.hpp"
#include "support/loop_runner.hpp"
#include "support/raw_socket.hpp"
#include "wrenswitch/core/random_source.hpp"

namespace wrenswitch::testing {

/// Some real wrengates of one deployment before three plain targets that turn most requests away
/// unrun, and callers that ask each request once.
struct retry_fleet : loop_runner {
    struct entry {
        std::string name;
        std::uint16_t listen = 0;
        std::uint16_t admin = 0;
        std::uint16_t bus = 0;
        std::string settings_file;
        std::unique_ptr<test::child_process> process;
    };

    static constexpr double share = 0.2;
    static constexpr double slack = 20.0;
    static constexpr double turned_away = 0.9;

    store_standin store{loop};
    random_source random{45};
    std::vector<std::unique_ptr<worker_standin>> targets;
    std::vector<entry> entries;
    std::size_t requests = 0;

    explicit retry_fleet(std::size_t count) {
        configure();
        for (const char* id : {"i-1", "i-2", "i-3"}) {
            targets.push_back(std::make_unique<worker_standin>(loop, id));
            turn_most_away(*targets.back());
            store.put("keyed.servers", id, targets.back()->list_entry("app"));
        }
        for (std::size_t number = 0; number < count; ++number) {
            add_entry();
        }
    }

    ~retry_fleet() {
        for (entry& each : entries) {
            each.process.reset();
            std::remove(each.settings_file.c_str());
        }
    }

    void configure() {
        store.put("keyed.op", "config", R"({"version":1,"routes":[
            {"name":"once","host":"h.test","pathPrefix":"/once/","kind":"non_idempotent",
             "timeoutMs":2000,"service":"app","maxAttempts":1}],
            "services":[{"name":"app","healthPath":"/health","maxConns":240}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000,
              "idleTimeoutMs":10000},
            "tenants":[{"name":"tenant","apiKeys":["key-1"],"prepaid":100000}]})");
    }

    void turn_most_away(worker_standin& target) {
        target.answer = [this, &target](const ingress_exchange_pointer& exchange) {
            std::vector<http_header> headers = target.signed_headers(exchange);
            const bool refuses = random.unit() < turned_away;
            if (refuses) {
                headers.push_back({"Not-Executed", "1"});
            }
            exchange->answer(refuses ? 503 : 200, headers, "body");
        };
    }

    void add_entry() {
        entry& added = entries.emplace_back();
        added.name = "front-" + std::to_string(entries.size());
        added.listen = fixed_port();
        added.admin = fixed_port();
        added.bus = fixed_port();
        added.settings_file = "/tmp/wrenretry_test_" + std::to_string(added.listen) + ".json";
    }

    /// Starts a gateway without waiting for it; one that runs is killed.
    void launch(entry& each) {
        each.process.reset();
        std::ofstream(each.settings_file)
            << R"({"host":")" << each.name << R"(","failure_domain":"z1","listen":"127.0.0.1:)"
            << each.listen << R"(","admin":"127.0.0.1:)" << each.admin << R"(","service":")"
            << store.address() << R"(","bus_endpoint":"tcp://127.0.0.1:)" << each.bus
            << R"(","retry_share":)" << share << R"(,"retry_slack":)" << slack
            << R"(,"longest_drain_ms":3000,"listen_after_stop_ms":300})";
        each.process = std::make_unique<test::child_process>(
            std::vector<std::string>{WRENSWITCH_BINARIES "/wrengate", "--settings",
                                     each.settings_file},
            each.settings_file + ".log");
    }

    /// Starts all of them and waits until each takes callers and has heard of the others.
    void start_all() {
        for (entry& each : entries) {
            launch(each);
        }
        for (const entry& each : entries) {
            BOOST_REQUIRE_MESSAGE(run_until([&] { return is_ready(each); }, seconds(10)),
                                  each.process->output());
        }
        const std::string last = "member_joined host=" + entries.back().name;
        for (const entry& each : entries) {
            BOOST_REQUIRE(
                run_until([&] { return each.process->output().find(last) != std::string::npos; }));
        }
    }

    bool is_ready(const entry& each) {
        return raw_ask(each.admin, "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                   .find(" 200 ") != std::string::npos;
    }

    std::string raw_ask(std::uint16_t port, const std::string& text) {
        raw_socket socket = raw_socket::connect(port);
        socket.send(text);
        run_until([&] { return socket.ended(); }, seconds(2));
        return socket.received();
    }

    /// So many requests at each entry, at once, and their ends.
    void ask_each(std::size_t count) {
        std::vector<raw_socket> callers;
        for (const entry& each : entries) {
            for (std::size_t number = 0; number < count; ++number) {
                callers.push_back(raw_socket::connect(each.listen));
                callers.back().send(
                    "POST /once/x HTTP/1.1\r\nHost: h.test\r\nRequest-Id: r" +
                    std::to_string(++requests) +
                    "\r\nCredential: key-1\r\nDeadline-Ms: 2000\r\nConnection: close\r\n"
                    "Content-Length: 2\r\n\r\nhi");
            }
        }
        for (raw_socket& caller : callers) {
            BOOST_REQUIRE(run_until([&] { return caller.ended(); }, seconds(5)));
        }
    }

    /// What the targets got beyond the first of each request.
    std::size_t retries_seen() const {
        std::map<std::string, std::size_t> arrivals;
        std::size_t all = 0;
        for (const auto& target : targets) {
            for (const message_head& head : target->seen) {
                arrivals[std::string(head.header("Request-Id"))] += 1;
                all += 1;
            }
        }
        return all - arrivals.size();
    }

    /// What may be seen while the fleet has run for less than the bound's window.
    double retries_allowed() const { return share * static_cast<double>(requests) + slack; }

    /// The sum of a counter over all entries.
    double sum_of(const std::string& figure) {
        double sum = 0.0;
        for (const entry& each : entries) {
            const std::string text = raw_ask(
                each.admin, "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            const std::size_t at = text.find("\nwrenswitch_" + figure + " ");
            sum += at == std::string::npos ? 0.0
                                           : std::stod(text.substr(text.find(' ', at + 1) + 1, 20));
        }
        return sum;
    }
};

}  // namespace wrenswitch::testing
