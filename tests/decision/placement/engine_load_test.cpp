#include "wrenswitch/decision/placement/engine_load.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

/// An engine with some runs.
struct load_fixture {
    engine_load load;

    void begin(std::uint64_t number, double reading_ms, double pause_ms = 0.0, instant at = now) {
        const engine_run run{number, 1000, 1000.0, 300.0};
        load.begin(at, run, {number, reading_ms, pause_ms});
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(engine_load_test, load_fixture)

BOOST_AUTO_TEST_CASE(prompts_wait_for_each_other) {
    begin(1, 200.0);
    begin(2, 300.0);
    BOOST_TEST(load.backlog_ms(now) == 500.0);
    BOOST_TEST(load.backlog_ms(now + milliseconds(150)) == 350.0);
}

BOOST_AUTO_TEST_CASE(first_event_ends_the_reading_of_its_prompt_and_of_those_before) {
    begin(1, 200.0);
    begin(2, 300.0);
    begin(3, 100.0);
    load.first_event(now + milliseconds(100), 2);
    BOOST_TEST(load.backlog_ms(now + milliseconds(100)) == 100.0);
}

BOOST_AUTO_TEST_CASE(prompt_that_should_have_been_read_still_waits_for_its_first_event) {
    begin(1, 200.0);
    begin(2, 300.0);
    BOOST_TEST(load.backlog_ms(now + seconds(5)) == 300.0);
    load.first_event(now + seconds(5), 1);
    BOOST_TEST(load.backlog_ms(now + seconds(5)) == 300.0);
}

BOOST_AUTO_TEST_CASE(runs_hold_memory_until_they_end) {
    begin(1, 10.0);
    begin(2, 10.0);
    load.end(now + seconds(4), 1);
    BOOST_TEST(load.runs() == 1U);
    BOOST_TEST(load.held() == 1000);
    load.end(now + seconds(5), 2);
    BOOST_TEST(load.runs() == 0U);
    BOOST_TEST(load.held() == 0);
}

BOOST_AUTO_TEST_CASE(pause_above_the_bound_loses_what_the_streams_are_worth) {
    begin(1, 10.0);
    begin(2, 10.0);
    load.first_event(now, 2);
    BOOST_TEST(load.loss_by_pause(now, 600.0) > 1800.0);
    BOOST_TEST(load.loss_by_pause(now, 100.0) < 20.0);
}

BOOST_AUTO_TEST_CASE(pause_that_waits_already_is_not_counted_twice) {
    begin(1, 10.0);
    load.first_event(now, 1);
    begin(2, 900.0, 600.0);
    BOOST_TEST(load.loss_by_pause(now, 600.0) == 0.0);
}

BOOST_AUTO_TEST_CASE(past_pauses_warn_for_some_seconds) {
    begin(1, 900.0, 600.0);
    BOOST_TEST(load.late_pauses_per_second(now, 300.0) > 0.2);
    BOOST_TEST(load.late_pauses_per_second(now, 3000.0) < 0.001);
    BOOST_TEST(load.late_pauses_per_second(now + seconds(40), 300.0) < 0.001);
}

BOOST_AUTO_TEST_CASE(pauses_are_noted_for_a_bound_that_no_stream_there_has) {
    load.watch_bound(100.0);
    begin(1, 900.0, 200.0);
    BOOST_TEST(load.late_pauses_per_second(now, 100.0) > 0.2);
    BOOST_TEST(load.loss_by_pause(now, 2000.0) > 0.0);
}

BOOST_AUTO_TEST_CASE(engine_that_owes_a_first_event_is_overdue) {
    begin(1, 200.0);
    BOOST_TEST(load.overdue_ms(now + milliseconds(300)) == 0.0);
    BOOST_TEST(load.overdue_ms(now + seconds(2)) > 1000.0);
    load.first_event(now + seconds(2), 1);
    BOOST_TEST(load.overdue_ms(now + seconds(2)) == 0.0);
}

BOOST_AUTO_TEST_CASE(engine_whose_streams_fall_silent_is_overdue) {
    begin(1, 10.0);
    load.first_event(now, 1);
    load.heard(now + seconds(1));
    BOOST_TEST(load.overdue_ms(now + milliseconds(1100)) == 0.0);
    BOOST_TEST(load.overdue_ms(now + seconds(3)) > 1000.0);
    load.end(now + seconds(3), 1);
    BOOST_TEST(load.overdue_ms(now + seconds(4)) == 0.0);
}

BOOST_AUTO_TEST_CASE(prompt_whose_caller_left_no_longer_waits) {
    begin(1, 200.0);
    begin(2, 300.0);
    load.end(now, 1);
    BOOST_TEST(load.backlog_ms(now) == 300.0);
}

BOOST_AUTO_TEST_CASE(chance_to_be_late_rises_through_a_half_at_the_bound) {
    BOOST_TEST(chance_late(100.0, 300.0, 0.1) < 0.01);
    BOOST_TEST(chance_late(300.0, 300.0, 0.1) == 0.5);
    BOOST_TEST(chance_late(500.0, 300.0, 0.1) > 0.99);
    BOOST_TEST(chance_late(500.0, 0.0, 0.1) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
