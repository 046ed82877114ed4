#include <boost/test/unit_test.hpp>

#include "support/endless_target.hpp"
#include "support/fleet_fixture.hpp"

namespace {

using namespace wrenswitch;
using wrenswitch::test::fleet_fixture;
using wrenswitch::testing::endless_target;
using wrenswitch::testing::raw_socket;

const std::string load_report =
    "HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n{\"batch\":1,\"queue\":0,\"memory\":0}";
const std::string whole_answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

/// An entry and a guard before a plain target that the test plays.
struct broken_target_fixture : fleet_fixture {
    static constexpr std::size_t max_growth_kb = 128U * 1024U;
    endless_target::answer call_answer{whole_answer, ""};
    endless_target::answer load_answer{load_report, ""};
    endless_target target{loop(), [this](const std::string& head) {
                              return head.starts_with("GET /load") ? load_answer : call_answer;
                          }};

    void start() { start_with(target.port()); }

    void start_with(std::uint16_t target_port) {
        start_log();
        add_target("target", {"127.0.0.1", target_port});
        start_entry("entry1");
        wait_for_event("entry1", "entry_active");
        start_guard("guard", "plain", "target");
        wait_for_event("guard", "guard_active");
        configure("entry1", 100'000);
    }

    /// Plays a call whose answer isn't one. Its caller has to be told, and the guard to stay small.
    void play_broken_call() {
        start();
        const std::size_t memory_before = process("guard").resident_kb();
        const auto call = call_service("entry1", "override-1");
        std::size_t most_memory = 0;
        wait_until(
            [&] {
                most_memory = std::max(most_memory, process("guard").resident_kb());
                return call->done;
            },
            "the outcome");
        BOOST_TEST(call->status == 502U);
        BOOST_TEST(call->ran() == "unknown");
        BOOST_TEST(most_memory < memory_before + max_growth_kb);
        call_answer = {whole_answer, ""};
        const auto next = call_service("entry1", "override-2");
        wait_for(next, "the next call");
        BOOST_TEST(next->status == 200U);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(broken_target_test, broken_target_fixture)

// The first cases guard against bytes without end that a guard collects for ever.

BOOST_AUTO_TEST_CASE(answer_head_without_end_through_a_guard_is_a_failure) {
    call_answer = {"HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxxxxxxxx"};
    play_broken_call();
}

BOOST_AUTO_TEST_CASE(interim_answers_without_end_through_a_guard_are_a_failure) {
    call_answer = {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"};
    play_broken_call();
}

BOOST_AUTO_TEST_CASE(answer_body_without_end_through_a_guard_is_a_failure) {
    call_answer = {"HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxxxxxxxx"};
    play_broken_call();
}

// Guards against an answer without a valid status that reaches a caller as an answer.
BOOST_AUTO_TEST_CASE(answer_with_an_invalid_status_through_a_guard_is_a_failure) {
    call_answer = {"HTTP/1.1 000 Odd\r\nContent-Length: 4\r\n\r\ndone", ""};
    play_broken_call();
}

BOOST_AUTO_TEST_CASE(streamed_answer_with_an_invalid_status_through_a_guard_is_a_failure) {
    call_answer = {"HTTP/1.1 999 Odd\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
                   ""};
    play_broken_call();
}

// Guards against a health probe whose reply fills the guard's memory or ends it.
BOOST_AUTO_TEST_CASE(load_reports_without_end_hold_up_no_call) {
    load_answer = {"HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxxxxxxxx"};
    start();
    const std::size_t memory_before = process("guard").resident_kb();
    for (int number = 0; number < 20; ++number) {
        const auto call = call_service("entry1", "override-" + std::to_string(number));
        wait_for(call, "the outcome");
        BOOST_TEST(call->status == 200U);
    }
    wait_until([this] { return target.requests() > 40U; }, "further reports");
    BOOST_TEST(process("guard").resident_kb() < memory_before + max_growth_kb);
}

// Guards against a process that ends because a value of a report is no number.
BOOST_AUTO_TEST_CASE(load_reports_with_damaged_values_end_no_guard) {
    load_answer = {
        "HTTP/1.1 200 OK\r\nContent-Length: "
        "41\r\n\r\n{\"batch\":\"x\",\"queue\":1e300,\"memory\":[null]}",
        ""};
    start();
    wait_until([this] { return target.requests() > 5U; }, "some reports");
    const auto call = call_service("entry1", "override-1");
    wait_for(call, "the outcome");
    BOOST_TEST(call->status == 200U);
    BOOST_TEST(!process("guard").ended());
}

// Guards against a truncated body that looks whole because its target was gone.
BOOST_AUTO_TEST_CASE(
    answer_of_a_target_that_is_killed_under_an_upload_through_a_guard_is_no_success) {
    constexpr int receive_buffer = 2048;
    raw_socket listener = raw_socket::listen(0, 64, receive_buffer);
    listener.limit_segments();
    start_with(listener.port());
    const auto call = send("entry1", "/v1/services/plain/x", std::string(9000, 'u'));
    raw_socket peer;
    std::vector<raw_socket> others;
    wait_until(
        [&] {
            raw_socket next = listener.accept();
            if (next.open()) {
                others.push_back(std::move(next));
            }
            for (raw_socket& each : others) {
                each.read(256);
                if (each.read_so_far().starts_with("POST") &&
                    each.read_so_far().find("\r\n\r\n") != std::string::npos) {
                    peer = std::move(each);
                    return true;
                }
            }
            return false;
        },
        "the call");
    peer.send("HTTP/1.1 200 OK\r\n\r\na part of the body");
    const instant begun = monotonic_now();
    wait_until([&] { return monotonic_now() - begun > milliseconds(50); }, "the answer's way");
    peer.end_sending();
    wait_until([&] { return monotonic_now() - begun > milliseconds(70); }, "the end's way");
    peer.reset();
    wait_for(call, "the outcome");
    BOOST_TEST(call->status == 502U);
}

BOOST_AUTO_TEST_SUITE_END()
