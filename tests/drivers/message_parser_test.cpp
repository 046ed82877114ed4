#include "wrenswitch/drivers/message_parser.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// A parser that keeps the last message.
struct parser_fixture {
    message_head head;
    std::string body;
    int ended = 0;

    message_parser make(message_kind kind, std::size_t most_header_bytes = 1000) {
        return {kind,
                {most_header_bytes},
                {[this](message_head arrived) -> result<void> {
                     head = std::move(arrived);
                     return outcome::success();
                 },
                 [this](std::string_view piece) { body.append(piece); }, [this] { ended += 1; }}};
    }

    /// True if the request is refused as malformed.
    bool refuses(std::string_view bytes) {
        message_parser parser = make(message_kind::request);
        const auto taken = parser.feed(bytes);
        return !taken && taken.error().code == error_code::bad_input;
    }
};

constexpr std::string_view line = "POST /a HTTP/1.1\r\nHost: h\r\n";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(message_parser_test, parser_fixture)

BOOST_AUTO_TEST_CASE(request_in_single_bytes_is_read_whole) {
    message_parser parser = make(message_kind::request);
    const std::string text =
        std::string(line) + "X-Long: some value\r\nContent-Length: 3\r\n\r\nabc";
    for (const char letter : text) {
        BOOST_REQUIRE(parser.feed({&letter, 1}).has_value());
    }
    BOOST_TEST(ended == 1);
    BOOST_TEST(head.target == "/a");
    BOOST_TEST(head.header("x-long") == "some value");
    BOOST_TEST(body == "abc");
}

BOOST_AUTO_TEST_CASE(answer_with_an_invalid_status_is_malformed) {
    for (const char* status : {"000", "001", "99", "600", "999"}) {
        message_parser parser = make(message_kind::answer);
        const auto taken =
            parser.feed("HTTP/1.1 " + std::string(status) + " Odd\r\nContent-Length: 2\r\n\r\nok");
        BOOST_REQUIRE(!taken);
        BOOST_TEST((taken.error().code == error_code::bad_input), "status " << status);
    }
    BOOST_TEST(head.headers.empty());
    BOOST_TEST(ended == 0);
}

BOOST_AUTO_TEST_CASE(answer_with_a_status_at_the_bounds_is_read) {
    for (const char* status : {"200", "599"}) {
        message_parser parser = make(message_kind::answer);
        BOOST_TEST(
            parser.feed("HTTP/1.1 " + std::string(status) + " Odd\r\nContent-Length: 2\r\n\r\nok")
                .has_value());
    }
    BOOST_TEST(ended == 2);
}

BOOST_AUTO_TEST_CASE(pipelined_request_is_left_unread) {
    message_parser parser = make(message_kind::request);
    const std::string one = std::string(line) + "Content-Length: 0\r\n\r\n";
    const auto taken = parser.feed(one + one);
    BOOST_REQUIRE(taken.has_value());
    BOOST_TEST(taken.value() == one.size());
    BOOST_TEST(ended == 1);
    BOOST_TEST(parser.feed(one).value() == one.size());
    BOOST_TEST(ended == 2);
}

BOOST_AUTO_TEST_CASE(length_beside_chunks_is_refused) {
    BOOST_TEST(refuses(std::string(line) +
                       "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
    BOOST_TEST(refuses(std::string(line) +
                       "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(repeated_length_is_refused) {
    BOOST_TEST(refuses(std::string(line) + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(length_that_is_no_number_is_refused) {
    for (const char* length : {"-1", "+5", "5x", "0x5", "99999999999999999999999"}) {
        BOOST_TEST_CONTEXT(length) {
            BOOST_TEST(refuses(std::string(line) + "Content-Length: " + length + "\r\n\r\n"));
        }
    }
}

BOOST_AUTO_TEST_CASE(unknown_transfer_coding_is_refused) {
    BOOST_TEST(refuses(std::string(line) + "Transfer-Encoding: gzip\r\n\r\n"));
    BOOST_TEST(refuses(std::string(line) + "Transfer-Encoding: chunked, gzip\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(blank_in_a_header_name_is_refused) {
    BOOST_TEST(refuses(std::string(line) + "Content-Length : 5\r\n\r\n"));
    BOOST_TEST(refuses(std::string(line) + "Bad Name: 5\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(malformed_chunk_is_refused) {
    BOOST_TEST(refuses(std::string(line) + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"));
}

BOOST_AUTO_TEST_CASE(garbage_is_refused) {
    BOOST_TEST(refuses("\x16\x03\x01\x02"));
    BOOST_TEST(refuses("GET\r\n\r\n"));
}

BOOST_AUTO_TEST_CASE(overlong_head_is_too_large) {
    message_parser parser = make(message_kind::request, 100);
    const auto taken = parser.feed(std::string(line) + "X: " + std::string(200, 'x') + "\r\n\r\n");
    BOOST_REQUIRE(!taken.has_value());
    BOOST_TEST((taken.error().code == error_code::too_large));
}

BOOST_AUTO_TEST_CASE(chunked_body_is_joined_and_trailers_are_dropped) {
    message_parser parser = make(message_kind::request);
    BOOST_REQUIRE(parser
                      .feed(std::string(line) +
                            "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n"
                            "Host: smuggled\r\n\r\n")
                      .has_value());
    BOOST_TEST(ended == 1);
    BOOST_TEST(body == "abc");
    BOOST_TEST(head.header("Host") == "h");
}

BOOST_AUTO_TEST_CASE(upgrade_is_read_as_a_plain_request) {
    message_parser parser = make(message_kind::request);
    const std::string text =
        std::string(line) + "Connection: upgrade\r\nUpgrade: x\r\nContent-Length: 2\r\n\r\nab";
    BOOST_TEST(parser.feed(text).value() == text.size());
    BOOST_TEST(body == "ab");
    BOOST_TEST(ended == 1);
}

BOOST_AUTO_TEST_CASE(answer_without_length_ends_with_its_connection) {
    message_parser parser = make(message_kind::answer);
    BOOST_REQUIRE(parser.feed("HTTP/1.1 200 OK\r\n\r\nabc").has_value());
    BOOST_TEST(ended == 0);
    BOOST_TEST(ends_with_connection(head));
    BOOST_TEST(parser.end_of_input());
    BOOST_TEST(ended == 1);
    BOOST_TEST(body == "abc");
}

BOOST_AUTO_TEST_CASE(answer_cut_before_its_length_is_not_whole) {
    message_parser parser = make(message_kind::answer);
    BOOST_REQUIRE(parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc").has_value());
    BOOST_TEST(!parser.end_of_input());
    BOOST_TEST(ended == 0);
}

BOOST_AUTO_TEST_CASE(interim_answer_is_passed_over) {
    message_parser parser = make(message_kind::answer);
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string text = interim + "HTTP/1.1 204 No Content\r\n\r\n";
    BOOST_REQUIRE(parser.feed(text).has_value());
    BOOST_TEST(ended == 1);
    BOOST_TEST(head.status == 204U);
}

BOOST_AUTO_TEST_CASE(headers_of_the_connection_are_not_end_to_end) {
    message_parser parser = make(message_kind::request);
    BOOST_REQUIRE(
        parser
            .feed(std::string(line) +
                  "Connection: close, X-Mine\r\nX-Mine: 1\r\nX-Theirs: 2\r\nTE: x\r\n\r\n")
            .has_value());
    const std::vector<http_header> kept = end_to_end_headers(head);
    BOOST_REQUIRE(kept.size() == 2U);
    BOOST_TEST(kept[0].name == "Host");
    BOOST_TEST(kept[1].name == "X-Theirs");
}

BOOST_AUTO_TEST_SUITE_END()
