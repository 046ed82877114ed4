#include "wrenswitch/decision/placement/engine_admission.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "wrenswitch/decision/placement/engine_load.hpp"

namespace {

using namespace wrenswitch;

constexpr instant start{seconds(50)};
const std::string service = "llm";

/// A service whose engines have a backlog and which receives urgent requests.
struct admission_fixture {
    engine_admission admission;
    std::uint64_t last_attempt = 0;

    static competing_request request(const std::string& account, unsigned priority) {
        return {service,         account,    priority,        9300.0, milliseconds(800),
                microseconds(0), seconds(5), microseconds(0), true};
    }

    static competing_request urgent() {
        competing_request result = request("urgent", 0);
        result.work_tokens = 930.0;
        result.first_event_objective = milliseconds(250);
        return result;
    }

    static engine_estimate estimate(double backlog_ms, double prefill_ms = 84.0) {
        engine_estimate result;
        result.engine = "e1";
        result.first_event_ms = backlog_ms + prefill_ms + 20.0;
        result.backlog_ms = backlog_ms;
        result.other_backlog_ms = backlog_ms + 1000.0;
        result.prefill_ms = prefill_ms;
        result.late_probability = late_probability(result.first_event_ms, 800.0, 0.2);
        return result;
    }

    void admit(instant now, const competing_request& accepted, double prefill_ms) {
        admission.record_admitted(now, ++last_attempt, accepted, estimate(0.0, prefill_ms));
    }

    /// Records urgent requests during the 4 s before the start.
    void receive_urgent(unsigned per_second) {
        for (unsigned index = 0; index < 4 * per_second; ++index) {
            admit(start - seconds(4) + index * microseconds(1'000'000 / per_second), urgent(), 8.0);
        }
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(engine_admission_test)

BOOST_FIXTURE_TEST_CASE(late_request_that_harms_nobody_is_admitted, admission_fixture) {
    // Late answers have value: a request that is late is no reason to refuse it.
    const auto decision = admission.decide(start, request("bulk", 2), estimate(3000.0));
    BOOST_TEST((decision.outcome == admission_outcome::admit));
}

BOOST_FIXTURE_TEST_CASE(request_that_cannot_meet_its_deadline_is_refused, admission_fixture) {
    const auto decision = admission.decide(start, request("bulk", 2), estimate(7000.0));
    BOOST_TEST((decision.outcome == admission_outcome::refuse));
    // The backlog has decreased by then as far as the first event needs.
    BOOST_TEST((decision.wait >= milliseconds(6000)));
    BOOST_TEST((decision.wait <= milliseconds(6500)));
    const auto later = admission.decide(start + decision.wait, request("bulk", 2),
                                        estimate(7000.0 - as_milliseconds(decision.wait)));
    BOOST_TEST((later.outcome == admission_outcome::admit));
}

BOOST_FIXTURE_TEST_CASE(most_urgent_request_is_never_refused_for_others, admission_fixture) {
    receive_urgent(30);
    const auto decision = admission.decide(start, urgent(), estimate(400.0, 8.0));
    BOOST_TEST((decision.outcome == admission_outcome::admit));
}

BOOST_FIXTURE_TEST_CASE(request_is_held_if_backlog_drains_within_a_quarter_of_its_objective,
                        admission_fixture) {
    receive_urgent(30);
    admit(start, request("bulk", 2), 84.0);
    const auto decision = admission.decide(start, request("bulk", 2), estimate(200.0));
    BOOST_REQUIRE((decision.outcome == admission_outcome::hold));
    BOOST_TEST((decision.wait <= milliseconds(200)));
    BOOST_TEST(decision.harm > decision.value);
    const auto later = admission.decide(start + decision.wait, request("bulk", 2),
                                        estimate(200.0 - as_milliseconds(decision.wait)));
    BOOST_TEST((later.outcome == admission_outcome::admit));
}

BOOST_FIXTURE_TEST_CASE(request_is_not_held_longer_than_a_quarter_of_its_objective,
                        admission_fixture) {
    receive_urgent(30);
    admit(start, request("bulk", 2), 84.0);
    competing_request held = request("bulk", 2);
    held.held = milliseconds(200);
    const auto decision = admission.decide(start, held, estimate(200.0));
    BOOST_TEST((decision.outcome == admission_outcome::refuse));
}

BOOST_FIXTURE_TEST_CASE(refused_requests_are_admitted_at_the_time_that_they_were_given,
                        admission_fixture) {
    // Guards against a Retry-After at which the caller is refused again.
    receive_urgent(30);
    for (int index = 0; index < 4; ++index) {
        admit(start, request("bulk", 2), 84.0);
    }
    const double backlog_ms = 900.0;
    for (int index = 0; index < 3; ++index) {
        const auto decision = admission.decide(start, request("bulk", 2), estimate(backlog_ms));
        BOOST_REQUIRE((decision.outcome == admission_outcome::refuse));
        // Requests that were refused before come first and take the engine for their prefill.
        const double elapsed_ms = as_milliseconds(decision.wait);
        const double left_ms = std::max(0.0, backlog_ms - elapsed_ms) + 84.0 * index;
        engine_admission copy = admission;
        const auto later = copy.decide(start + decision.wait, request("bulk", 2),
                                       estimate(std::max(0.0, left_ms)));
        BOOST_TEST((later.outcome != admission_outcome::refuse));
        BOOST_TEST((decision.wait < seconds(3)));
    }
}

BOOST_FIXTURE_TEST_CASE(refused_request_gets_the_time_at_which_the_other_engine_is_free,
                        admission_fixture) {
    // Guards against a Retry-After of several seconds, the time of the floor, for a request that
    // does harm only as long as the other engine is busy.
    receive_urgent(16);
    for (int index = 0; index < 8; ++index) {
        admit(start, request("bulk", 2), 250.0);
    }
    competing_request held = request("bulk", 2);
    held.held = max_hold(held.first_event_objective);
    engine_estimate best = estimate(20.0, 250.0);
    best.engines = 2;
    best.other_backlog_ms = 230.0;
    const auto decision = admission.decide(start, held, best);
    BOOST_REQUIRE((decision.outcome == admission_outcome::refuse));
    BOOST_TEST((decision.wait <= milliseconds(230)));
    best = estimate(0.0, 250.0);
    best.engines = 2;
    best.other_backlog_ms = std::max(0.0, 230.0 - as_milliseconds(decision.wait));
    const auto later = admission.decide(start + decision.wait, request("bulk", 2), best);
    BOOST_TEST((later.outcome == admission_outcome::admit));
}

BOOST_FIXTURE_TEST_CASE(account_is_admitted_a_quarter_as_often_as_the_rest, admission_fixture) {
    // The floor: the engines are always too full for the less urgent kind.
    unsigned admitted = 0;
    for (int index = 0; index < 400; ++index) {
        const instant now = start + index * milliseconds(25);
        admit(now, urgent(), 8.0);
        const auto decision = admission.decide(now, request("bulk", 2), estimate(2000.0));
        if (decision.outcome == admission_outcome::admit) {
            admit(now, request("bulk", 2), 84.0);
            admitted += 1;
        }
    }
    BOOST_TEST(admitted >= 100U);
    BOOST_TEST(admitted <= 120U);
}

BOOST_FIXTURE_TEST_CASE(first_coordinator_that_is_asked_neither_holds_nor_counts,
                        admission_fixture) {
    receive_urgent(30);
    admit(start, request("bulk", 2), 84.0);
    competing_request first = request("bulk", 2);
    first.is_last_query = false;
    for (int index = 0; index < 10; ++index) {
        const auto decision = admission.decide(start, first, estimate(200.0));
        BOOST_TEST((decision.outcome == admission_outcome::refuse));
    }
    const auto last = admission.decide(start, request("bulk", 2), estimate(200.0));
    BOOST_TEST((last.outcome == admission_outcome::hold));
}

BOOST_FIXTURE_TEST_CASE(running_urgent_streams_count, admission_fixture) {
    competing_request stream = urgent();
    stream.max_event_gap = milliseconds(300);
    for (int index = 0; index < 10; ++index) {
        admit(start, stream, 8.0);
    }
    admit(start, request("bulk", 2), 84.0);
    // Requests that arrive later find another engine free.
    engine_estimate best = estimate(500.0, 400.0);
    best.other_backlog_ms = 0.0;
    best.pause_ms = 400.0;
    const auto decision = admission.decide(start, request("bulk", 2), best);
    BOOST_TEST((decision.outcome == admission_outcome::refuse));
    for (std::uint64_t attempt = 1; attempt <= 10; ++attempt) {
        admission.end_attempt(attempt);
    }
    const auto after_end = admission.decide(start, request("bulk", 2), best);
    BOOST_TEST((after_end.outcome == admission_outcome::admit));
}

BOOST_FIXTURE_TEST_CASE(tracked_accounts_are_bounded, admission_fixture) {
    for (int index = 0; index < 1000; ++index) {
        admit(start + index * milliseconds(1), request("account" + std::to_string(index), 2), 84.0);
    }
    BOOST_TEST(admission.tracked() <= 256U);
}

BOOST_AUTO_TEST_SUITE_END()
