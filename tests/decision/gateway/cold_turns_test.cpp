#include "wrenswitch/decision/gateway/cold_turns.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};
constexpr double rate = 8.0;

/// A target that has just turned cold for three seconds.
struct cold_turns_fixture {
    cold_turns turns;

    cold_turns_fixture() { turns.begin(now, now + seconds(3), 0.0); }

    unsigned taken(instant from, microseconds length) {
        unsigned count = 0;
        for (instant at = from; at < from + length; at += milliseconds(1)) {
            if (turns.has_turn(at, rate)) {
                turns.take(at, rate);
                count += 1;
            }
        }
        return count;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cold_turns_test, cold_turns_fixture)

BOOST_AUTO_TEST_CASE(warm_target_has_no_limit) {
    cold_turns warm;
    BOOST_TEST(!warm.is_cold(now));
    BOOST_TEST(warm.has_turn(now, rate));
    warm.take(now, rate);
    BOOST_TEST(warm.has_turn(now, rate));
}

BOOST_AUTO_TEST_CASE(target_that_just_turned_cold_has_no_turn_yet) {
    BOOST_TEST(!turns.has_turn(now, rate));
    BOOST_TEST((turns.until_turn(now, rate) == milliseconds(125)));
    BOOST_TEST(turns.has_turn(now + milliseconds(126), rate));
}

BOOST_AUTO_TEST_CASE(every_second_of_the_cold_time_holds_the_rate_and_one_more_at_most) {
    for (int start = 0; start < 2000; start += 100) {
        cold_turns_fixture fresh;
        fresh.taken(now, milliseconds(start));
        BOOST_TEST(fresh.taken(now + milliseconds(start), seconds(1)) <= 9U);
    }
}

BOOST_AUTO_TEST_CASE(turns_that_nobody_used_do_not_pile_up) {
    BOOST_TEST(turns.has_turn(now + milliseconds(2500), rate));
    BOOST_TEST(taken(now + milliseconds(2500), milliseconds(100)) == 1U);
}

BOOST_AUTO_TEST_CASE(target_is_warm_once_its_time_has_passed) {
    BOOST_TEST(turns.is_cold(now + milliseconds(2999)));
    BOOST_TEST(!turns.is_cold(now + seconds(3)));
    BOOST_TEST((turns.until_turn(now + seconds(3), rate) == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(news_of_the_same_cold_time_gives_no_new_turns) {
    BOOST_TEST(taken(now, milliseconds(130)) == 1U);
    turns.begin(now + milliseconds(131), now + milliseconds(2900), 1.0);
    BOOST_TEST(!turns.has_turn(now + milliseconds(131), rate));
    BOOST_TEST(turns.is_cold(now + milliseconds(2950)));
}

BOOST_AUTO_TEST_CASE(longer_cold_time_counts) {
    turns.begin(now + seconds(1), now + seconds(9), 0.0);
    BOOST_TEST(turns.is_cold(now + seconds(8)));
}

BOOST_AUTO_TEST_CASE(without_turns_a_target_is_waited_for_until_it_is_warm) {
    BOOST_TEST((turns.until_turn(now + seconds(1), 0.0) == seconds(2)));
    BOOST_TEST((turns.until_turn(now + seconds(1), 0.001) == seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()
