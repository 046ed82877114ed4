#include "wrenswitch/decision/grants/peer_round_trips.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

struct round_trips_fixture {
    peer_round_trips round_trips{"north", milliseconds(40)};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_round_trips_test, round_trips_fixture)

BOOST_AUTO_TEST_CASE(round_trip_within_the_own_region_is_zero) {
    round_trips.observe("h1", "north", milliseconds(90));
    BOOST_TEST((round_trips.round_trip("h1", "north") == microseconds(0)));
    BOOST_TEST(!round_trips.is_remote("north"));
}

BOOST_AUTO_TEST_CASE(remote_host_starts_with_the_initial_estimate_and_follows_its_answers) {
    BOOST_TEST((round_trips.round_trip("h2", "south") == milliseconds(40)));
    round_trips.observe("h2", "south", milliseconds(120));
    BOOST_TEST((round_trips.round_trip("h2", "south") == milliseconds(120)));
    for (int sample = 0; sample < 60; ++sample) {
        round_trips.observe("h2", "south", milliseconds(60));
    }
    BOOST_TEST((round_trips.round_trip("h2", "south") < milliseconds(62)));
    BOOST_TEST((round_trips.round_trip("h3", "south") == milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(single_slow_answer_is_limited_to_the_maximum) {
    round_trips.observe("h2", "south", seconds(9));
    BOOST_TEST((round_trips.round_trip("h2", "south") == milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(round_trip_to_or_from_an_unknown_region_is_zero) {
    const peer_round_trips without_region{"", milliseconds(40)};
    BOOST_TEST((without_region.round_trip("h2", "south") == microseconds(0)));
    BOOST_TEST((round_trips.round_trip("h2", "") == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(removed_host_has_the_initial_estimate_again) {
    round_trips.observe("h2", "south", milliseconds(120));
    round_trips.remove("h2");
    BOOST_TEST((round_trips.round_trip("h2", "south") == milliseconds(40)));
}

BOOST_AUTO_TEST_SUITE_END()
