#include "wrenswitch/decision/suspects/suspect_table.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

namespace {

using namespace wrenswitch;

const instant now{seconds(50'000)};
const digest request{1, 1};

target_incarnation incarnation(int number) {
    return {"t" + std::to_string(number), 1};
}

struct suspect_table_fixture {
    suspect_table table;

    void crash_under(const digest& each, int first_target, int count, instant at = now) {
        for (int number = first_target; number < first_target + count; ++number) {
            table.add(at, {each, incarnation(number)});
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(suspect_table_test, suspect_table_fixture)

BOOST_AUTO_TEST_CASE(request_without_crash_is_not_suspected) {
    BOOST_TEST((table.suspicion_of(now, request) == suspicion::none));
}

BOOST_AUTO_TEST_CASE(two_crashes_suspect_request_and_three_quarantine_it) {
    crash_under(request, 0, 2);
    BOOST_TEST((table.suspicion_of(now, request) == suspicion::suspected));
    crash_under(request, 2, 1);
    BOOST_TEST((table.suspicion_of(now, request) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(repeated_evidence_of_one_crash_counts_once) {
    for (int repetition = 0; repetition < 5; ++repetition) {
        table.add(now, {request, incarnation(1)});
    }
    BOOST_TEST(table.crash_count(request) == 1U);
    // The same target with another start time is another incarnation.
    table.add(now, {request, {"t1", 2}});
    BOOST_TEST(table.crash_count(request) == 2U);
}

BOOST_AUTO_TEST_CASE(successful_request_is_cleared_and_proven) {
    crash_under(request, 0, 3);
    BOOST_TEST(table.record_success(now, request).size() == 3U);
    BOOST_TEST((table.suspicion_of(now, request) == suspicion::none));
    BOOST_TEST(table.is_proven(now + seconds(30), request));
    BOOST_TEST(!table.is_proven(now + seconds(31), request));
}

BOOST_AUTO_TEST_CASE(quarantine_expires_and_doubles_with_next_crash) {
    crash_under(request, 0, 3);
    const instant expiry = now + seconds(600);
    BOOST_TEST((table.suspicion_of(expiry - seconds(1), request) == suspicion::quarantined));
    BOOST_TEST((table.suspicion_of(expiry, request) == suspicion::suspected));
    crash_under(request, 3, 1, expiry);
    BOOST_TEST((table.suspicion_of(expiry + seconds(1199), request) == suspicion::quarantined));
    BOOST_TEST((table.suspicion_of(expiry + seconds(1200), request) == suspicion::suspected));
}

BOOST_AUTO_TEST_CASE(evidence_expires_hours_after_last_crash) {
    crash_under(request, 0, 1);
    BOOST_TEST(table.evict_expired(now + seconds(7200)).empty());
    BOOST_TEST(table.evict_expired(now + seconds(7201)).size() == 1U);
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(flood_of_new_contents_does_not_evict_quarantined_request) {
    crash_under(request, 0, 3);
    for (std::uint64_t number = 0; number < 10'000; ++number) {
        crash_under({2, number}, 0, 2, now + seconds(1));
        if (number % 100 == 0) {
            table.evict_expired(now + seconds(1));
        }
    }
    table.evict_expired(now + seconds(1));
    BOOST_TEST(table.size() == 4096U);
    BOOST_TEST((table.suspicion_of(now, request) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(proven_requests_are_bounded) {
    for (std::uint64_t number = 0; number < 10'000; ++number) {
        table.record_success(now, {3, number});
    }
    BOOST_TEST(!table.is_proven(now, {3, 0}));
    BOOST_TEST(table.is_proven(now, {3, 9'999}));
}

BOOST_AUTO_TEST_CASE(removed_evidence_no_longer_counts) {
    crash_under(request, 0, 3);
    BOOST_TEST(table.remove({request, incarnation(0)}));
    BOOST_TEST(!table.remove({request, incarnation(0)}));
    BOOST_TEST((table.suspicion_of(now, request) == suspicion::suspected));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
