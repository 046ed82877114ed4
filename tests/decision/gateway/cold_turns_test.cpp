#include "wrenswitch/decision/gateway/cold_turns.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};
constexpr microseconds spacing = milliseconds(125);

/// A target that has just turned cold for three seconds.
struct cold_turns_fixture {
    cold_turns turns;

    cold_turns_fixture() { turns.begin(now, now + seconds(3), spacing); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cold_turns_test, cold_turns_fixture)

BOOST_AUTO_TEST_CASE(warm_target_has_no_wait) {
    cold_turns warm;
    BOOST_TEST(!warm.is_cold(now));
    warm.take(now, spacing);
    BOOST_TEST((warm.wait(now) == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(target_that_just_turned_cold_has_no_turn_yet) {
    BOOST_TEST((turns.wait(now) == spacing));
    BOOST_TEST((turns.wait(now + spacing) == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(requests_that_come_together_are_sent_one_after_the_other) {
    for (int place = 1; place <= 10; ++place) {
        BOOST_TEST((turns.wait(now) == place * spacing));
        turns.take(now, spacing);
    }
}

BOOST_AUTO_TEST_CASE(turns_that_nobody_used_do_not_pile_up) {
    const instant later = now + seconds(2);
    turns.take(later, spacing);
    BOOST_TEST((turns.wait(later) == spacing));
}

BOOST_AUTO_TEST_CASE(target_is_warm_once_its_time_has_passed) {
    BOOST_TEST(turns.is_cold(now + milliseconds(2999)));
    BOOST_TEST(!turns.is_cold(now + seconds(3)));
    for (int place = 0; place < 100; ++place) {
        turns.take(now, spacing);
    }
    BOOST_TEST((turns.wait(now) == seconds(3)));
    BOOST_TEST((turns.wait(now + seconds(3)) == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(news_of_the_same_cold_time_gives_no_new_turns) {
    turns.take(now, spacing);
    turns.begin(now + milliseconds(1), now + milliseconds(2900), microseconds(0));
    BOOST_TEST((turns.wait(now) == 2 * spacing));
    BOOST_TEST(turns.is_cold(now + milliseconds(2950)));
}

BOOST_AUTO_TEST_CASE(longer_cold_time_counts) {
    turns.begin(now + seconds(1), now + seconds(9), spacing);
    BOOST_TEST(turns.is_cold(now + seconds(8)));
}

BOOST_AUTO_TEST_CASE(turns_that_others_may_have_given_are_not_given_again) {
    turns.hold_back(now + seconds(1), spacing);
    BOOST_TEST((turns.wait(now + seconds(1)) == spacing));
    turns.take(now + seconds(1), spacing);
    turns.hold_back(now + seconds(1), spacing);
    BOOST_TEST((turns.wait(now + seconds(1)) == 2 * spacing));
}

BOOST_AUTO_TEST_SUITE_END()
