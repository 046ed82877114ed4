#include "wrenswitch/decision/rollout/rollout_evidence.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

BOOST_AUTO_TEST_SUITE(rollout_evidence_test)

BOOST_AUTO_TEST_CASE(latency_up_to_bound_falls_into_that_bucket) {
    BOOST_TEST(latency_histogram::bucket_of(microseconds(0)) == 0U);
    BOOST_TEST(latency_histogram::bucket_of(milliseconds(1)) == 0U);
    BOOST_TEST(latency_histogram::bucket_of(microseconds(1001)) == 1U);
    BOOST_TEST(latency_histogram::bucket_of(microseconds(1500)) == 1U);
    BOOST_TEST(latency_histogram::bucket_of(microseconds(2251)) == 3U);
    BOOST_TEST(latency_histogram::bucket_of(seconds(3600)) == latency_histogram::buckets - 1);
    BOOST_TEST(latency_histogram::bound_ms(2) == 2.25);
    BOOST_TEST(latency_histogram::bound_ms(latency_histogram::buckets - 1) > 11'000.0);
}

BOOST_AUTO_TEST_CASE(latencies_a_factor_of_two_apart_fall_into_different_buckets) {
    for (auto latency = milliseconds(1); latency < milliseconds(4900); latency += milliseconds(7)) {
        BOOST_TEST(latency_histogram::bucket_of(latency) <
                   latency_histogram::bucket_of(2 * latency));
    }
}

BOOST_AUTO_TEST_CASE(added_evidence_sums_counts_by_route_and_target) {
    rollout_evidence single;
    response_counts& responses = single.counts[{"chat", "a"}];
    responses.sent = 5;
    responses.succeeded = 2;
    responses.failed = 1;
    responses.inconclusive = 1;
    responses.first_event.add(milliseconds(20));
    responses.event_interval.add(milliseconds(5));
    single.counts[{"chat", ""}].succeeded = 7;

    rollout_evidence sum;
    sum.add(single);
    sum.add(single);
    const response_counts& doubled = sum.counts.at({"chat", "a"});
    BOOST_TEST(doubled.sent == 10U);
    BOOST_TEST(doubled.succeeded == 4U);
    BOOST_TEST(doubled.failed == 2U);
    BOOST_TEST(doubled.inconclusive == 2U);
    BOOST_TEST(doubled.first_event.total() == 2U);
    BOOST_TEST(doubled.event_interval.total() == 2U);
    BOOST_TEST(sum.counts.at({"chat", ""}).succeeded == 14U);
}

BOOST_AUTO_TEST_CASE(since_earlier_returns_increases_and_zero_for_decreases) {
    rollout_evidence earlier;
    earlier.counts[{"chat", "a"}].succeeded = 3;
    earlier.counts[{"chat", "a"}].first_event.add(milliseconds(20));
    earlier.counts[{"chat", "b"}].failed = 5;
    rollout_evidence now = earlier;
    now.counts[{"chat", "a"}].succeeded = 10;
    now.counts[{"chat", "a"}].first_event.add(milliseconds(300));
    now.counts[{"chat", "b"}].failed = 2;
    now.counts[{"lot", "a"}].inconclusive = 1;

    const rollout_evidence difference = now.since(earlier);
    BOOST_TEST(difference.counts.at({"chat", "a"}).succeeded == 7U);
    BOOST_TEST(difference.counts.at({"chat", "a"}).first_event.total() == 1U);
    BOOST_TEST(difference.counts.at({"chat", "a"})
                   .first_event.counts()[latency_histogram::bucket_of(milliseconds(300))] == 1U);
    BOOST_TEST(difference.counts.at({"chat", "b"}).failed == 0U);
    BOOST_TEST(difference.counts.at({"lot", "a"}).inconclusive == 1U);
}

BOOST_AUTO_TEST_CASE(named_target_counts_as_new_version) {
    rollout_evidence evidence;
    evidence.counts[{"chat", ""}].succeeded = 100;
    evidence.counts[{"lot", ""}].failed = 3;
    evidence.counts[{"chat", "a"}].succeeded = 4;
    evidence.counts[{"lot", "b"}].failed = 1;
    BOOST_TEST(evidence.of_old_version().succeeded == 100U);
    BOOST_TEST(evidence.of_old_version().failed == 3U);
    BOOST_TEST(evidence.of_new_version().succeeded == 4U);
    BOOST_TEST(evidence.of_new_version().failed == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
