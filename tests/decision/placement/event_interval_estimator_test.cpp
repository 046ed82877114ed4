#include "wrenswitch/decision/placement/event_interval_estimator.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

struct interval_fixture {
    event_interval_estimator estimator;

    /// Observes spans of events with this interval and adds a pause to every n-th span.
    void observe(int spans, int interval_ms, int every = 0, int pause_ms = 0) {
        for (int index = 1; index <= spans; ++index) {
            const bool pauses = every > 0 && index % every == 0;
            const int usual =
                interval_ms * static_cast<int>(event_interval_estimator::events_per_span);
            estimator.observe(milliseconds(usual + (pauses ? pause_ms : 0)));
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(event_interval_estimator_test, interval_fixture)

BOOST_AUTO_TEST_CASE(interval_is_unknown_before_enough_spans) {
    observe(5, 25);
    BOOST_TEST(!estimator.is_known());
    BOOST_TEST(estimator.interval_ms() == 0.0);
}

BOOST_AUTO_TEST_CASE(pauses_in_some_spans_are_ignored) {
    observe(100, 25, 3, 250);
    BOOST_TEST(estimator.interval_ms() == 25.0, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(change_of_speed_is_detected_within_seven_spans) {
    observe(100, 25);
    observe(7, 100);
    BOOST_TEST(estimator.interval_ms() == 100.0, boost::test_tools::tolerance(0.1));
    observe(7, 25);
    BOOST_TEST(estimator.interval_ms() == 25.0, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_SUITE_END()
