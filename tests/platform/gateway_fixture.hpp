#pragma once

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
#include "support/raw_socket.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch::testing {

/// The real wrengate and wrenrelay between a bare client and stand-ins of the store and of workers.
struct gateway_fixture : loop_runner {
    store_standin store{loop};
    worker_standin engine{loop, "i-engine"};
    worker_standin plain{loop, "i-plain"};
    std::uint16_t listen = free_port();
    std::uint16_t admin = free_port();
    std::uint16_t bus = free_port();
    std::uint16_t relay_bus = free_port();
    std::string settings_file = "/tmp/wrengate_test_" + std::to_string(listen) + ".json";
    std::unique_ptr<test::child_process> gateway;
    std::unique_ptr<test::child_process> relay;
    std::string service_address = store.address();
    std::uint64_t version = 1;
    tokens prepaid = 100'000;
    std::string keys = R"(["key-1"])";
    double cold_rate = 0.0;
    /// Zero for a gateway that knows no relays.
    std::uint16_t relay_port = relay_bus;
    /// What callers may send and how long they may take.
    std::string limits = R"("maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000)";
    /// Further members of the gateway's settings, each behind a comma.
    std::string more_settings;
    std::string more_relay_settings;

    gateway_fixture() {
        engine.answer = [this](const ingress_exchange_pointer& exchange) {
            exchange->answer(200, engine.signed_headers(exchange), event(1));
        };
        configure();
        store.put("keyed.servers", engine.id(), engine.list_entry("llm"));
        store.put("keyed.servers", plain.id(), plain.list_entry("app"));
    }

    ~gateway_fixture() {
        gateway.reset();
        relay.reset();
        std::remove(settings_file.c_str());
    }

    static std::uint16_t free_port() { return fixed_port(); }

    void configure() {
        const std::string text = R"({"version":)" + std::to_string(version++) + R"(,"routes":[
            {"name":"stream","host":"h.test","pathPrefix":"/stream/","kind":"streaming",
             "timeoutMs":3000,"service":"llm","maxAttempts":1},
            {"name":"resume","host":"h.test","pathPrefix":"/resume/","kind":"streaming",
             "resumable":true,"timeoutMs":3000,"service":"llm","maxAttempts":2},
            {"name":"once","host":"h.test","pathPrefix":"/once/","kind":"non_idempotent",
             "timeoutMs":1000,"service":"app","maxAttempts":1},
            {"name":"again","host":"h.test","pathPrefix":"/again/","kind":"idempotent",
             "timeoutMs":1000,"service":"app","maxAttempts":2}],
            "services":[{"name":"llm","healthPath":"/health","maxConns":60,"coldStartS":3.0,
              "coldPerS":)" + std::to_string(cold_rate) +
                                 R"(,
              "engine":{"slots":64,"kvCapacity":1000000,"stride":3}},
             {"name":"app","healthPath":"/health","maxConns":60}],
            "limits":{)" + limits +
                                 R"(,"idleTimeoutMs":10000},
            "tenants":[{"name":"tenant","apiKeys":)" +
                                 keys + R"(,"prepaid":)" + std::to_string(prepaid) + "}]}";
        store.put("keyed.op", "config", text);
    }

    void start_gateway() {
        std::ofstream(settings_file)
            << R"({"host":"front-1","failure_domain":"z1","listen":"127.0.0.1:)" << listen
            << R"(","admin":"127.0.0.1:)" << admin << R"(","service":")" << service_address
            << R"(","bus_endpoint":"tcp://127.0.0.1:)" << bus << R"(","relay_port":)" << relay_port
            << R"(,"longest_drain_ms":3000,"listen_after_stop_ms":300,"least_ms_per_token":50)"
            << R"(,"retry_share":0.5)" << more_settings << "}";
        gateway = std::make_unique<test::child_process>(
            std::vector<std::string>{WRENSWITCH_BINARIES "/wrengate", "--settings", settings_file},
            settings_file + ".log");
        BOOST_REQUIRE_MESSAGE(run_until([this] { return is_ready(); }), gateway->output());
    }

    void start_relay() {
        const std::string file = settings_file + ".relay";
        std::ofstream(file) << R"({"host":"side-1","bus_endpoint":"tcp://127.0.0.1:)" << relay_bus
                            << R"(","service":")" << store.address() << R"(")"
                            << more_relay_settings << "}";
        relay = std::make_unique<test::child_process>(
            std::vector<std::string>{WRENSWITCH_BINARIES "/wrenrelay", "--settings", file},
            file + ".log");
        BOOST_REQUIRE(
            run_until([this] { return !relay->field("relay_started", "endpoint").empty(); }));
        std::remove(file.c_str());
    }

    bool is_ready() {
        raw_socket socket = raw_socket::connect(admin);
        socket.send("GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        run_until([&] { return socket.ended() || !socket.received().empty(); }, milliseconds(200));
        return socket.received().find(" 200 ") != std::string::npos;
    }

    static std::string request(const std::string& path, const std::string& more = "",
                               const std::string& id = "r1") {
        return "POST " + path + " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: " + id +
               "\r\nCredential: key-1\r\nDeadline-Ms: 2000\r\n" + more +
               "Content-Length: 2\r\n\r\nhi";
    }

    raw_socket send(const std::string& text) const {
        raw_socket socket = raw_socket::connect(listen);
        socket.send(text);
        return socket;
    }

    /// The whole of an answer that is given at once.
    std::string answer_to(const std::string& text) {
        raw_socket socket = send(text);
        run_until([&] { return socket.received().find("\r\n\r\n") != std::string::npos; });
        run_for(milliseconds(20));
        return socket.received();
    }

    /// Lets requests on a path that are served well earn so many retries; the targets forget them.
    void earn_retries(std::size_t count, const std::string& path, const std::string& more = "") {
        constexpr std::size_t requests_a_retry = 4;
        for (std::size_t number = 0; number < count * requests_a_retry; ++number) {
            raw_socket caller = send(
                request(path, "Connection: close\r\n" + more, "earn" + std::to_string(number)));
            BOOST_REQUIRE(run_until([&] { return caller.ended(); }));
            BOOST_REQUIRE(status_in(caller.received()) == 200U);
        }
        for (worker_standin* target : {&engine, &plain}) {
            target->seen.clear();
            target->exchanges.clear();
        }
    }

    static unsigned status_in(const std::string& text) {
        return text.size() > 12 ? static_cast<unsigned>(std::stoul(text.substr(9, 3))) : 0;
    }

    static std::string event(int number) {
        return "id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) + "\n\n";
    }

    /// True once something was granted of the account.
    bool account_has_grants() { return !store.records("keyed.grants").empty(); }
};

/// Headers of a request to an engine, with the bound of its tokens and its prompt's blocks.
inline const std::string usage = "Model: m\r\nToken-Usage: 100,50\r\nPrefix-Hash: a1:60,b2:40\r\n";

}  // namespace wrenswitch::testing
