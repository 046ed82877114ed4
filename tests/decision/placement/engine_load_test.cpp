#include "wrenswitch/decision/placement/engine_load.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

/// The load of one engine, with attempts that accept pauses up to 300 ms.
struct load_fixture {
    engine_load load;

    void add_attempt(std::uint64_t attempt_id, double prefill_ms, double pause_ms = 0.0,
                     instant at = now) {
        const active_attempt attempt{attempt_id, 1000, 1000.0, 300.0};
        load.add_attempt(at, attempt, {attempt_id, prefill_ms, pause_ms});
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(engine_load_test, load_fixture)

BOOST_AUTO_TEST_CASE(prefills_run_one_after_the_other) {
    add_attempt(1, 200.0);
    add_attempt(2, 300.0);
    BOOST_TEST(load.backlog_ms(now) == 500.0);
    BOOST_TEST(load.backlog_ms(now + milliseconds(150)) == 350.0);
}

BOOST_AUTO_TEST_CASE(first_event_completes_its_prefill_and_earlier_ones) {
    add_attempt(1, 200.0);
    add_attempt(2, 300.0);
    add_attempt(3, 100.0);
    load.record_first_event(now + milliseconds(100), 2);
    BOOST_TEST(load.backlog_ms(now + milliseconds(100)) == 100.0);
}

BOOST_AUTO_TEST_CASE(overdue_prefill_stays_pending_until_its_first_event) {
    add_attempt(1, 200.0);
    add_attempt(2, 300.0);
    BOOST_TEST(load.backlog_ms(now + seconds(5)) == 300.0);
    load.record_first_event(now + seconds(5), 1);
    BOOST_TEST(load.backlog_ms(now + seconds(5)) == 300.0);
}

BOOST_AUTO_TEST_CASE(attempts_occupy_memory_until_they_end) {
    add_attempt(1, 10.0);
    add_attempt(2, 10.0);
    load.end_attempt(now + seconds(4), 1);
    BOOST_TEST(load.attempts() == 1U);
    BOOST_TEST(load.memory_tokens() == 1000);
    load.end_attempt(now + seconds(5), 2);
    BOOST_TEST(load.attempts() == 0U);
    BOOST_TEST(load.memory_tokens() == 0);
}

BOOST_AUTO_TEST_CASE(pause_above_the_bound_costs_the_streams) {
    add_attempt(1, 10.0);
    add_attempt(2, 10.0);
    load.record_first_event(now, 2);
    BOOST_TEST(load.pause_cost(now, 600.0) > 1800.0);
    BOOST_TEST(load.pause_cost(now, 100.0) < 20.0);
}

BOOST_AUTO_TEST_CASE(pending_pause_is_not_counted_twice) {
    add_attempt(1, 10.0);
    load.record_first_event(now, 1);
    add_attempt(2, 900.0, 600.0);
    BOOST_TEST(load.pause_cost(now, 600.0) == 0.0);
}

BOOST_AUTO_TEST_CASE(past_pauses_decay_within_seconds) {
    add_attempt(1, 900.0, 600.0);
    BOOST_TEST(load.late_pauses_per_second(now, 300.0) > 0.2);
    BOOST_TEST(load.late_pauses_per_second(now, 3000.0) < 0.001);
    BOOST_TEST(load.late_pauses_per_second(now + seconds(40), 300.0) < 0.001);
}

BOOST_AUTO_TEST_CASE(pauses_are_counted_for_a_tracked_bound_without_streams) {
    load.track_pause_bound(100.0);
    add_attempt(1, 900.0, 200.0);
    BOOST_TEST(load.late_pauses_per_second(now, 100.0) > 0.2);
    BOOST_TEST(load.pause_cost(now, 2000.0) > 0.0);
}

BOOST_AUTO_TEST_CASE(engine_with_a_late_first_event_is_overdue) {
    add_attempt(1, 200.0);
    BOOST_TEST(load.overdue_ms(now + milliseconds(300)) == 0.0);
    BOOST_TEST(load.overdue_ms(now + seconds(2)) > 1000.0);
    load.record_first_event(now + seconds(2), 1);
    BOOST_TEST(load.overdue_ms(now + seconds(2)) == 0.0);
}

BOOST_AUTO_TEST_CASE(engine_with_silent_streams_is_overdue) {
    add_attempt(1, 10.0);
    load.record_first_event(now, 1);
    load.record_event(now + seconds(1));
    BOOST_TEST(load.overdue_ms(now + milliseconds(1100)) == 0.0);
    BOOST_TEST(load.overdue_ms(now + seconds(3)) > 1000.0);
    load.end_attempt(now + seconds(3), 1);
    BOOST_TEST(load.overdue_ms(now + seconds(4)) == 0.0);
}

BOOST_AUTO_TEST_CASE(ended_attempt_is_no_longer_pending) {
    add_attempt(1, 200.0);
    add_attempt(2, 300.0);
    load.end_attempt(now, 1);
    BOOST_TEST(load.backlog_ms(now) == 300.0);
}

BOOST_AUTO_TEST_CASE(late_probability_is_a_half_at_the_bound) {
    BOOST_TEST(late_probability(100.0, 300.0, 0.1) < 0.01);
    BOOST_TEST(late_probability(300.0, 300.0, 0.1) == 0.5);
    BOOST_TEST(late_probability(500.0, 300.0, 0.1) > 0.99);
    BOOST_TEST(late_probability(500.0, 0.0, 0.1) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
