#include <boost/test/unit_test.hpp>

#include "platform/gateway_fixture.hpp"
#include "support/loopback_proxy.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_live_test, gateway_fixture)

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

BOOST_AUTO_TEST_CASE(store_that_is_busy_is_told_as_lost_and_requests_go_on) {
    start_gateway();
    BOOST_TEST(status_in(answer_to(request("/once/1"))) == 200U);
    store.busy = true;
    run_for(seconds(1));
    BOOST_TEST(status_in(answer_to(request("/once/2"))) == 200U);
    BOOST_TEST(gateway->output().find("event=log_lost") != std::string::npos);
    store.busy = false;
    BOOST_TEST(run_until(
        [this] { return gateway->output().find("event=log_regained") != std::string::npos; }));
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
