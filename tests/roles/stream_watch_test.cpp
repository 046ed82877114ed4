#include "roles/gateway/stream_watch.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

struct stream_fixture {
    stream_watch stream;

    /// Single events that come 10 ms apart, the first at this time.
    void events(int count, instant from = now) {
        for (int turn = 0; turn < count; ++turn) {
            stream.note(from + turn * milliseconds(10), 1);
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(stream_watch_test, stream_fixture)

BOOST_AUTO_TEST_CASE(first_events_have_no_gap) {
    BOOST_TEST((stream.note(now, 3) == microseconds(0)));
    BOOST_TEST((stream.note(now + milliseconds(40), 1) == milliseconds(40)));
    BOOST_TEST((stream.longest_pause() == milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(span_is_complete_after_its_events_behind_the_first) {
    events(static_cast<int>(event_interval_estimator::events_per_span));
    BOOST_TEST(!stream.take_span().has_value());
    stream.note(stream.last() + milliseconds(10), 1);
    const auto span = stream.take_span();
    BOOST_REQUIRE(span.has_value());
    BOOST_TEST((*span == event_interval_estimator::events_per_span * milliseconds(10)));
    BOOST_TEST(!stream.take_span().has_value());
}

BOOST_AUTO_TEST_CASE(events_that_come_together_count_each) {
    stream.note(now, 1);
    stream.note(now + milliseconds(160), 2 * event_interval_estimator::events_per_span);
    BOOST_TEST((*stream.take_span() == milliseconds(80)));
}

BOOST_AUTO_TEST_CASE(another_attempt_begins_anew_and_keeps_the_longest_pause) {
    events(3);
    stream.note(stream.last() + milliseconds(200), 1);
    const instant last = stream.last();
    stream.begin_attempt();
    BOOST_TEST(stream.events() == 0U);
    BOOST_TEST((stream.note(last + seconds(1), 1) == microseconds(0)));
    BOOST_TEST((stream.longest_pause() == milliseconds(200)));
    events(static_cast<int>(event_interval_estimator::events_per_span), last + milliseconds(1010));
    BOOST_TEST(
        (*stream.take_span() == event_interval_estimator::events_per_span * milliseconds(10)));
}

BOOST_AUTO_TEST_SUITE_END()
