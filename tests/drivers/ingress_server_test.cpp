#include "wrenswitch/drivers/ingress_server.hpp"

#include <boost/test/unit_test.hpp>

#include "support/loop_runner.hpp"
#include "support/raw_socket.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

constexpr std::string_view get = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server that answers "ok" at once, unless a test takes the exchanges itself.
struct ingress_fixture : loop_runner {
    ingress_limits limits;
    std::vector<ingress_exchange_pointer> exchanges;
    bool answer_at_once = true;
    std::unique_ptr<ingress_server> server;

    ingress_fixture() {
        limits.most_header_bytes = 500;
        limits.most_body_bytes = 100;
        limits.head_timeout = milliseconds(150);
        limits.idle_timeout = milliseconds(300);
        auto started = ingress_server::start(
            loop, "127.0.0.1", 0, [this] { return limits; },
            [this](const ingress_exchange_pointer& exchange) {
                exchanges.push_back(exchange);
                if (answer_at_once) {
                    exchange->answer(200, {}, "ok");
                }
            });
        BOOST_REQUIRE(started.has_value());
        server = std::move(started.value());
    }

    raw_socket connect() const { return raw_socket::connect(server->port()); }

    /// The status of the first answer, or zero.
    unsigned status_of(raw_socket& socket) {
        run_until([&] { return socket.received().size() > 12 || socket.ended(); });
        const std::string& text = socket.received();
        return text.size() > 12 ? static_cast<unsigned>(std::stoul(text.substr(9, 3))) : 0;
    }

    unsigned status_for(std::string_view request) {
        raw_socket socket = connect();
        socket.send(request);
        return status_of(socket);
    }

    static std::size_t count(std::string_view text, std::string_view part) {
        std::size_t found = 0;
        for (std::size_t at = text.find(part); at != text.npos; at = text.find(part, at + 1)) {
            found += 1;
        }
        return found;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ingress_server_test, ingress_fixture)

BOOST_AUTO_TEST_CASE(kept_connection_answers_one_request_after_another) {
    raw_socket socket = connect();
    for (std::size_t turn = 1; turn <= 3; ++turn) {
        socket.send(get);
        BOOST_TEST(run_until([&] { return count(socket.received(), "200 OK") == turn; }));
    }
}

BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order) {
    answer_at_once = false;
    raw_socket socket = connect();
    socket.send(std::string(get) + std::string(get));
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 1; }));
    run_for(milliseconds(20));
    BOOST_TEST(exchanges.size() == 1U);
    exchanges[0]->answer(200, {}, "first");
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 2; }));
    exchanges[1]->answer(200, {}, "second");
    BOOST_TEST(run_until([&] { return socket.received().find("second") != std::string::npos; }));
    BOOST_TEST(socket.received().find("first") < socket.received().find("second"));
}

BOOST_AUTO_TEST_CASE(improper_requests_get_400_and_reach_nobody) {
    const std::vector<std::string> improper{
        "GET /x HTTP/1.1\r\n\r\n",
        "GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET http://h/x HTTP/1.1\r\nHost: h\r\n\r\n",
        "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc",
    };
    for (const std::string& request : improper) {
        BOOST_TEST_CONTEXT(request) {
            BOOST_TEST(status_for(request) == 400U);
        }
    }
    BOOST_TEST(exchanges.empty());
}

BOOST_AUTO_TEST_CASE(overlong_head_gets_431) {
    BOOST_TEST(status_for("GET /x HTTP/1.1\r\nHost: h\r\nX: " + std::string(600, 'x') +
                          "\r\n\r\n") == 431U);
}

BOOST_AUTO_TEST_CASE(overlong_body_gets_413_by_length_and_by_chunks) {
    BOOST_TEST(status_for("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n") == 413U);
    BOOST_TEST(
        status_for("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
                   std::string(101, 'x') + "\r\n0\r\n\r\n") == 413U);
    BOOST_TEST(exchanges.empty());
}

BOOST_AUTO_TEST_CASE(stalled_head_gets_408) {
    BOOST_TEST(status_for("GET /x HTTP/1.1\r\nHo") == 408U);
}

BOOST_AUTO_TEST_CASE(stalled_body_gets_408) {
    BOOST_TEST(status_for("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc") == 408U);
}

BOOST_AUTO_TEST_CASE(head_sent_byte_by_byte_is_cut_off_in_time) {
    raw_socket socket = connect();
    const instant begun = monotonic_now();
    const std::string head = "GET /" + std::string(100, 'x');
    for (const char letter : head) {
        socket.send({&letter, 1});
        run_for(milliseconds(10));
        if (!socket.received().empty()) {
            break;
        }
    }
    BOOST_TEST(socket.received().find("408") != std::string::npos);
    BOOST_TEST((monotonic_now() - begun < milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(idle_connection_is_closed_after_its_time) {
    raw_socket socket = connect();
    socket.send(get);
    BOOST_REQUIRE(run_until([&] { return !socket.received().empty(); }));
    run_for(milliseconds(200));
    BOOST_TEST(!socket.ended());
    BOOST_TEST(run_until([&] { return socket.ended(); }, milliseconds(400)));
    BOOST_TEST(run_until([&] { return server->connections() == 0; }));
}

BOOST_AUTO_TEST_CASE(caller_that_leaves_is_told_once) {
    answer_at_once = false;
    raw_socket socket = connect();
    socket.send(get);
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 1; }));
    int told = 0;
    exchanges[0]->on_closed([&] { told += 1; });
    socket.reset();
    BOOST_TEST(run_until([&] { return told == 1; }));
    exchanges[0]->answer(200, {}, "nobody reads this");
    BOOST_TEST(run_until([&] { return server->connections() == 0; }));
}

BOOST_AUTO_TEST_CASE(streamed_answer_comes_in_chunks_and_ends) {
    answer_at_once = false;
    raw_socket socket = connect();
    socket.send(get);
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 1; }));
    exchanges[0]->begin_answer(200, {{"Content-Type", "text/event-stream"}});
    exchanges[0]->send_piece("one");
    BOOST_TEST(
        run_until([&] { return socket.received().find("3\r\none\r\n") != std::string::npos; }));
    exchanges[0]->end_answer();
    BOOST_TEST(run_until([&] { return socket.received().ends_with("0\r\n\r\n"); }));
    BOOST_TEST(!socket.ended());
}

BOOST_AUTO_TEST_CASE(cut_answer_does_not_look_whole) {
    answer_at_once = false;
    raw_socket socket = connect();
    socket.send(get);
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 1; }));
    exchanges[0]->begin_answer(200, {});
    exchanges[0]->send_piece("one");
    exchanges[0]->cut();
    BOOST_TEST(run_until([&] { return socket.ended(); }));
    BOOST_TEST(!socket.received().ends_with("0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(draining_server_answers_and_closes) {
    raw_socket socket = connect();
    socket.send(get);
    BOOST_REQUIRE(run_until([&] { return !socket.received().empty(); }));
    socket.forget_received();
    server->begin_drain();
    socket.send(get);
    BOOST_TEST(run_until([&] { return socket.ended(); }));
    BOOST_TEST(socket.received().find("200 OK") != std::string::npos);
    BOOST_TEST(socket.received().find("Connection: close") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(shedding_server_ends_what_rests_and_what_is_answered_until_it_stops_shedding) {
    answer_at_once = false;
    raw_socket busy = connect();
    busy.send(get);
    raw_socket resting = connect();
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 1 && server->connections() == 2; }));
    server->shed(true);
    BOOST_TEST(run_until([&] { return resting.ended(); }));
    exchanges[0]->answer(200, {}, "done");
    BOOST_TEST(run_until([&] { return busy.ended(); }));
    BOOST_TEST(busy.received().find("Connection: close") != std::string::npos);
    BOOST_TEST(busy.received().find("done") != std::string::npos);
    server->shed(false);
    raw_socket kept = connect();
    kept.send(get);
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 2; }));
    exchanges[1]->answer(200, {}, "kept");
    BOOST_REQUIRE(run_until([&] { return kept.received().find("kept") != std::string::npos; }));
    BOOST_TEST(kept.received().find("Connection: close") == std::string::npos);
    BOOST_TEST(!kept.ended());
}

BOOST_AUTO_TEST_CASE(stopped_server_finishes_what_runs_and_ends_what_rests) {
    answer_at_once = false;
    raw_socket busy = connect();
    busy.send(get);
    raw_socket resting = connect();
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 1 && server->connections() == 2; }));
    server->stop_listening();
    BOOST_TEST(run_until([&] { return resting.ended(); }));
    BOOST_TEST(!busy.ended());
    exchanges[0]->answer(200, {}, "done");
    BOOST_TEST(run_until([&] { return busy.ended(); }));
    BOOST_TEST(busy.received().find("done") != std::string::npos);
}

// Connections of other accounts must stay when the callers of one are sent elsewhere.
BOOST_AUTO_TEST_CASE(closed_account_loses_its_idle_connections_and_no_others) {
    raw_socket large = connect();
    raw_socket other = connect();
    raw_socket unnamed = connect();
    answer_at_once = false;
    large.send(get);
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 1; }));
    exchanges[0]->set_account("large");
    exchanges[0]->answer(200, {}, "ok");
    other.send(get);
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 2; }));
    exchanges[1]->set_account("other");
    exchanges[1]->answer(200, {}, "ok");
    run_for(milliseconds(20));
    server->close_account("large", true);
    BOOST_TEST(run_until([&] { return large.ended(); }));
    run_for(milliseconds(20));
    BOOST_TEST(!other.ended());
    BOOST_TEST(!unnamed.ended());
}

BOOST_AUTO_TEST_CASE(closed_account_gets_its_present_answer_whole_and_then_the_end) {
    answer_at_once = false;
    raw_socket socket = connect();
    socket.send(get);
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 1; }));
    exchanges[0]->set_account("large");
    exchanges[0]->begin_answer(200, {});
    exchanges[0]->send_piece("first");
    server->close_account("large", true);
    run_for(milliseconds(20));
    BOOST_TEST(!socket.ended());
    exchanges[0]->send_piece("second");
    exchanges[0]->end_answer();
    BOOST_TEST(run_until([&] { return socket.ended(); }));
    BOOST_TEST(socket.received().find("second") != std::string::npos);
    BOOST_TEST(socket.received().ends_with("0\r\n\r\n"));
}

// The count shows who pays for a step back. Connections that end anyway would make it too high.
BOOST_AUTO_TEST_CASE(connections_that_end_because_of_their_account_are_reported_once_each) {
    answer_at_once = false;
    std::vector<std::string> closed;
    server->on_account_closed([&](std::string_view account) { closed.emplace_back(account); });
    std::vector<raw_socket> sockets;
    for (const std::string_view account : {"large", "large", "other"}) {
        sockets.push_back(connect());
        sockets.back().send(get);
        BOOST_REQUIRE(run_until([&] { return exchanges.size() == sockets.size(); }));
        exchanges.back()->set_account(account);
    }
    raw_socket leaving = connect();
    leaving.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 4; }));
    exchanges[3]->set_account("large");
    exchanges[0]->answer(200, {}, "ok");
    run_for(milliseconds(20));
    server->close_account("large", true);
    BOOST_TEST(run_until([&] { return sockets[0].ended(); }));
    BOOST_TEST(closed == std::vector<std::string>{"large"});
    exchanges[1]->answer(200, {}, "ok");
    exchanges[2]->answer(200, {}, "ok");
    exchanges[3]->answer(200, {}, "ok");
    BOOST_TEST(run_until([&] { return sockets[1].ended() && leaving.ended(); }));
    BOOST_TEST(closed == std::vector<std::string>({"large", "large"}),
               boost::test_tools::per_element());
    BOOST_TEST(!sockets[2].ended());
}

BOOST_AUTO_TEST_CASE(account_that_is_open_again_keeps_its_connections) {
    answer_at_once = false;
    server->close_account("large", true);
    server->close_account("large", false);
    raw_socket socket = connect();
    for (std::size_t turn = 1; turn <= 2; ++turn) {
        socket.send(get);
        BOOST_REQUIRE(run_until([&] { return exchanges.size() == turn; }));
        exchanges.back()->set_account("large");
        exchanges.back()->answer(200, {}, "ok");
        run_for(milliseconds(20));
    }
    BOOST_TEST(!socket.ended());
}

/// Guards against responses that are cut because their callers read slowly, when the connection
/// ends after them: because the entry drains or sheds, or the caller asks for it.
BOOST_AUTO_TEST_CASE(slow_reader_gets_a_whole_answer_on_a_connection_that_ends) {
    constexpr std::size_t answer_bytes = 16'000'000;
    answer_at_once = false;
    limits.head_timeout = seconds(3);
    raw_socket socket = raw_socket::connect(server->port(), 32'768);
    socket.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 1; }));
    exchanges[0]->answer(200, {}, std::string(answer_bytes, 'y'));
    run_for(milliseconds(700));
    BOOST_TEST(run_until([&] { return socket.ended(); }));
    BOOST_TEST(socket.received().size() > answer_bytes);
}

/// Guards against connections that are kept for callers which never read.
BOOST_AUTO_TEST_CASE(reader_that_stops_is_given_up_on_a_connection_that_ends) {
    answer_at_once = false;
    raw_socket socket = raw_socket::connect(server->port(), 32'768);
    socket.send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 1; }));
    exchanges[0]->answer(200, {}, std::string(16'000'000, 'y'));
    BOOST_TEST(run_until([&] { return server->connections() == 0; }, seconds(2)));
}

/// Guards against answers that are cut because the entry begins to shed callers while a slow reader
/// is still due the rest.
BOOST_AUTO_TEST_CASE(slow_reader_gets_a_whole_answer_when_shedding_begins) {
    constexpr std::size_t answer_bytes = 16'000'000;
    answer_at_once = false;
    limits.head_timeout = seconds(3);
    raw_socket socket = raw_socket::connect(server->port(), 32'768);
    socket.send(get);
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 1; }));
    exchanges[0]->answer(200, {}, std::string(answer_bytes, 'y'));
    server->shed(true);
    BOOST_TEST(run_until([&] { return socket.ended(); }));
    BOOST_TEST(socket.received().size() > answer_bytes);
}

BOOST_AUTO_TEST_SUITE_END()
