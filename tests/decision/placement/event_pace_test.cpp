#include "wrenswitch/decision/placement/event_pace.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

struct pace_fixture {
    event_pace pace;

    /// Spans of events with this gap, and a pause in some of them.
    void observe(int spans, int gap_ms, int every = 0, int pause_ms = 0) {
        for (int turn = 1; turn <= spans; ++turn) {
            const bool pauses = every > 0 && turn % every == 0;
            const int usual = gap_ms * static_cast<int>(event_pace::span_events);
            pace.observe(milliseconds(usual + (pauses ? pause_ms : 0)));
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(event_pace_test, pace_fixture)

BOOST_AUTO_TEST_CASE(nothing_is_known_before_enough_spans) {
    observe(5, 25);
    BOOST_TEST(!pace.known());
    BOOST_TEST(pace.gap_ms() == 0.0);
}

BOOST_AUTO_TEST_CASE(pauses_beside_prompts_do_not_count) {
    observe(100, 25, 3, 250);
    BOOST_TEST(pace.gap_ms() == 25.0, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_CASE(target_that_turns_slow_is_known_after_a_few_spans) {
    observe(100, 25);
    observe(7, 100);
    BOOST_TEST(pace.gap_ms() == 100.0, boost::test_tools::tolerance(0.1));
    observe(7, 25);
    BOOST_TEST(pace.gap_ms() == 25.0, boost::test_tools::tolerance(0.1));
}

BOOST_AUTO_TEST_SUITE_END()
