#include <array>
#include <boost/test/unit_test.hpp>

#include "platform/gateway_fixture.hpp"
#include "support/endless_target.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Statuses that no answer may have.
constexpr std::array<const char*, 5> invalid_statuses{"000", "099", "600", "700", "999"};

/// A gateway before a target of each service whose answers have a status of the test's choice.
struct invalid_status_fixture : gateway_fixture {
    std::string status = "000";
    std::string framing = "Content-Length: 2\r\n\r\nok";
    bool ends_connection = false;
    int sent = 0;
    endless_target engine_target{loop,
                                 [this](const std::string& head) { return answer_to_head(head); }};
    endless_target plain_target{loop,
                                [this](const std::string& head) { return answer_to_head(head); }};

    invalid_status_fixture() {
        for (const worker_standin* replaced : {&engine, &plain}) {
            store.put("keyed.servers", replaced->id(), std::nullopt);
        }
        put_target("llm", engine_target);
        put_target("app", plain_target);
        start_gateway();
        run_for(milliseconds(300));
    }

    endless_target::answer answer_to_head(const std::string& head) const {
        constexpr std::string_view name = "Request-Id: ";
        const std::size_t begin = head.find(name) + name.size();
        const std::string id = head.substr(begin, head.find('\r', begin) - begin);
        return {"HTTP/1.1 " + status + " Odd\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\n" +
                    framing,
                "", ends_connection};
    }

    void put_target(const std::string& service, const endless_target& target) {
        store.put("keyed.servers", "i-" + service,
                  R"({"service":")" + service + R"(","addr":"127.0.0.1:)" +
                      std::to_string(target.port()) +
                      R"(","zone":"z1","slots":6,"coldLeftMs":0,"state":"ready","seq":1})");
    }

    /// The caller is told at once that the request may have run, and gets nothing of the target's.
    void check_failures(const std::string& path, const std::string& more = "") {
        for (const char* each : invalid_statuses) {
            status = each;
            const std::string received = answer_to(
                request(path, "Connection: close\r\n" + more, "r" + std::to_string(++sent)));
            BOOST_TEST(status_in(received) == 502U, "status " << each << ": " << received);
            BOOST_TEST(received.find("Server-Stamp") == std::string::npos);
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(invalid_status_live, invalid_status_fixture)

// The cases guard against an answer without a valid status that reaches a caller as an answer, or
// that its caller waits for until the deadline.

BOOST_AUTO_TEST_CASE(plain_answer_with_length_and_invalid_status_is_a_failure) {
    check_failures("/once/1");
}

BOOST_AUTO_TEST_CASE(plain_answer_in_chunks_with_invalid_status_is_a_failure) {
    framing = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n";
    check_failures("/once/1");
}

BOOST_AUTO_TEST_CASE(plain_answer_that_ends_with_its_connection_and_invalid_status_is_a_failure) {
    framing = "\r\nok";
    ends_connection = true;
    check_failures("/once/1");
}

BOOST_AUTO_TEST_CASE(streamed_answer_in_chunks_with_invalid_status_is_a_failure) {
    framing =
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        "f\r\nid: 1\ndata: x\n\n\r\n0\r\n\r\n";
    check_failures("/stream/1", usage);
}

BOOST_AUTO_TEST_CASE(
    streamed_answer_that_ends_with_its_connection_and_invalid_status_is_a_failure) {
    framing = "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n";
    ends_connection = true;
    check_failures("/stream/1", usage);
}

BOOST_AUTO_TEST_SUITE_END()
