#include "wrenswitch/decision/gateway/target_speed.hpp"

#include <boost/test/unit_test.hpp>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace {

using namespace wrenswitch;

constexpr unsigned slots = 6;

load_report load_of(unsigned running, unsigned queued, std::optional<double> slowdown) {
    load_report load{running, queued, slots, false};
    load.slowdown = slowdown;
    return load;
}

struct target_speed_fixture {
    target_speed speed;
    instant now{seconds(50)};

    /// Responses that take this long, ten a second.
    void respond(int count, microseconds time, const load_report& load) {
        for (int index = 0; index < count; ++index) {
            now += milliseconds(100);
            speed.record_load(now, load);
            speed.record_response(now, time, load);
        }
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_speed_test, target_speed_fixture)

// A target that is slowed down now must not count as slow for minutes.
BOOST_AUTO_TEST_CASE(slowdown_is_not_learnt_as_service_time) {
    respond(30, milliseconds(30), load_of(1, 0, 1.0));
    respond(30, milliseconds(75), load_of(1, 0, 2.5));
    BOOST_TEST(speed.service_ms(now, 30.0) == 30.0, boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(response_without_the_slowdown_of_a_target_that_reports_one_teaches_nothing) {
    respond(30, milliseconds(30), load_of(1, 0, 1.0));
    respond(30, milliseconds(75), load_of(1, 0, std::nullopt));
    BOOST_TEST(speed.average_ms() == 30.0, boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(request_that_queued_teaches_nothing) {
    respond(30, milliseconds(30), load_of(1, 0, 1.0));
    respond(30, milliseconds(200), load_of(slots, 4, 1.0));
    respond(30, milliseconds(200), load_of(slots, 0, 1.0));
    BOOST_TEST(speed.average_ms() == 30.0, boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(one_delayed_response_has_little_effect) {
    respond(40, milliseconds(30), load_of(1, 0, 1.0));
    respond(1, seconds(3), load_of(1, 0, 1.0));
    BOOST_TEST(speed.average_ms() < 33.0);
}

BOOST_AUTO_TEST_CASE(slowdown_halves_its_distance_from_one_in_300_ms) {
    BOOST_TEST(speed.slowdown(now) == 1.0);
    speed.record_load(now, load_of(1, 0, 2.5));
    BOOST_TEST(speed.slowdown(now) == 2.5);
    BOOST_TEST(speed.slowdown(now + milliseconds(300)) == 1.75);
    BOOST_TEST(speed.slowdown(now + seconds(5)) < 1.001);
    speed.record_load(now + milliseconds(10), load_of(1, 0, std::nullopt));
    BOOST_TEST(speed.slowdown(now + milliseconds(300)) == 1.75);
}

// An avoided target must be tried again.
BOOST_AUTO_TEST_CASE(learnt_time_gives_way_to_the_assumed_one_without_responses) {
    respond(40, milliseconds(60), load_of(1, 0, 1.0));
    BOOST_TEST(speed.service_ms(now, 20.0) > 55.0);
    BOOST_TEST(speed.service_ms(now + seconds(240), 20.0) < 22.0);
}

BOOST_AUTO_TEST_CASE(fresh_report_and_what_was_sent_since_count_as_requests_ahead) {
    speed.record_load(now, load_of(slots, 2, 1.0));
    BOOST_TEST(speed.expected_excess(now, 0, slots) == 3.0);
    speed.record_sent();
    BOOST_TEST(speed.expected_excess(now, 1, slots) == 4.0);
    // The request has ended without a report.
    BOOST_TEST(speed.expected_excess(now, 0, slots) == 3.0);
    speed.record_load(now, load_of(2, 0, 1.0));
    BOOST_TEST(speed.expected_excess(now, 0, slots) == 0.0);
    BOOST_TEST(speed.expected_excess(now, 9, slots) == 4.0);
}

BOOST_AUTO_TEST_CASE(stale_report_of_a_full_target_is_forgotten) {
    speed.record_load(now, load_of(slots, 24, 1.0));
    BOOST_TEST(speed.expected_excess(now, 0, slots) == 25.0);
    BOOST_TEST(speed.expected_excess(now + seconds(30), 0, slots) < 0.01);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A pool of two plain targets.
struct target_speed_pool_fixture {
    random_source random{3};
    target_pool pool{settings(), random};
    instant now{seconds(50)};

    target_speed_pool_fixture() {
        for (const char* id : {"a", "b"}) {
            pool.apply({id, "plain", id, "d1", slots, false, {}});
        }
    }

    static target_pool_settings settings() {
        target_pool_settings result;
        result.failure_domain = "d1";
        return result;
    }

    void respond(const char* id, microseconds time, std::optional<double> slowdown) {
        const load_report load = load_of(1, 0, slowdown);
        now += milliseconds(10);
        pool.on_load_report(now, id, load);
        pool.record_response_time(now, id, time, load);
    }

    /// How many of 100 requests go to the first target.
    int picked_first() {
        int count = 0;
        for (int attempt = 0; attempt < 100; ++attempt) {
            count += pool.pick(now, "plain", {}).target->id == "a" ? 1 : 0;
        }
        return count;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_speed_pool_test, target_speed_pool_fixture)

BOOST_AUTO_TEST_CASE(faster_target_is_preferred_and_avoided_while_it_is_slowed_down) {
    for (int round = 0; round < 30; ++round) {
        respond("a", milliseconds(21), 1.0);
        respond("b", milliseconds(51), 1.0);
    }
    BOOST_TEST(picked_first() == 100);
    respond("a", milliseconds(73), 3.5);
    BOOST_TEST(picked_first() == 0);
    now += seconds(2);
    BOOST_TEST(picked_first() == 100);
}

// Keeps the selection of deployments whose targets report three fields as it was.
BOOST_AUTO_TEST_CASE(learnt_time_does_not_count_without_a_reported_slowdown) {
    for (int round = 0; round < 30; ++round) {
        respond("a", milliseconds(21), std::nullopt);
        respond("b", milliseconds(51), std::nullopt);
    }
    const int count = picked_first();
    BOOST_TEST(count > 25);
    BOOST_TEST(count < 75);
}

BOOST_AUTO_TEST_CASE(restart_discards_what_was_learnt) {
    for (int round = 0; round < 30; ++round) {
        respond("a", milliseconds(21), 1.0);
        respond("b", milliseconds(51), 1.0);
    }
    respond("a", milliseconds(73), 3.5);
    pool.on_restarted("a");
    // Neither its slowdown nor its shorter service time counts any more.
    BOOST_TEST(pool.slowdown_of(now, "a") == 1.0);
    const int count = picked_first();
    BOOST_TEST(count > 25);
    BOOST_TEST(count < 75);
}

BOOST_AUTO_TEST_CASE(target_that_fails_is_ejected_whatever_it_reports) {
    respond("a", milliseconds(10), 0.5);
    respond("b", milliseconds(75), 2.5);
    BOOST_TEST(picked_first() == 100);
    pool.on_failure(now, "a");
    BOOST_TEST(picked_first() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
