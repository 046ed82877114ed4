#pragma once

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "platform/gateway_fleet.hpp"
#include "support/loopback_proxy.hpp"

namespace wrenswitch::testing {

/// A real wrengate whose link to its target carries 2 Mbit/s, and callers of three accounts.
struct link_sharing_fleet : gateway_fleet {
    static constexpr double link_bytes_per_second = 250'000.0;
    static constexpr std::size_t body_bytes = 4000;

    struct call {
        std::string account;
        instant begun{};
        raw_socket socket;
    };

    struct outcome {
        std::vector<double> served_ms;
        std::size_t refused = 0;
        std::size_t other = 0;
        std::string last_refusal;
    };

    throttled_link link{link_bytes_per_second};
    worker_standin worker{loop, "i-plain"};
    std::uint16_t worker_port = static_cast<std::uint16_t>(
        std::stoul(worker.address().substr(worker.address().find(':') + 1)));
    loopback_proxy proxy{loop, worker_port};
    std::vector<call> calls;
    std::map<std::string, outcome> outcomes;
    std::size_t next_id = 0;
    /// The longest turn of this process's loop under the last load. It carries the bytes of
    /// callers, link and target, which all stand still meanwhile.
    microseconds longest_turn{};
    /// Account and begin of each request of the last load, by its id.
    std::map<std::string, std::pair<std::string, instant>> begun;

    link_sharing_fleet() : gateway_fleet(1) {
        proxy.request_link = &link;
        store.put("keyed.op", "config",
                  R"({"version":1,"routes":[{"name":"long","host":"h.test","pathPrefix":"/long/",
              "kind":"idempotent","timeoutMs":4000,"targetLatencyMs":1000,"service":"app",
              "maxAttempts":1},
             {"name":"large","host":"h.test","pathPrefix":"/large/","kind":"idempotent",
              "timeoutMs":4000,"targetLatencyMs":1000,"service":"large","maxAttempts":1},
             {"name":"dead","host":"h.test","pathPrefix":"/dead/","kind":"idempotent",
              "timeoutMs":4000,"targetLatencyMs":1000,"service":"dead","maxAttempts":2}],
            "services":[{"name":"app","healthPath":"/health","maxConns":600},
             {"name":"large","healthPath":"/health","maxConns":600},
             {"name":"dead","healthPath":"/health","maxConns":600}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":100000,"headerTimeoutMs":1000,
              "idleTimeoutMs":10000},
            "tenants":[{"name":"a","apiKeys":["key-a"]},{"name":"b","apiKeys":["key-b"]},
              {"name":"flood","apiKeys":["key-flood"]}]})");
        std::string listed = worker.list_entry("app");
        listed.replace(listed.find(worker.address()), worker.address().size(),
                       "127.0.0.1:" + std::to_string(proxy.port()));
        store.put("keyed.servers", worker.id(), listed);
    }

    void begin(const std::string& account, const std::string& path = "/long/x",
               const std::string& more_headers = "", std::size_t bytes = body_bytes) {
        raw_socket socket = raw_socket::connect(entries[0].listen);
        socket.send("POST " + path + " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: r" +
                    std::to_string(next_id++) + "\r\nCredential: key-" + account + "\r\n" +
                    more_headers + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" +
                    std::string(bytes, 'x'));
        calls.push_back({account, monotonic_now(), std::move(socket)});
        begun["r" + std::to_string(next_id - 1)] = {account, calls.back().begun};
    }

    void collect() {
        std::erase_if(calls, [this](call& each) {
            const std::string& text = each.socket.received();
            if (text.find("\r\n\r\n") == std::string::npos && !each.socket.ended()) {
                return false;
            }
            outcome& result = outcomes[each.account];
            if (text.starts_with("HTTP/1.1 200 ")) {
                result.served_ms.push_back(as_milliseconds(monotonic_now() - each.begun));
            } else if (text.starts_with("HTTP/1.1 503 ")) {
                result.refused += 1;
                result.last_refusal = text;
            } else {
                result.other += 1;
            }
            return true;
        });
    }

    /// Sends steady loads, as requests per second by account, and collects what comes back.
    void offer(
        microseconds length, const std::map<std::string, double>& loads,
        const std::function<void()>& meanwhile = [] {}) {
        outcomes.clear();
        begun.clear();
        worker.seen.clear();
        worker.arrivals.clear();
        worker.exchanges.clear();
        std::map<std::string, instant> due;
        const instant end = monotonic_now() + length;
        longest_turn = {};
        while (monotonic_now() < end) {
            const instant turn = monotonic_now();
            for (const auto& [account, rate] : loads) {
                instant& next = due.try_emplace(account, monotonic_now()).first->second;
                for (; next <= monotonic_now(); next += from_seconds(1.0 / rate)) {
                    begin(account);
                }
            }
            run_for(milliseconds(1));
            meanwhile();
            collect();
            longest_turn = std::max(longest_turn, monotonic_now() - turn);
        }
        run_until(
            [this] {
                collect();
                return calls.empty();
            },
            seconds(6));
    }

    static double quantile_of(std::vector<double> times, double quantile) {
        BOOST_REQUIRE(!times.empty());
        std::sort(times.begin(), times.end());
        return times[static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1))];
    }

    double quantile_ms(const std::string& account, double quantile) {
        return quantile_of(outcomes[account].served_ms, quantile);
    }

    /// The time until requests of the accounts that don't flood reached the target.
    double arrival_quantile_ms(double quantile) const {
        std::vector<double> times;
        for (std::size_t at = 0; at < worker.seen.size(); ++at) {
            const auto found = begun.find(std::string(worker.seen[at].header("Request-Id")));
            if (found != begun.end() && found->second.first != "flood") {
                times.push_back(as_milliseconds(worker.arrivals[at].at - found->second.second));
            }
        }
        return quantile_of(times, quantile);
    }
};

}  // namespace wrenswitch::testing
