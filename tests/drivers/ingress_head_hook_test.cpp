#include <boost/test/unit_test.hpp>

#include "support/loop_runner.hpp"
#include "support/raw_socket.hpp"
#include "wrenswitch/drivers/ingress_server.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

const head_decision refusal{head_action::refuse, 503, {{"Retry-After", "0.250"}}, "link_share\n"};
const head_decision proceeding{};

/// A server whose hook answers as a test says and keeps the heads that wait.
struct head_hook_fixture : loop_runner {
    ingress_limits limits;
    head_decision decision{head_action::wait, 0, {}, {}};
    std::vector<std::shared_ptr<waiting_head>> waiting;
    std::vector<std::string> heads;
    std::vector<ingress_exchange_pointer> exchanges;
    std::string answer = "ok";
    std::size_t closed = 0;
    std::unique_ptr<ingress_server> server;

    head_hook_fixture() {
        limits.most_body_bytes = 4U * 1024U * 1024U;
        limits.head_timeout = milliseconds(150);
        limits.idle_timeout = milliseconds(1000);
        ingress_options options;
        options.receive_buffer_bytes = 4096;
        options.on_head = [this](const message_head& head,
                                 const std::shared_ptr<waiting_head>& wait) {
            heads.push_back(head.target);
            if (decision.action == head_action::wait) {
                waiting.push_back(wait);
                wait->on_closed([this] { closed += 1; });
            }
            return decision;
        };
        auto started = ingress_server::start(
            loop, "127.0.0.1", 0, [this] { return limits; },
            [this](const ingress_exchange_pointer& exchange) {
                exchanges.push_back(exchange);
                exchange->answer(200, {}, answer);
            },
            std::move(options));
        BOOST_REQUIRE(started.has_value());
        server = std::move(started.value());
    }

    raw_socket connect() const { return raw_socket::connect(server->port()); }

    static std::string post(std::size_t length) {
        return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(length) +
               "\r\n\r\n";
    }

    bool receives(raw_socket& socket, std::string_view part) {
        return run_until([&] { return socket.received().find(part) != std::string::npos; });
    }

    bool waits(std::size_t count) {
        return run_until([&] { return waiting.size() == count; });
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ingress_head_hook_test, head_hook_fixture)

BOOST_AUTO_TEST_CASE(hook_decides_before_the_body_has_arrived) {
    raw_socket socket = connect();
    socket.send(post(4));
    BOOST_REQUIRE(waits(1));
    BOOST_TEST(exchanges.empty());
    waiting[0]->end_wait(proceeding);
    socket.send("body");
    BOOST_TEST(receives(socket, "200 OK"));
    BOOST_TEST(exchanges.at(0)->body() == "body");
}

BOOST_AUTO_TEST_CASE(request_that_proceeds_at_once_is_read_as_without_a_hook) {
    decision = proceeding;
    raw_socket socket = connect();
    for (const std::string& request :
         {post(4) + "body", std::string("GET /y HTTP/1.1\r\nHost: h\r\n\r\n"),
          std::string("POST /z HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "4\r\nbody\r\n0\r\n\r\n")}) {
        socket.send(request);
        BOOST_TEST(receives(socket, "200 OK"));
        socket.forget_received();
    }
    BOOST_REQUIRE(exchanges.size() == 3U);
    BOOST_TEST(exchanges[0]->body() == "body");
    BOOST_TEST(exchanges[1]->body().empty());
    BOOST_TEST(exchanges[2]->body() == "body");
    BOOST_TEST((exchanges[0]->waited() == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(body_that_is_sent_at_once_waits_for_the_decision) {
    raw_socket socket = connect();
    socket.send(post(4) + "body");
    BOOST_REQUIRE(waits(1));
    run_for(milliseconds(250));
    BOOST_TEST(exchanges.empty());
    BOOST_TEST(socket.received().empty());
    waiting[0]->end_wait(proceeding);
    BOOST_TEST(receives(socket, "200 OK"));
    BOOST_TEST(exchanges.at(0)->body() == "body");
    BOOST_TEST((exchanges.at(0)->waited() >= milliseconds(240)));
}

BOOST_AUTO_TEST_CASE(refused_head_is_answered_before_its_body_and_its_connection_closes) {
    decision = refusal;
    raw_socket socket = connect();
    socket.send(post(100'000));
    BOOST_REQUIRE(receives(socket, "link_share"));
    BOOST_TEST(socket.received().find("HTTP/1.1 503 ") == 0U);
    BOOST_TEST(socket.received().find("Retry-After: 0.250\r\n") != std::string::npos);
    BOOST_TEST(socket.received().find("Connection: close\r\n") != std::string::npos);
    // What still arrives must neither reset the connection before the answer is read nor be taken
    // for another request.
    socket.send(std::string(50'000, 'x'));
    BOOST_TEST(run_until([&] { return server->connections() == 0; }));
    BOOST_TEST(exchanges.empty());
    BOOST_TEST(heads.size() == 1U);
}

BOOST_AUTO_TEST_CASE(waiting_head_can_be_refused) {
    raw_socket socket = connect();
    socket.send(post(4) + "body");
    BOOST_REQUIRE(waits(1));
    waiting[0]->end_wait(refusal);
    BOOST_TEST(receives(socket, "503 Service Unavailable"));
    BOOST_TEST(run_until([&] { return socket.ended(); }));
    BOOST_TEST(exchanges.empty());
}

/// Reading is paused: most of a large body must stay with its caller.
BOOST_AUTO_TEST_CASE(waiting_request_applies_backpressure_to_its_caller) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const int own_buffer = 4096;
    ::setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &own_buffer, sizeof own_buffer);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server->port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    raw_socket owner(socket);
    std::string text = post(1'000'000) + std::string(1'000'000, 'x');
    std::size_t sent = 0;
    const auto send_more = [&] {
        const auto taken = ::send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        sent += taken > 0 ? static_cast<std::size_t>(taken) : 0;
        return sent == text.size();
    };
    send_more();
    BOOST_REQUIRE(waits(1));
    BOOST_TEST(!run_until(send_more, milliseconds(300)));
    BOOST_TEST(sent < 100'000U);
    waiting[0]->end_wait(proceeding);
    BOOST_TEST(run_until([&] { return send_more() && !exchanges.empty(); }));
    BOOST_TEST(exchanges.at(0)->body().size() == 1'000'000U);
}

BOOST_AUTO_TEST_CASE(disconnect_while_waiting_is_told_at_once) {
    raw_socket socket = connect();
    socket.send(post(4) + "body");
    BOOST_REQUIRE(waits(1));
    socket.close();
    BOOST_TEST(run_until([&] { return closed == 1; }));
    waiting[0]->end_wait(proceeding);
    run_for(milliseconds(20));
    BOOST_TEST(exchanges.empty());
    BOOST_TEST(server->connections() == 0U);
}

/// The end of a connection lies behind a body that isn't read.
BOOST_AUTO_TEST_CASE(disconnect_behind_an_unread_body_is_found_when_the_wait_ends) {
    for (const bool reset : {false, true}) {
        waiting.clear();
        raw_socket socket = connect();
        socket.send(post(8000) + std::string(8000, 'x'));
        BOOST_REQUIRE(waits(1));
        reset ? socket.reset() : socket.close();
        run_for(milliseconds(30));
        waiting[0]->end_wait(proceeding);
        run_for(milliseconds(20));
        BOOST_TEST(exchanges.empty());
        BOOST_TEST(server->connections() == 0U);
    }
    BOOST_TEST(closed == 2U);
}

BOOST_AUTO_TEST_CASE(end_of_an_earlier_wait_has_no_effect) {
    raw_socket socket = connect();
    socket.send(post(4) + "body");
    BOOST_REQUIRE(waits(1));
    waiting[0]->end_wait(proceeding);
    BOOST_REQUIRE(receives(socket, "200 OK"));
    socket.send(post(4) + "next");
    BOOST_REQUIRE(waits(2));
    waiting[0]->end_wait(refusal);
    waiting[0]->end_wait(proceeding);
    run_for(milliseconds(20));
    BOOST_TEST(exchanges.size() == 1U);
    waiting[1]->end_wait(proceeding);
    BOOST_TEST(run_until([&] { return exchanges.size() == 2; }));
}

BOOST_AUTO_TEST_CASE(head_that_never_ends_is_not_decided_on) {
    raw_socket socket = connect();
    socket.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-");
    BOOST_TEST(receives(socket, "408 Request Timeout"));
    BOOST_TEST(heads.empty());
}

BOOST_AUTO_TEST_CASE(body_that_stalls_after_its_wait_gets_408) {
    raw_socket socket = connect();
    socket.send(post(10) + "abc");
    BOOST_REQUIRE(waits(1));
    // A wait longer than the timeout of heads and bodies must not count against the caller.
    run_for(milliseconds(300));
    BOOST_TEST(socket.received().empty());
    waiting[0]->end_wait(proceeding);
    BOOST_TEST(receives(socket, "408 Request Timeout"));
    BOOST_TEST(exchanges.empty());
}

BOOST_AUTO_TEST_CASE(body_without_a_length_waits_and_is_read_whole) {
    raw_socket socket = connect();
    socket.send(
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        "4\r\nbody\r\n0\r\n\r\n");
    BOOST_REQUIRE(waits(1));
    BOOST_TEST(exchanges.empty());
    waiting[0]->end_wait(proceeding);
    BOOST_TEST(receives(socket, "200 OK"));
    BOOST_TEST(exchanges.at(0)->body() == "body");
}

/// The invitation to send a body is a promise to read it.
BOOST_AUTO_TEST_CASE(caller_that_asks_is_invited_only_when_its_request_proceeds) {
    raw_socket socket = connect();
    socket.send("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    BOOST_REQUIRE(waits(1));
    run_for(milliseconds(20));
    BOOST_TEST(socket.received().empty());
    waiting[0]->end_wait(proceeding);
    BOOST_TEST(receives(socket, "100 "));
    socket.send("body");
    BOOST_TEST(receives(socket, "200 OK"));
}

BOOST_AUTO_TEST_CASE(improper_heads_are_refused_without_a_decision) {
    raw_socket socket = connect();
    socket.send("POST /x HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody");
    BOOST_TEST(receives(socket, "400 Bad Request"));
    BOOST_TEST(heads.empty());
}

/// Many connections of one account wait while another account's request is served.
BOOST_AUTO_TEST_CASE(many_waiting_connections_do_not_hold_others) {
    constexpr std::size_t count = 300;
    std::vector<raw_socket> sockets;
    for (std::size_t number = 0; number < count; ++number) {
        sockets.push_back(connect());
        sockets.back().send(post(4) + "body");
        if (number % 50 == 49) {
            BOOST_REQUIRE(waits(number + 1));
        }
    }
    decision = proceeding;
    raw_socket other = connect();
    other.send(post(4) + "body");
    BOOST_TEST(receives(other, "200 OK"));
    for (const auto& each : waiting) {
        each->end_wait(proceeding);
    }
    BOOST_TEST(run_until([&] { return exchanges.size() == count + 1; }));
}

/// A caller that reads slowly must not hold the answers of others.
BOOST_AUTO_TEST_CASE(caller_that_does_not_read_holds_no_other) {
    decision = proceeding;
    answer = std::string(8'000'000, 'x');
    raw_socket slow = connect();
    slow.send(post(4) + "body");
    BOOST_REQUIRE(run_until([&] { return exchanges.size() == 1; }));
    BOOST_TEST(exchanges[0]->unsent_bytes() > 0U);
    answer = "ok";
    raw_socket other = connect();
    other.send(post(4) + "body");
    BOOST_TEST(receives(other, "200 OK"));
    BOOST_TEST(exchanges[0]->unsent_bytes() > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
