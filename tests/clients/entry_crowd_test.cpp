#include <boost/test/unit_test.hpp>

#include "clients/crowd_play.hpp"
#include "support/fleet_fixture.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

constexpr unsigned status_ok = 200;
constexpr long large_limit = 1'000'000'000;

/// An entry and a guard with lowered limits before a plain target.
struct entry_crowd_fixture : test::fleet_fixture {
    std::string entry_limits =
        crowd_settings() + R"(,"most_body_bytes":)" + std::to_string(crowd_body_bytes);

    void start_all() {
        start_log();
        start_service("service1");
        start_entry("entry1", entry_limits);
        start_guard("guard1", "plain", "service1", crowd_settings());
        wait_for_event("entry1", "entry_active");
        wait_for_event("guard1", "guard_active");
        configure("entry1", large_limit);
    }

    std::uint16_t port_of(const std::string& name, const std::string& field) {
        return static_cast<std::uint16_t>(std::stoul(process(name).field("listening", field)));
    }

    static crowd_scripts scripts(const std::string& start_line) {
        return {start_line + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " +
                    std::string(account_key) + "\r\nContent-Type: application/json\r\n",
                crowd_body_bytes, crowd_head_bytes};
    }

    void turn() {
        loop().call_after(milliseconds(1), [this] { loop().stop(); });
        loop().run();
    }

    /// True if a call of the plain service is answered in time.
    bool is_service_called() {
        const auto call = call_service("entry1", "ordinary-" + std::to_string(++calls_));
        return ends(call) && call->status == status_ok;
    }

    bool is_healthy(std::uint16_t port) {
        raw_socket socket = raw_socket::connect(port);
        socket.send("GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const instant end = monotonic_now() + seconds(2);
        while (socket.received().size() < 12 && !socket.ended() && monotonic_now() < end) {
            turn();
        }
        return socket.received().starts_with("HTTP/1.1 200");
    }

    crowd_play at(const std::string& name, const std::string& field, std::function<bool()> ask) {
        return {process(name), port_of(name, field), ports_of(name), [this] { turn(); },
                std::move(ask)};
    }

private:
    bool ends(const std::shared_ptr<test::caller_call>& call) {
        const instant end = monotonic_now() + seconds(5);
        while (!call->done && monotonic_now() < end) {
            turn();
        }
        return call->done;
    }

    std::set<std::uint16_t> ports_of(const std::string& name) {
        std::set<std::uint16_t> ports;
        for (const char* field : {"caller_port", "operator_port"}) {
            if (!process(name).field("listening", field).empty()) {
                ports.insert(port_of(name, field));
            }
        }
        const std::string bus = process(name).field("listening", "bus");
        ports.insert(static_cast<std::uint16_t>(std::stoul(bus.substr(bus.rfind(':') + 1))));
        return ports;
    }

    int calls_ = 0;
};

struct entry_callers_fixture : entry_crowd_fixture {
    crowd_scripts crowd = scripts("POST /v1/services/plain/crowd");
    entry_callers_fixture() { start_all(); }
    crowd_play at_callers() {
        return at("entry1", "caller_port", [this] { return is_service_called(); });
    }
    void play(const crowd_script& script) { at_callers().play(script); }
};

/// A completion's body with a member that takes the rest of the largest size: `piece` repeated, and
/// then `end`.
std::string completion_body(const std::string& start, const std::string& piece,
                            const std::string& end) {
    std::string body =
        R"({"model":"model","messages":[{"role":"user","content":"x"}],"more":)" + start;
    while (body.size() + piece.size() + end.size() + 2 < crowd_body_bytes) {
        body += piece;
    }
    return body + end + "}";
}

crowd_script completion(const std::string& body) {
    return {"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " +
                std::string(test::fleet_fixture::account_key) +
                "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            0};
}

struct entry_operator_fixture : entry_crowd_fixture {
    crowd_scripts crowd = scripts("POST /v1/operator/commands");
    entry_operator_fixture() { start_all(); }
    crowd_play at_operators() {
        const std::uint16_t port = port_of("entry1", "operator_port");
        return at("entry1", "operator_port", [this, port] { return is_healthy(port); });
    }
    void play(const crowd_script& script) { at_operators().play(script); }
};

struct guard_operator_fixture : entry_crowd_fixture {
    crowd_scripts crowd = scripts("POST /timeline");
    guard_operator_fixture() { start_all(); }
    void play(const crowd_script& script) {
        const std::uint16_t port = port_of("guard1", "operator_port");
        at("guard1", "operator_port", [this, port] { return is_healthy(port); }).play(script);
    }
};

/// The entry has memory for the whole crowd and takes larger bodies, so that only the guard bounds
/// what reaches it.
struct guard_dispatch_fixture : entry_crowd_fixture {
    crowd_scripts crowd = scripts("POST /v1/services/plain/crowd");
    guard_dispatch_fixture() {
        entry_limits = R"(,"memory_mb":2000)";
        start_all();
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(entry_callers_crowd_test, entry_callers_fixture)

BOOST_AUTO_TEST_CASE(whole_bodies_at_once_stay_within_memory) {
    play(crowd.whole_bodies());
}

BOOST_AUTO_TEST_CASE(whole_bodies_for_a_slow_target_stay_within_memory) {
    post("service1", "/faults", R"({"duration_ms":3000})");
    play(crowd.whole_bodies());
}

BOOST_AUTO_TEST_CASE(bodies_in_pieces_stay_within_memory) {
    play(crowd.bodies_in_pieces());
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_stay_within_memory) {
    play(crowd.unfinished_bodies());
}

BOOST_AUTO_TEST_CASE(announced_bodies_over_the_limit_stay_within_memory) {
    play(crowd.announced_bodies_over_the_limit());
}

BOOST_AUTO_TEST_CASE(bodies_over_the_limit_stay_within_memory) {
    play(crowd.bodies_over_the_limit());
}

BOOST_AUTO_TEST_CASE(unfinished_large_chunks_stay_within_memory) {
    play(crowd.unfinished_large_chunks());
}

BOOST_AUTO_TEST_CASE(unfinished_tiny_chunks_stay_within_memory) {
    play(crowd.unfinished_tiny_chunks());
}

BOOST_AUTO_TEST_CASE(unfinished_heads_stay_within_memory) {
    play(crowd.unfinished_heads());
}

BOOST_AUTO_TEST_CASE(bytes_behind_requests_under_way_stay_within_memory) {
    post("service1", "/faults", R"({"duration_ms":3000})");
    play(crowd.bytes_behind_a_request());
}

BOOST_AUTO_TEST_CASE(connections_without_requests_stay_within_descriptors) {
    at_callers().play(crowd_scripts::nothing(), crowd_silent_clients);
}

/// A small number takes a multiple of its text once it has been parsed.
BOOST_AUTO_TEST_CASE(bodies_of_many_numbers_stay_within_memory) {
    play(completion(completion_body("[0", ",0", "]")));
}

/// Each level of nesting takes a frame of the stack where values are handled by recursion.
BOOST_AUTO_TEST_CASE(deeply_nested_bodies_stay_within_memory) {
    const std::string levels(crowd_body_bytes / 2 - 100, '[');
    const std::string ends(levels.size(), ']');
    play(completion(completion_body(levels, " ", ends)));
}

BOOST_AUTO_TEST_CASE(single_bodies_of_the_largest_size_are_served_in_calm) {
    for (const crowd_script& script : {crowd.whole_bodies(), crowd.bodies_in_pieces(),
                                       crowd_script{crowd.unfinished_large_chunks().bytes, 0}}) {
        client_crowd single(caller_address("entry1").port, 1, script);
        wait_until(
            [&] {
                single.send_pieces();
                return single.count_of("200") == 1;
            },
            "a single large body is served");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(entry_operator_crowd_test, entry_operator_fixture)

BOOST_AUTO_TEST_CASE(whole_bodies_at_once_stay_within_memory) {
    play(crowd.whole_bodies());
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_stay_within_memory) {
    play(crowd.unfinished_bodies());
}

BOOST_AUTO_TEST_CASE(bodies_over_the_limit_stay_within_memory) {
    play(crowd.bodies_over_the_limit());
}

BOOST_AUTO_TEST_CASE(unfinished_tiny_chunks_stay_within_memory) {
    play(crowd.unfinished_tiny_chunks());
}

BOOST_AUTO_TEST_CASE(connections_without_requests_stay_within_descriptors) {
    at_operators().play(crowd_scripts::nothing(), crowd_silent_clients);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(guard_operator_crowd_test, guard_operator_fixture)

BOOST_AUTO_TEST_CASE(whole_bodies_at_once_stay_within_memory) {
    play(crowd.whole_bodies());
}

BOOST_AUTO_TEST_CASE(unfinished_bodies_stay_within_memory) {
    play(crowd.unfinished_bodies());
}

BOOST_AUTO_TEST_CASE(unfinished_tiny_chunks_stay_within_memory) {
    play(crowd.unfinished_tiny_chunks());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(guard_dispatch_crowd_test, guard_dispatch_fixture)

/// The crowd is at the entry; what is watched is the guard.
BOOST_AUTO_TEST_CASE(bodies_for_a_slow_target_stay_within_memory) {
    post("service1", "/faults", R"({"duration_ms":3000})");
    crowd_play play = at("guard1", "operator_port", [this] { return is_service_called(); });
    play.port = caller_address("entry1").port;
    play.play(crowd.whole_bodies());
}

BOOST_AUTO_TEST_SUITE_END()
