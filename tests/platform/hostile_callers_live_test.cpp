#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "platform/link_sharing_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Callers of one account that strain an entry other than by their load, beside two accounts of 10
/// requests per second each.
struct hostile_callers_fixture : link_sharing_fleet {
    static constexpr microseconds length = seconds(4);
    static constexpr double objective_ms = 1000.0;
    /// How often hostile callers do something.
    static constexpr microseconds step_period = milliseconds(20);

    struct hostile_caller {
        raw_socket socket;
        /// When it sends or reads again.
        instant next_at{};
    };

    std::vector<hostile_caller> hostile;
    instant next_step{};

    hostile_callers_fixture() {
        more_settings = R"(,"link_mbps":2,"share_link":true)";
        start_all();
    }

    static std::string head(const std::string& path) {
        return "POST " + path +
               " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: hostile\r\n"
               "Credential: key-flood\r\nContent-Length: " +
               std::to_string(body_bytes) + "\r\n\r\n";
    }

    void open_hostile(std::size_t count) {
        for (std::size_t number = 0; number < count; ++number) {
            hostile.push_back({raw_socket::connect(entries[0].listen), {}});
        }
        BOOST_REQUIRE(
            run_until([&] { return sum_of("gateway_connections") >= static_cast<double>(count); }));
    }

    /// Offers the load of the other accounts while `step` is called for each hostile caller.
    void offer_beside(const std::function<void(hostile_caller&)>& step) {
        offer(length, {{"a", 10.0}, {"b", 10.0}}, [&] {
            if (monotonic_now() < next_step) {
                return;
            }
            next_step = monotonic_now() + step_period;
            std::for_each(hostile.begin(), hostile.end(), step);
        });
    }

    /// The other accounts' requests are all served within the objective of their route.
    void check_others() {
        for (const char* account : {"a", "b"}) {
            BOOST_TEST(outcomes[account].refused + outcomes[account].other == 0U);
            BOOST_TEST(outcomes[account].served_ms.size() >= 35U);
            BOOST_TEST(quantile_ms(account, 1.0) < objective_ms);
        }
    }

    std::size_t count_of(const std::string& status) {
        return static_cast<std::size_t>(
            std::count_if(hostile.begin(), hostile.end(), [&](hostile_caller& each) {
                return each.socket.received().starts_with("HTTP/1.1 " + status);
            }));
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(hostile_callers_live_test, hostile_callers_fixture)

/// Load: a thousand connections of one account, each with a request every 3 s: 5 times the link.
/// Guards against a queue or a share by connection instead of by account.
BOOST_AUTO_TEST_CASE(thousand_connections_of_an_account_leave_the_others_served) {
    constexpr std::size_t connections = 1000;
    constexpr microseconds request_period = seconds(3);
    open_hostile(connections);
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t other = 0;
    const instant begun_at = monotonic_now();
    for (std::size_t number = 0; number < connections; ++number) {
        hostile[number].next_at =
            begun_at + request_period * static_cast<int>(number) / static_cast<int>(connections);
    }
    offer_beside([&](hostile_caller& each) {
        if (monotonic_now() >= each.next_at) {
            if (!each.socket.open()) {
                each.socket = raw_socket::connect(entries[0].listen);
            }
            each.socket.send(head("/long/x") + std::string(body_bytes, 'x'));
            each.next_at = monotonic_now() + request_period;
            return;
        }
        const std::string& text = each.socket.received();
        if (!each.socket.open() || (text.find("\r\n\r\n") == text.npos && !each.socket.ended())) {
            return;
        }
        served += text.starts_with("HTTP/1.1 200 ") ? 1 : 0;
        refused += text.starts_with("HTTP/1.1 503 ") ? 1 : 0;
        other += text.starts_with("HTTP/1.1 ") ? 0 : 1;
        each.socket = raw_socket();
    });
    check_others();
    BOOST_TEST_MESSAGE("served " << served << ", refused " << refused << ", other " << other);
    BOOST_TEST(served > 0U);
    BOOST_TEST(refused > served);
    BOOST_TEST(other == 0U);
}

/// Load: two responses of 8 MB, more than the system holds for a connection, whose callers read
/// twice a second. Guards against others that wait until a caller has read, and against responses
/// that are lost because they were read slowly.
BOOST_AUTO_TEST_CASE(callers_that_read_slowly_delay_nobody_and_get_whole_responses) {
    constexpr std::size_t response_bytes = 8'000'000;
    constexpr int receive_buffer = 32'768;
    worker_standin large(loop, "i-large");
    large.answer = [&](const ingress_exchange_pointer& exchange) {
        exchange->answer(200, large.signed_headers(exchange), std::string(response_bytes, 'y'));
    };
    store.put("keyed.servers", large.id(), large.list_entry("large"));
    BOOST_REQUIRE(run_until([&] {
        return entries[0].process->output().find("target_listed target=i-large") !=
               std::string::npos;
    }));
    for (int number = 0; number < 2; ++number) {
        hostile.push_back({raw_socket::connect(entries[0].listen, receive_buffer), {}});
        hostile.back().socket.send(head("/large/x") + std::string(body_bytes, 'x'));
    }
    offer_beside([](hostile_caller& each) {
        if (monotonic_now() >= each.next_at) {
            each.socket.received();
            each.next_at = monotonic_now() + milliseconds(500);
        }
    });
    check_others();
    for (hostile_caller& each : hostile) {
        const auto body_size = [&] {
            const std::string& text = each.socket.received();
            return text.size() - text.find("\r\n\r\n") - 4;
        };
        BOOST_TEST(run_until([&] { return body_size() == response_bytes; }));
        BOOST_TEST(each.socket.received().starts_with("HTTP/1.1 200 "));
    }
}

/// Load: thirty heads that come byte by byte and never end. Guards against connections that are
/// held open by a head whose bytes keep coming.
BOOST_AUTO_TEST_CASE(heads_that_never_end_are_refused_and_the_others_served) {
    open_hostile(30);
    for (hostile_caller& each : hostile) {
        each.socket.send("POST /long/x HTTP/1.1\r\nHost: h.test\r\nX-Long: ");
    }
    offer_beside([](hostile_caller& each) {
        if (!each.socket.ended()) {
            each.socket.send("x");
        }
    });
    check_others();
    BOOST_TEST(count_of("408 ") == hostile.size());
}

/// Load: thirty requests whose bodies stop halfway. Guards against shares and connections that are
/// held for bodies which don't come.
BOOST_AUTO_TEST_CASE(bodies_that_stall_are_refused_and_the_others_served) {
    open_hostile(30);
    for (hostile_caller& each : hostile) {
        each.socket.send(head("/long/x") + std::string(body_bytes / 2, 'x'));
    }
    offer_beside([](hostile_caller& each) { each.socket.received(); });
    check_others();
    BOOST_TEST(count_of("408 ") > 0U);
    BOOST_TEST(count_of("408 ") + count_of("503 ") == hostile.size());
    BOOST_TEST(run_until([&] { return sum_of("gateway_connections") == 0.0; }));
}

BOOST_AUTO_TEST_SUITE_END()
