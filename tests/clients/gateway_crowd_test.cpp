#include <boost/test/unit_test.hpp>

#include "clients/crowd_play.hpp"
#include "platform/gateway_fixture.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// A gateway with lowered limits before a crowd, and a target that answers at once.
struct gateway_crowd_fixture : gateway_fixture {
    std::uint16_t metrics = free_port();

    gateway_crowd_fixture() {
        limits = R"("maxHeaderBytes":)" + std::to_string(crowd_head_bytes) + R"(,"maxBodyBytes":)" +
                 std::to_string(crowd_body_bytes) + R"(,"headerTimeoutMs":60000)";
        more_settings = crowd_settings() + R"(,"metrics_port":)" + std::to_string(metrics);
        relay_port = 0;
        configure();
        start_gateway();
    }

    static crowd_scripts scripts(const std::string& start_line) {
        return {start_line +
                    " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: crowd\r\nCredential: key-1\r\n"
                    "Deadline-Ms: 20000\r\n",
                crowd_body_bytes, crowd_head_bytes};
    }

    bool is_answered(std::uint16_t port, const std::string& text) {
        raw_socket socket = raw_socket::connect(port);
        socket.send(text);
        run_until([&] { return socket.ended() || socket.received().size() > 12; }, seconds(2));
        return status_in(socket.received()) == 200U;
    }

    crowd_play at(std::uint16_t port, std::function<bool()> ask) {
        return {*gateway,
                port,
                {listen, admin, metrics, bus},
                [this] { run_for(milliseconds(1)); },
                std::move(ask)};
    }

    crowd_play at_callers() {
        return at(listen, [this] { return is_answered(listen, request("/again/ordinary")); });
    }
};

struct gateway_callers_fixture : gateway_crowd_fixture {
    crowd_scripts crowd = scripts("POST /again/crowd");
    void play(const crowd_script& script) { at_callers().play(script); }
};

struct gateway_admin_fixture : gateway_crowd_fixture {
    crowd_scripts crowd = scripts("POST /-/ready");
    void play(const crowd_script& script) {
        at(admin, [this] { return is_ready(); }).play(script);
    }
};

struct gateway_metrics_fixture : gateway_crowd_fixture {
    crowd_scripts crowd = scripts("POST /metrics");
    void play(const crowd_script& script) {
        at(metrics, [this] {
            return is_answered(metrics, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n");
        }).play(script);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_callers_crowd_test, gateway_callers_fixture)

BOOST_AUTO_TEST_CASE(whole_bodies_at_once_stay_within_memory) {
    play(crowd.whole_bodies());
}

BOOST_AUTO_TEST_CASE(whole_bodies_for_a_target_that_does_not_answer_stay_within_memory) {
    plain.answer = [](const ingress_exchange_pointer&) {};
    const auto ask = [this] { return is_answered(listen, request("/stream/x", usage)); };
    at(listen, ask).play(crowd.whole_bodies());
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
    plain.answer = [](const ingress_exchange_pointer&) {};
    const auto ask = [this] { return is_answered(listen, request("/stream/x", usage)); };
    at(listen, ask).play(crowd.bytes_behind_a_request());
}

BOOST_AUTO_TEST_CASE(connections_without_requests_stay_within_descriptors) {
    at_callers().play(crowd_scripts::nothing(), crowd_silent_clients);
}

BOOST_AUTO_TEST_CASE(single_bodies_of_the_largest_size_are_served_in_calm) {
    for (const crowd_script& script : {crowd.whole_bodies(), crowd.bodies_in_pieces(),
                                       crowd_script{crowd.unfinished_large_chunks().bytes, 0}}) {
        client_crowd single(listen, 1, script);
        BOOST_TEST(run_until([&] {
            single.send_pieces();
            return single.count_of("200") == 1;
        }));
    }
}

/// What a refusal promises: the target never sees the request, and the client may come again.
BOOST_AUTO_TEST_CASE(refused_bodies_never_ran_and_are_told_when_to_return) {
    plain.answer = [](const ingress_exchange_pointer&) {};
    client_crowd callers(listen, crowd_clients, crowd.whole_bodies());
    run_until([&] {
        callers.send_pieces();
        return callers.count_of("503") > 0;
    });
    run_for(milliseconds(500));
    const std::size_t refused = callers.count_of("503");
    BOOST_TEST(refused > 0U);
    BOOST_TEST(plain.exchanges.size() + refused <= crowd_clients);
    BOOST_TEST(callers.answer_with("503").find("Retry-After: ") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(gateway_admin_crowd_test, gateway_admin_fixture)

BOOST_AUTO_TEST_CASE(whole_bodies_at_once_stay_within_memory) {
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

BOOST_AUTO_TEST_CASE(connections_without_requests_stay_within_descriptors) {
    at(admin, [this] { return is_ready(); }).play(crowd_scripts::nothing(), crowd_silent_clients);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(gateway_metrics_crowd_test, gateway_metrics_fixture)

BOOST_AUTO_TEST_CASE(unfinished_bodies_stay_within_memory) {
    play(crowd.unfinished_bodies());
}

BOOST_AUTO_TEST_CASE(unfinished_tiny_chunks_stay_within_memory) {
    play(crowd.unfinished_tiny_chunks());
}

BOOST_AUTO_TEST_SUITE_END()
