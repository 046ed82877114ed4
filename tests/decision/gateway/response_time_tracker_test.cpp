#include "wrenswitch/decision/gateway/response_time_tracker.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

struct response_time_tracker_fixture {
    response_time_tracker tracker;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(response_time_tracker_test, response_time_tracker_fixture)

BOOST_AUTO_TEST_CASE(silence_threshold_follows_the_average_response_time_of_the_service) {
    BOOST_TEST((tracker.silence_threshold("plain") == milliseconds(200)));
    for (int round = 0; round < 500; ++round) {
        tracker.observe("plain", milliseconds(round % 2 == 0 ? 60 : 120));
    }
    BOOST_TEST((tracker.silence_threshold("plain") > milliseconds(500)));
    BOOST_TEST((tracker.silence_threshold("plain") < milliseconds(580)));
    BOOST_TEST((tracker.silence_threshold("other") == milliseconds(200)));
}

// Guards against the ejection of a target whose slowness its report explains, and against a hung
// target that is awaited for long because it reported a large slowdown.
BOOST_AUTO_TEST_CASE(silence_threshold_is_multiplied_by_a_slowdown_up_to_a_limit) {
    BOOST_TEST((tracker.silence_threshold("plain", 2.5) == milliseconds(500)));
    BOOST_TEST((tracker.silence_threshold("plain", 0.5) == milliseconds(200)));
    BOOST_TEST((tracker.silence_threshold("plain", 100.0) == milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(silence_threshold_of_a_fast_service_is_the_minimum) {
    for (int round = 0; round < 500; ++round) {
        tracker.observe("plain", milliseconds(2));
    }
    BOOST_TEST((tracker.silence_threshold("plain") == milliseconds(200)));
}

BOOST_AUTO_TEST_SUITE_END()
