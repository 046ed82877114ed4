#include <boost/test/unit_test.hpp>
#include <csignal>
#include <map>

#include "platform/gateway_fixture.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// A gateway that stops while callers go on over connections that they have kept.
struct stopping_fixture : gateway_fixture {
    /// Every request gets its answer this long after it reached its target.
    void answer_after(microseconds work) {
        engine.answer = [this, work](const ingress_exchange_pointer& exchange) {
            loop.call_after(work, [this, exchange] {
                exchange->answer(200, engine.signed_headers(exchange), event(1));
            });
        };
        plain.answer = [this, work](const ingress_exchange_pointer& exchange) {
            loop.call_after(work, [this, exchange] {
                exchange->answer(200, plain.signed_headers(exchange), "done");
            });
        };
    }

    /// Connections on which one request has been served.
    std::vector<raw_socket> keep_connections(std::size_t count) {
        std::vector<raw_socket> kept;
        for (std::size_t number = 0; number < count; ++number) {
            kept.push_back(send(request("/once/1", "", "early" + std::to_string(number))));
            BOOST_REQUIRE(run_until([&] { return has_whole_answer(kept.back()); }));
            kept.back().forget_received();
        }
        plain.seen.clear();
        return kept;
    }

    static bool has_whole_answer(raw_socket& caller) {
        const std::string& text = caller.received();
        const std::size_t head_end = text.find("\r\n\r\n");
        if (head_end == std::string::npos) {
            return false;
        }
        const std::string name = "Content-Length: ";
        const std::size_t at = text.find(name);
        return at < head_end
                   ? text.size() >= head_end + 4 + std::stoul(text.substr(at + name.size()))
                   : text.ends_with("0\r\n\r\n");
    }

    /// Sends one request on each connection, so many milliseconds apart, and returns how many of
    /// those that reached a target ended without a whole answer.
    std::size_t lost_after_stop(std::vector<raw_socket>& kept, const std::string& path,
                                const std::string& more, microseconds gap) {
        gateway->signal(SIGTERM);
        for (std::size_t number = 0; number < kept.size(); ++number) {
            kept[number].send(request(path, more, "late" + std::to_string(number)));
            run_for(gap);
        }
        BOOST_TEST(run_until([this] { return gateway->ended(); }));
        std::size_t lost = 0;
        for (const worker_standin* target : {&engine, &plain}) {
            for (const message_head& seen : target->seen) {
                const std::string id(seen.header("Request-Id"));
                lost += id.starts_with("late") && !has_whole_answer(kept[std::stoul(id.substr(4))]);
            }
        }
        return lost;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_live_test, gateway_fixture)

BOOST_AUTO_TEST_CASE(planned_stop_cuts_no_stream_and_returns_the_grants) {
    start_gateway();
    engine.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->begin_answer(200, engine.signed_headers(exchange));
        exchange->send_piece(event(1));
    };
    raw_socket client = send(request("/stream/1", usage));
    BOOST_REQUIRE(
        run_until([&] { return client.received().find("data: e1") != std::string::npos; }));
    gateway->signal(SIGTERM);
    run_for(milliseconds(100));
    BOOST_TEST(!is_ready());
    run_for(milliseconds(500));
    BOOST_TEST(!gateway->ended());
    engine.exchanges[0]->send_piece(event(2));
    engine.exchanges[0]->end_answer();
    BOOST_TEST(run_until([&] { return client.received().ends_with("0\r\n\r\n"); }));
    BOOST_TEST(run_until([&] { return gateway->ended(); }));
    BOOST_TEST(gateway->exit_code() == 0);
}

BOOST_AUTO_TEST_CASE(stopping_gateway_takes_only_what_it_can_end) {
    start_gateway();
    engine.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->begin_answer(200, engine.signed_headers(exchange));
        exchange->send_piece(event(1));
    };
    raw_socket running = send(request("/stream/1", usage));
    BOOST_REQUIRE(
        run_until([&] { return running.received().find("data: e1") != std::string::npos; }));
    gateway->signal(SIGTERM);
    // Its deadline of 2 s is now over by 100 ms what the stop leaves.
    run_for(milliseconds(700));
    const std::string long_one = answer_to(request("/stream/2", "Token-Usage: 100,500\r\n", "r2"));
    BOOST_TEST(status_in(long_one) == 503U);
    BOOST_TEST(long_one.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(engine.seen.size() == 1U);
    BOOST_TEST(status_in(answer_to(request("/once/1", "", "r3"))) == 200U);
}

BOOST_AUTO_TEST_CASE(hangup_and_changed_settings_end_nothing) {
    start_gateway();
    gateway->signal(SIGHUP);
    run_for(milliseconds(100));
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 200U);
    BOOST_TEST(!gateway->ended());
    BOOST_TEST(gateway->output().find("settings_unchanged") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(stopping_gateway_live, stopping_fixture)

// Guards against prompts that are accepted late in a stop by an estimate of their prefill and cut
// when it is wrong.
BOOST_AUTO_TEST_CASE(long_prompts_sent_late_in_a_stop_lose_no_response) {
    prepaid = 10'000'000;
    configure();
    start_gateway();
    std::vector<raw_socket> kept = keep_connections(24);
    answer_after(milliseconds(1500));
    BOOST_TEST(lost_after_stop(kept, "/stream/1", "Token-Usage: 57190,9\r\n", milliseconds(100)) ==
               0U);
}

// Guards against plain requests that are accepted late in a stop because all are taken for short.
BOOST_AUTO_TEST_CASE(slow_plain_requests_sent_late_in_a_stop_lose_no_response) {
    start_gateway();
    std::vector<raw_socket> kept = keep_connections(24);
    answer_after(milliseconds(900));
    BOOST_TEST(lost_after_stop(kept, "/once/1", "", milliseconds(100)) == 0U);
}

// Guards against requests that a stopping process drops without an answer when its time is up.
BOOST_AUTO_TEST_CASE(requests_that_outlast_the_stop_are_answered_before_the_process_exits) {
    start_gateway();
    std::vector<raw_socket> kept = keep_connections(2);
    engine.answer = [](const ingress_exchange_pointer&) {};
    gateway->signal(SIGTERM);
    kept[0].send(
        "POST /stream/1 HTTP/1.1\r\nHost: h.test\r\nRequest-Id: slow\r\n"
        "Credential: key-1\r\nDeadline-Ms: 9000\r\nToken-Usage: 100,50\r\n"
        "Content-Length: 2\r\n\r\nhi");
    kept[1].send("POST /once/1 HTTP/1.1\r\nHost: h.test\r\nContent-Len");
    BOOST_TEST(run_until([this] { return gateway->ended(); }));
    BOOST_TEST(status_in(kept[0].received()) == 502U);
    BOOST_TEST(has_whole_answer(kept[0]));
    // What was not read has not run, and the caller is told so.
    BOOST_TEST((status_in(kept[1].received()) == 503U || status_in(kept[1].received()) == 408U));
    BOOST_TEST(gateway->output().find("event=gateway_stop_ends") != std::string::npos);
}

// Guards against an exit while a request is still being read.
BOOST_AUTO_TEST_CASE(request_that_is_half_read_when_the_stop_begins_is_served) {
    start_gateway();
    std::vector<raw_socket> kept = keep_connections(1);
    const std::string whole = request("/once/1", "", "half");
    kept[0].send(whole.substr(0, whole.size() - 1));
    run_for(milliseconds(50));
    gateway->signal(SIGTERM);
    run_for(milliseconds(900));
    kept[0].send(whole.substr(whole.size() - 1));
    BOOST_TEST(run_until([&] { return has_whole_answer(kept[0]); }));
    BOOST_TEST(status_in(kept[0].received()) == 200U);
    BOOST_TEST(run_until([this] { return gateway->ended(); }));
}

// Guards against an exit over a response that its caller still reads.
BOOST_AUTO_TEST_CASE(caller_that_reads_slowly_gets_its_whole_response_from_a_stopping_gateway) {
    constexpr std::size_t response_bytes = 12U << 20U;
    constexpr int receive_buffer = 64 * 1024;
    start_gateway();
    plain.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->answer(200, plain.signed_headers(exchange), std::string(response_bytes, 'x'));
    };
    raw_socket caller = raw_socket::connect(listen, receive_buffer);
    caller.send(request("/once/1"));
    run_for(milliseconds(200));
    gateway->signal(SIGTERM);
    const instant stopped = monotonic_now();
    while (caller.read_so_far().size() <= response_bytes &&
           monotonic_now() - stopped < seconds(5)) {
        caller.read(receive_buffer);
        run_for(milliseconds(8));
    }
    BOOST_TEST(caller.read_so_far().size() > response_bytes);
    BOOST_TEST(run_until([this] { return gateway->ended(); }));
}

// Guards against a process that never ends because a caller takes no more bytes.
BOOST_AUTO_TEST_CASE(caller_that_reads_nothing_does_not_hold_a_stopping_gateway) {
    constexpr std::size_t response_bytes = 12U << 20U;
    constexpr int receive_buffer = 16 * 1024;
    start_gateway();
    plain.answer = [this](const ingress_exchange_pointer& exchange) {
        exchange->answer(200, plain.signed_headers(exchange), std::string(response_bytes, 'x'));
    };
    raw_socket caller = raw_socket::connect(listen, receive_buffer);
    caller.send(request("/once/1"));
    run_for(milliseconds(300));
    gateway->signal(SIGTERM);
    BOOST_TEST(run_until([this] { return gateway->ended(); }, milliseconds(3500)));
    BOOST_TEST(gateway->exit_code() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
