#include "wrenswitch/decision/grants/peer_distances.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

struct distances_fixture {
    peer_distances distances{"north", milliseconds(40)};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_distances_test, distances_fixture)

BOOST_AUTO_TEST_CASE(host_of_the_own_region_is_near_whatever_it_takes) {
    distances.observe("h1", "north", milliseconds(90));
    BOOST_TEST((distances.round_trip("h1", "north") == microseconds(0)));
    BOOST_TEST(!distances.is_far("north"));
}

BOOST_AUTO_TEST_CASE(far_host_begins_with_the_start_and_follows_its_answers) {
    BOOST_TEST((distances.round_trip("h2", "south") == milliseconds(40)));
    distances.observe("h2", "south", milliseconds(120));
    BOOST_TEST((distances.round_trip("h2", "south") == milliseconds(120)));
    for (int turn = 0; turn < 60; ++turn) {
        distances.observe("h2", "south", milliseconds(60));
    }
    BOOST_TEST((distances.round_trip("h2", "south") < milliseconds(62)));
    BOOST_TEST((distances.round_trip("h3", "south") == milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(
    single_answer_that_took_very_long_does_not_make_a_host_farther_than_the_bound) {
    distances.observe("h2", "south", seconds(9));
    BOOST_TEST((distances.round_trip("h2", "south") == milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(regions_that_are_not_known_are_near) {
    const peer_distances nowhere{"", milliseconds(40)};
    BOOST_TEST((nowhere.round_trip("h2", "south") == microseconds(0)));
    BOOST_TEST((distances.round_trip("h2", "") == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(host_that_left_is_forgotten) {
    distances.observe("h2", "south", milliseconds(120));
    distances.forget("h2");
    BOOST_TEST((distances.round_trip("h2", "south") == milliseconds(40)));
}

BOOST_AUTO_TEST_SUITE_END()
