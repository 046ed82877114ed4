#pragma once

#include <array>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "platform/store_standin.hpp"
#include "platform/worker_standin.hpp"
#include "support/child_process.hpp"
#include "support/fixed_port.hpp"
#include "support/loop_runner.hpp"
#include "support/loopback_proxy.hpp"
#include "support/raw_socket.hpp"

namespace wrenswitch::testing {

/// A real wrengate in each of two regions, with stand-ins of workers in both and of the store. The
/// way between the gateways leads through proxies.
struct region_fleet : loop_runner {
    struct entry {
        std::string region;
        std::uint16_t listen = 0;
        std::uint16_t admin = 0;
        std::uint16_t bus = 0;
        std::unique_ptr<loopback_proxy> bus_way;
        std::string settings_file;
        std::unique_ptr<test::child_process> process;
    };

    store_standin store{loop};
    worker_standin north_app{loop, "i-north-app"};
    worker_standin south_app{loop, "i-south-app"};
    worker_standin north_llm{loop, "i-north-llm"};
    worker_standin south_llm{loop, "i-south-llm"};
    std::array<entry, 2> entries;
    entry& north = entries[0];
    entry& south = entries[1];
    /// The regions of the bound routes and of the bound account, as JSON.
    std::string route_regions = R"(["north"])";
    std::string account_regions = R"(["north","south"])";
    std::string table = R"({"zone-north":"north","zone-south":"south"})";
    /// What a cold plain worker bears in a second; zero if it makes no difference.
    double cold_rate = 0.0;
    /// The time within which routes want an answer.
    int aim_ms = 1900;
    std::uint64_t version = 0;

    region_fleet() {
        for (worker_standin* engine : {&north_llm, &south_llm}) {
            answer_with_events(*engine);
        }
        for (std::size_t at = 0; at < entries.size(); ++at) {
            entry& each = entries[at];
            each.region = at == 0 ? "north" : "south";
            each.listen = fixed_port();
            each.admin = fixed_port();
            each.bus = fixed_port();
            each.bus_way = std::make_unique<loopback_proxy>(loop, each.bus);
            each.settings_file = "/tmp/wrenregion_test_" + std::to_string(each.listen) + ".json";
        }
        configure();
        list(north_app, "app", "north");
        list(south_app, "app", "south");
        list(north_llm, "llm", "north");
        list(south_llm, "llm", "south");
    }

    ~region_fleet() {
        for (entry& each : entries) {
            each.process.reset();
            std::remove(each.settings_file.c_str());
        }
    }

    void answer_with_events(worker_standin& engine) const {
        engine.answer = [&engine](const ingress_exchange_pointer& exchange) {
            exchange->begin_answer(200, engine.signed_headers(exchange));
            exchange->send_piece("id: 1\ndata: e1\n\n");
            exchange->end_answer();
        };
    }

    void list(const worker_standin& worker, const std::string& service, const std::string& region,
              const std::string& state = "ready", int cold_left_ms = 0) {
        store.put("keyed.servers", worker.id(),
                  worker.list_entry(service, state, "zone-" + region, cold_left_ms));
    }

    std::string route(const std::string& name, const std::string& service, const std::string& kind,
                      const std::string& regions = {}) const {
        const std::string limit = regions.empty() ? "" : R"(,"allowedRegions":)" + regions;
        return R"({"name":")" + name + R"(","host":"h.test","pathPrefix":"/)" + name +
               R"(/","kind":")" + kind +
               R"(","resumable":true,"timeoutMs":2000,"targetLatencyMs":)" +
               std::to_string(aim_ms) + R"(,"service":")" + service + R"(","maxAttempts":2)" +
               limit + "}";
    }

    void configure() {
        store.put("keyed.op", "config",
                  R"({"version":)" + std::to_string(++version) + R"(,"routes":[)" +
                      route("again", "app", "idempotent") + "," +
                      route("stream", "llm", "streaming") + "," +
                      route("bound", "app", "idempotent", route_regions) + "," +
                      route("flow", "llm", "streaming", route_regions) + R"(],
            "services":[{"name":"llm","healthPath":"/health","maxConns":60,
              "engine":{"slots":64,"kvCapacity":1000000,"stride":3,"kvTokenBytes":131072,
                        "linkMbps":524288.0,"moves":true}},
             {"name":"app","healthPath":"/health","maxConns":60,"coldStartS":30,"coldPerS":)" +
                      std::to_string(cold_rate) + R"(}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000,
              "idleTimeoutMs":10000},
            "tenants":[{"name":"free","apiKeys":["key-free"],"prepaid":1000000},
             {"name":"bound","apiKeys":["key-bound"],"prepaid":1000000,"allowedRegions":)" +
                      account_regions + "}]}");
    }

    /// Starts a gateway without waiting for it.
    void launch(entry& each) {
        each.process.reset();
        const std::string regions = table.empty() ? "" : R"(,"regions":)" + table;
        std::ofstream(each.settings_file)
            << R"({"host":"front-)" << each.region << R"(","failure_domain":"zone-)" << each.region
            << R"(","listen":"127.0.0.1:)" << each.listen << R"(","admin":"127.0.0.1:)"
            << each.admin << R"(","service":")" << store.address()
            << R"(","bus_endpoint":"tcp://127.0.0.1:)" << each.bus
            << R"(","member_endpoint":"tcp://127.0.0.1:)" << each.bus_way->port()
            << R"(","longest_drain_ms":3000,"listen_after_stop_ms":300,"retry_share":0.5)"
            << regions << "}";
        each.process = std::make_unique<test::child_process>(
            std::vector<std::string>{WRENSWITCH_BINARIES "/wrengate", "--settings",
                                     each.settings_file},
            each.settings_file + ".log");
    }

    void start() {
        for (entry& each : entries) {
            launch(each);
        }
        for (entry& each : entries) {
            BOOST_REQUIRE_MESSAGE(run_until([&] { return is_ready(each); }, seconds(10)),
                                  each.process->output());
        }
        // Both know each other.
        for (entry& each : entries) {
            BOOST_REQUIRE(run_until([&] {
                const std::string output = each.process->output();
                return output.find("member_joined host=front-north") != std::string::npos &&
                       output.find("member_joined host=front-south") != std::string::npos;
            }));
        }
    }

    bool is_ready(const entry& each) {
        return status_of(raw_ask(
                   each.admin, "GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")) ==
               200U;
    }

    std::string figures(const entry& each) {
        raw_socket socket = raw_socket::connect(each.admin);
        socket.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        run_until([&] { return socket.ended(); }, seconds(1));
        return socket.received();
    }

    static std::string request(const std::string& route, const std::string& key,
                               const std::string& id) {
        return "POST /" + route + "/x HTTP/1.1\r\nHost: h.test\r\nRequest-Id: " + id +
               "\r\nCredential: " + key +
               "\r\nDeadline-Ms: 2000\r\nModel: m\r\nToken-Usage: 1000,50\r\n"
               "Prefix-Hash: a1:600,b2:400\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";
    }

    raw_socket send(const entry& to, const std::string& route, const std::string& key) {
        raw_socket socket = raw_socket::connect(to.listen);
        socket.send(request(route, key, "r" + std::to_string(++last_id_)));
        return socket;
    }

    std::string raw_ask(std::uint16_t port, const std::string& text) {
        raw_socket socket = raw_socket::connect(port);
        socket.send(text);
        run_until([&] { return socket.ended(); }, seconds(3));
        return socket.received();
    }

    /// The whole answer at an entry.
    std::string ask(const entry& at, const std::string& route,
                    const std::string& key = "key-free") {
        raw_socket socket = send(at, route, key);
        run_until([&] { return socket.ended(); }, seconds(3));
        return socket.received();
    }

    static unsigned status_of(const std::string& answer) {
        return answer.size() > 12 ? static_cast<unsigned>(std::stoul(answer.substr(9, 3))) : 0;
    }

    /// Asks some times at both entries; the statuses that came.
    std::vector<unsigned> statuses(const std::string& route, const std::string& key = "key-free",
                                   int turns = 6) {
        std::vector<unsigned> found;
        for (int turn = 0; turn < turns; ++turn) {
            for (const entry& each : entries) {
                found.push_back(status_of(ask(each, route, key)));
            }
        }
        return found;
    }

    /// Lets requests at an entry that are served well earn so many retries; all forget them.
    void earn_retries(const entry& at, const std::string& route, std::size_t count) {
        constexpr std::size_t requests_a_retry = 4;
        for (std::size_t number = 0; number < count * requests_a_retry; ++number) {
            BOOST_REQUIRE(status_of(ask(at, route)) == 200U);
        }
        forget_seen();
    }

    void forget_seen() {
        for (worker_standin* worker : {&north_app, &south_app, &north_llm, &south_llm}) {
            worker->seen.clear();
            worker->exchanges.clear();
        }
    }

    std::size_t seen_in_north() const { return north_app.seen.size() + north_llm.seen.size(); }
    std::size_t seen_in_south() const { return south_app.seen.size() + south_llm.seen.size(); }

    /// Until a new configuration is in force at all entries.
    void until_known() { run_for(milliseconds(300)); }

private:
    std::size_t last_id_ = 0;
};

}  // namespace wrenswitch::testing
