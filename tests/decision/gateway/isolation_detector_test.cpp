#include "wrenswitch/decision/gateway/isolation_detector.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

struct isolation_fixture {
    isolation_detector detector;

    isolation_fixture() { detector.record_contact(now); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(isolation_detector_test, isolation_fixture)

BOOST_AUTO_TEST_CASE(silence_without_unresponsive_peers_is_not_isolation) {
    BOOST_TEST(!detector.is_isolated(now + seconds(60)));
}

BOOST_AUTO_TEST_CASE(single_unresponsive_peer_is_not_isolation) {
    detector.record_unresponsive("h1");
    detector.record_unresponsive("h1");
    BOOST_TEST(!detector.is_isolated(now + seconds(60)));
}

BOOST_AUTO_TEST_CASE(several_unresponsive_peers_without_other_contact_are_isolation) {
    detector.record_unresponsive("h1");
    detector.record_unresponsive("e1");
    BOOST_TEST(!detector.is_isolated(now + milliseconds(100)));
    BOOST_TEST(detector.is_isolated(now + milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(isolation_ends_with_any_contact) {
    detector.record_unresponsive("h1");
    detector.record_unresponsive("e1");
    detector.record_contact(now + seconds(1));
    BOOST_TEST(!detector.is_isolated(now + seconds(10)));
    BOOST_TEST(detector.unresponsive_peers() == 0U);
}

BOOST_AUTO_TEST_CASE(isolation_is_not_ended_by_an_earlier_contact) {
    detector.record_unresponsive("h1");
    detector.record_unresponsive("e1");
    detector.record_contact(now - seconds(1));
    BOOST_TEST(detector.is_isolated(now + seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
