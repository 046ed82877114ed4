#include "wrenswitch/drivers/http_client.hpp"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "support/loop_runner.hpp"
#include "support/raw_socket.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// A client before a peer that the test plays.
struct http_client_fixture : loop_runner {
    raw_socket listener = raw_socket::listen();
    http_client client{loop, {"127.0.0.1", listener.port()}};
    std::string pieces;

    /// What the client makes of a reply.
    result<http_reply> reply_of(const std::string& bytes, bool in_pieces = false) {
        std::optional<result<http_reply>> told;
        http_piece_hook on_piece;
        if (in_pieces) {
            on_piece = [this](const http_reply&, std::string_view piece) { pieces += piece; };
        }
        http_request request;
        request.target = "/load";
        request.fresh_connection = true;
        const auto call = client.send(
            std::move(request), [&told](result<http_reply> reply) { told = std::move(reply); },
            std::move(on_piece));
        raw_socket peer;
        bool answered = false;
        BOOST_REQUIRE(run_until([&] {
            if (!peer.open()) {
                peer = listener.accept();
            }
            const bool asked = peer.open() && peer.received().find("\r\n\r\n") != std::string::npos;
            if (asked && !std::exchange(answered, true)) {
                peer.send(bytes);
            }
            return told.has_value();
        }));
        run_for(milliseconds(5));
        return *told;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(http_client_test, http_client_fixture)

BOOST_AUTO_TEST_CASE(reply_with_a_valid_status_is_told) {
    const auto reply = reply_of("HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno");
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply.value().status == 404U);
    BOOST_TEST(reply.value().body == "no");
}

BOOST_AUTO_TEST_CASE(reply_with_an_invalid_status_is_a_failure) {
    for (const char* status : {"000", "99", "600", "999"}) {
        const auto reply =
            reply_of("HTTP/1.1 " + std::string(status) + " Odd\r\nContent-Length: 2\r\n\r\nno");
        BOOST_TEST(!reply.has_value(), "status " << status);
    }
}

BOOST_AUTO_TEST_CASE(pieces_of_a_reply_with_an_invalid_status_are_dropped) {
    const auto reply = reply_of(
        "HTTP/1.1 600 Odd\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n", true);
    BOOST_TEST(!reply.has_value());
    BOOST_TEST(pieces.empty());
}

BOOST_AUTO_TEST_SUITE_END()
