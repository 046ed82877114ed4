#include "wrenswitch/decision/gateway/overload_detector.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// An event loop that is sampled every 20 ms.
struct overload_fixture {
    overload_detector detector;
    instant now{seconds(50)};

    /// Runs the loop with a constant lag for a time.
    void run_with_lag(microseconds lag, microseconds duration) {
        for (const instant until = now + duration; now < until;) {
            now += milliseconds(20) + lag;
            detector.observe(now, lag);
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(overload_detector_test, overload_fixture)

BOOST_AUTO_TEST_CASE(loop_without_lag_refuses_nothing) {
    run_with_lag(milliseconds(2), seconds(10));
    BOOST_TEST(detector.refused_share() == 0.0);
}

BOOST_AUTO_TEST_CASE(single_pause_refuses_nothing) {
    for (int round = 0; round < 20; ++round) {
        run_with_lag(milliseconds(2), milliseconds(200));
        run_with_lag(milliseconds(300), milliseconds(10));
    }
    BOOST_TEST(detector.refused_share() < 0.2);
    run_with_lag(milliseconds(2), seconds(1));
    BOOST_TEST(detector.refused_share() == 0.0);
}

BOOST_AUTO_TEST_CASE(standing_queue_refuses_a_growing_share_but_never_all) {
    run_with_lag(milliseconds(150), seconds(1));
    const double first_share = detector.refused_share();
    BOOST_TEST(first_share > 0.2);
    run_with_lag(milliseconds(150), seconds(1));
    BOOST_TEST(detector.refused_share() > first_share);
    run_with_lag(milliseconds(400), seconds(20));
    BOOST_TEST(detector.refused_share() > 0.8);
    BOOST_TEST(detector.refused_share() < 1.0);
}

BOOST_AUTO_TEST_CASE(longer_queue_refuses_more) {
    run_with_lag(milliseconds(120), seconds(1));
    const double share_at_shorter_lag = detector.refused_share();
    overload_fixture other;
    other.run_with_lag(milliseconds(280), seconds(1));
    BOOST_TEST(other.detector.refused_share() > share_at_shorter_lag);
}

BOOST_AUTO_TEST_CASE(share_after_the_queue_has_gone_is_zero_within_two_seconds) {
    run_with_lag(milliseconds(300), seconds(5));
    run_with_lag(milliseconds(1), seconds(2));
    BOOST_TEST(detector.refused_share() == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
