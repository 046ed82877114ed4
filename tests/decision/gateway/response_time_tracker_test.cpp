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

BOOST_AUTO_TEST_CASE(silence_threshold_of_a_fast_service_is_the_minimum) {
    for (int round = 0; round < 500; ++round) {
        tracker.observe("plain", milliseconds(2));
    }
    BOOST_TEST((tracker.silence_threshold("plain") == milliseconds(200)));
}

BOOST_AUTO_TEST_SUITE_END()
