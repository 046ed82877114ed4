#include <boost/test/unit_test.hpp>

#include "platform/gateway_fixture.hpp"
#include "support/loopback_proxy.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// How soon logs must be told as lost when the store refuses all calls. The reads that requests
/// depend on are held open for 700 ms; the rest is for timers and the scheduling of the processes.
constexpr microseconds told_by_reads = seconds(1);

/// The same beside a relay that doesn't run. A held read takes 700 ms more there, and 700 ms
/// (600 ms for a late reply, 100 ms for the relay) pass until it has timed out.
constexpr microseconds told_by_relayed_reads = milliseconds(2400);

/// The same for a call that isn't held open: 700 ms, and 300 ms for timers and scheduling.
constexpr microseconds told_by_relayed_calls = seconds(1);

struct store_fixture : gateway_fixture {
    bool is_logged(const std::string& event, const std::string& log) const {
        return gateway->output().find("event=" + event + " log=" + log) != std::string::npos;
    }

    /// True if the event was logged of each log that requests depend on.
    bool all_logged(const std::string& event) const {
        return is_logged(event, "op") && is_logged(event, "servers") && is_logged(event, "grants");
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_live_test, store_fixture)

BOOST_AUTO_TEST_CASE(append_whose_answer_is_lost_still_pays) {
    store.lose_append_answers = true;
    start_gateway();
    BOOST_TEST(status_in(answer_to(request("/stream/1", usage))) == 200U);
}

BOOST_AUTO_TEST_CASE(gateway_whose_way_to_the_store_breaks_works_through_a_relay) {
    start_relay();
    // The way is a forwarder that can be silenced: what a cut between the gateway and the store is.
    loopback_proxy way(loop, store.port());
    service_address = "127.0.0.1:" + std::to_string(way.port());
    start_gateway();
    BOOST_TEST(status_in(answer_to(request("/stream/1", usage))) == 200U);
    way.silent = true;
    keys = R"(["key-2"])";
    configure();
    // In force within two seconds, though the direct way says nothing any more.
    run_for(milliseconds(1800));
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 401U);
    way.silent = false;
    BOOST_TEST(run_until([this] {
        return gateway->output().find("event=service_direct_regained") != std::string::npos;
    }));
}

/// Without relays a read that the store refuses shows the loss at once, so each log is told as lost
/// when the read ends that was held open before. A later line hides an outage from the operators.
BOOST_AUTO_TEST_CASE(store_that_is_busy_is_told_as_lost_and_requests_go_on) {
    relay_port = 0;
    start_gateway();
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 200U);
    // The first draw of tokens is over, so that no other call than the reads meets the refusals.
    BOOST_REQUIRE(run_until([this] { return account_has_grants(); }));
    store.busy = true;
    BOOST_TEST(run_until([this] { return all_logged("log_lost"); }, told_by_reads));
    BOOST_TEST(status_in(answer_to(request("/once/2"))) == 200U);
    store.busy = false;
    BOOST_TEST(run_until([this] { return all_logged("log_regained"); }));
}

/// A relay that is listed and doesn't run can't be told from one that holds the read open, so it is
/// waited for until the read's own timeout. Then the logs are lost, and requests go on all the
/// time.
BOOST_AUTO_TEST_CASE(store_that_is_busy_is_told_as_lost_once_a_dead_relay_has_timed_out) {
    start_gateway();
    BOOST_REQUIRE(run_until([this] { return account_has_grants(); }));
    store.busy = true;
    const instant began = monotonic_now();
    run_for(seconds(1));
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 200U);
    BOOST_TEST(run_until([this] { return all_logged("log_lost"); },
                         told_by_relayed_reads - (monotonic_now() - began)));
    BOOST_TEST(status_in(answer_to(request("/once/2"))) == 200U);
    store.busy = false;
    BOOST_TEST(run_until([this] { return all_logged("log_regained"); }));
}

/// A draw of tokens isn't held open, so a refused one times out at the relay sooner than the reads
/// and shows the loss of the grants before them.
BOOST_AUTO_TEST_CASE(store_that_refuses_a_draw_is_told_as_lost_once_the_draw_has_timed_out) {
    start_gateway();
    BOOST_REQUIRE(run_until([this] { return account_has_grants(); }));
    store.busy = true;
    // More than the first draw, so that another one is due at once.
    const raw_socket caller = send(request("/stream/1", "Token-Usage: 20000,50\r\n"));
    BOOST_TEST(
        run_until([this] { return is_logged("log_lost", "grants"); }, told_by_relayed_calls));
}

BOOST_AUTO_TEST_CASE(refusal_for_want_of_tokens_while_the_log_is_away_says_so_with_a_longer_time) {
    start_gateway();
    store.busy = true;
    BOOST_REQUIRE(run_until([this] {
        return gateway->output().find("event=log_lost log=grants") != std::string::npos;
    }));
    std::string refusal;
    for (int turn = 0; turn < 12 && refusal.empty(); ++turn) {
        const std::string answer =
            answer_to(request("/stream/1", usage, "r" + std::to_string(turn)));
        refusal = status_in(answer) == 503U ? answer : "";
    }
    BOOST_TEST(refusal.find("Retry-After: 2.000") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
