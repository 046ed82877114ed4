#include "roles/gateway/stream_timing.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

struct stream_fixture {
    stream_timing stream;

    /// Records single events at intervals of 10 ms, starting at this time.
    void record_stream(int count, instant from = now) {
        for (int index = 0; index < count; ++index) {
            stream.record_events(from + index * milliseconds(10), 1);
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(stream_timing_test, stream_fixture)

BOOST_AUTO_TEST_CASE(first_events_have_no_gap) {
    BOOST_TEST((stream.record_events(now, 3) == microseconds(0)));
    BOOST_TEST((stream.record_events(now + milliseconds(40), 1) == milliseconds(40)));
    BOOST_TEST((stream.longest_gap() == milliseconds(40)));
}

BOOST_AUTO_TEST_CASE(span_is_complete_after_its_events_excluding_the_first) {
    record_stream(static_cast<int>(event_interval_estimator::events_per_span));
    BOOST_TEST(!stream.take_span().has_value());
    stream.record_events(stream.last_event_at() + milliseconds(10), 1);
    const auto span = stream.take_span();
    BOOST_REQUIRE(span.has_value());
    BOOST_TEST((*span == event_interval_estimator::events_per_span * milliseconds(10)));
    BOOST_TEST(!stream.take_span().has_value());
}

BOOST_AUTO_TEST_CASE(events_that_arrive_together_are_counted_individually) {
    stream.record_events(now, 1);
    stream.record_events(now + milliseconds(160), 2 * event_interval_estimator::events_per_span);
    BOOST_TEST((*stream.take_span() == milliseconds(80)));
}

BOOST_AUTO_TEST_CASE(new_attempt_resets_the_timing_and_keeps_the_longest_gap) {
    record_stream(3);
    stream.record_events(stream.last_event_at() + milliseconds(200), 1);
    const instant last = stream.last_event_at();
    stream.begin_attempt();
    BOOST_TEST(stream.event_count() == 0U);
    BOOST_TEST((stream.record_events(last + seconds(1), 1) == microseconds(0)));
    BOOST_TEST((stream.longest_gap() == milliseconds(200)));
    record_stream(static_cast<int>(event_interval_estimator::events_per_span),
                  last + milliseconds(1010));
    BOOST_TEST(
        (*stream.take_span() == event_interval_estimator::events_per_span * milliseconds(10)));
}

BOOST_AUTO_TEST_SUITE_END()
