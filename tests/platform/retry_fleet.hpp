#pragma once

#include <map>

#include "platform/gateway_fleet.hpp"
#include "wrenswitch/core/random_source.hpp"

namespace wrenswitch::testing {

/// Some real wrengates of one deployment before three plain targets that turn most requests away
/// unrun, and callers that ask each request once.
struct retry_fleet : gateway_fleet {
    static constexpr double share = 0.2;
    static constexpr double slack = 20.0;
    static constexpr double turned_away = 0.9;

    random_source random{45};
    std::vector<std::unique_ptr<worker_standin>> targets;
    std::size_t requests = 0;

    explicit retry_fleet(std::size_t count) : gateway_fleet(count) {
        more_settings = R"(,"retry_share":)" + std::to_string(share) + R"(,"retry_slack":)" +
                        std::to_string(slack);
        configure();
        for (const char* id : {"i-1", "i-2", "i-3"}) {
            targets.push_back(std::make_unique<worker_standin>(loop, id));
            turn_most_away(*targets.back());
            store.put("keyed.servers", id, targets.back()->list_entry("app"));
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
};

}  // namespace wrenswitch::testing
