#include <bus.pb.h>

#include <boost/test/unit_test.hpp>

#include "roles/placing_gateways.hpp"

using namespace wrenswitch;
using namespace wrenswitch::testing;

BOOST_FIXTURE_TEST_SUITE(placement_silence_test, placement_exchange_fixture)

/// Guards against a coordinator behind a saturated link that is taken for lost although it answers.
BOOST_AUTO_TEST_CASE(coordinator_with_late_replies_is_not_reported_as_unresponsive) {
    constexpr microseconds delay = milliseconds(80);
    place(*requester, prompt(3));
    requester->exchange.set_timeouts({});
    coordinator->bus->on_message([&](const message_origin& origin, const wire::Envelope& message) {
        loop.call_after(
            delay, [&, origin, message] { coordinator->exchange.on_message(origin, message); });
    });
    const std::size_t responses = requester->responded.size();
    for (std::uint64_t session = 7; session < 37; ++session) {
        BOOST_TEST(!place(*requester, prompt(session)).empty());
        run_for(milliseconds(30));
    }
    BOOST_TEST(requester->responded.size() > responses);
    BOOST_TEST(requester->unresponsive.empty());
}

BOOST_AUTO_TEST_SUITE_END()
