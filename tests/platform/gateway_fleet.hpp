#pragma once

#include <boost/test/unit_test.hpp>
#include <csignal>
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

namespace wrenswitch::testing {

/// Some real wrengates of one deployment, with a stand-in of the store.
struct gateway_fleet : loop_runner {
    struct entry {
        std::string name;
        std::uint16_t listen = 0;
        std::uint16_t admin = 0;
        std::uint16_t bus = 0;
        std::string settings_file;
        /// Settings of this entry alone, as JSON that begins with a comma.
        std::string more_settings;
        std::unique_ptr<test::child_process> process;
    };

    store_standin store{loop};
    std::vector<entry> entries;
    /// The address at which the gateways call the store.
    std::string service_address = store.address();
    /// Settings beside those that every gateway has, as JSON that begins with a comma.
    std::string more_settings;

    explicit gateway_fleet(std::size_t count) {
        for (std::size_t number = 0; number < count; ++number) {
            add_entry();
        }
    }

    ~gateway_fleet() {
        for (entry& each : entries) {
            each.process.reset();
            std::remove(each.settings_file.c_str());
        }
    }

    void add_entry() {
        entry& added = entries.emplace_back();
        added.name = "front-" + std::to_string(entries.size());
        added.listen = fixed_port();
        added.admin = fixed_port();
        added.bus = fixed_port();
        added.settings_file = "/tmp/wrenfleet_test_" + std::to_string(added.listen) + ".json";
    }

    /// Starts a gateway without waiting for it; one that runs is killed.
    void launch(entry& each) {
        each.process.reset();
        std::ofstream(each.settings_file)
            << R"({"host":")" << each.name << R"(","failure_domain":"z1","listen":"127.0.0.1:)"
            << each.listen << R"(","admin":"127.0.0.1:)" << each.admin << R"(","service":")"
            << service_address << R"(","bus_endpoint":"tcp://127.0.0.1:)" << each.bus
            << R"(","longest_drain_ms":3000,"listen_after_stop_ms":300)" << more_settings
            << each.more_settings << "}";
        each.process = std::make_unique<test::child_process>(
            std::vector<std::string>{WRENSWITCH_BINARIES "/wrengate", "--settings",
                                     each.settings_file},
            each.settings_file + ".log");
    }

    void until_ready(const entry& each) {
        BOOST_REQUIRE_MESSAGE(run_until([&] { return is_ready(each); }, seconds(10)),
                              each.process->describe());
    }

    /// Starts all of them and waits until each takes callers and has heard of the others.
    void start_all() {
        for (entry& each : entries) {
            launch(each);
        }
        for (const entry& each : entries) {
            until_ready(each);
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

    /// The sum of a counter over all entries.
    double sum_of(const std::string& figure) {
        double sum = 0.0;
        for (const entry& each : entries) {
            sum += figure_of(each, figure);
        }
        return sum;
    }

    double figure_of(const entry& each, const std::string& figure) {
        const std::string text =
            raw_ask(each.admin, "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const std::size_t at = text.find("\nwrenswitch_" + figure + " ");
        return at == std::string::npos ? 0.0
                                       : std::stod(text.substr(text.find(' ', at + 1) + 1, 20));
    }
};

}  // namespace wrenswitch::testing
