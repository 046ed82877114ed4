#include "wrenswitch/decision/gateway/overload_watch.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// A loop that is looked at each 20 ms.
struct overload_fixture {
    overload_watch watch;
    instant now{seconds(50)};

    /// The loop has this lag for some time.
    void lag(microseconds length, microseconds lasting) {
        for (const instant until = now + lasting; now < until;) {
            now += milliseconds(20) + length;
            watch.observe(now, length);
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(overload_watch_test, overload_fixture)

BOOST_AUTO_TEST_CASE(loop_that_is_in_time_refuses_nothing) {
    lag(milliseconds(2), seconds(10));
    BOOST_TEST(watch.refused_share() == 0.0);
}

BOOST_AUTO_TEST_CASE(single_pause_refuses_nothing) {
    for (int turn = 0; turn < 20; ++turn) {
        lag(milliseconds(2), milliseconds(200));
        lag(milliseconds(300), milliseconds(10));
    }
    BOOST_TEST(watch.refused_share() < 0.2);
    lag(milliseconds(2), seconds(1));
    BOOST_TEST(watch.refused_share() == 0.0);
}

BOOST_AUTO_TEST_CASE(queue_that_stays_refuses_more_and_more_and_never_all) {
    lag(milliseconds(150), seconds(1));
    const double first = watch.refused_share();
    BOOST_TEST(first > 0.2);
    lag(milliseconds(150), seconds(1));
    BOOST_TEST(watch.refused_share() > first);
    lag(milliseconds(400), seconds(20));
    BOOST_TEST(watch.refused_share() > 0.8);
    BOOST_TEST(watch.refused_share() < 1.0);
}

BOOST_AUTO_TEST_CASE(longer_queue_refuses_more) {
    lag(milliseconds(120), seconds(1));
    const double short_one = watch.refused_share();
    overload_fixture other;
    other.lag(milliseconds(280), seconds(1));
    BOOST_TEST(other.watch.refused_share() > short_one);
}

BOOST_AUTO_TEST_CASE(queue_that_has_gone_is_forgotten_within_two_seconds) {
    lag(milliseconds(300), seconds(5));
    lag(milliseconds(1), seconds(2));
    BOOST_TEST(watch.refused_share() == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
