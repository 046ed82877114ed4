#include "wrenswitch/decision/rollout/rollout_evidence.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

BOOST_AUTO_TEST_SUITE(rollout_evidence_test)

BOOST_AUTO_TEST_CASE(times_fall_into_bucket_whose_bound_they_reach) {
    BOOST_TEST(time_counts::bucket_of(microseconds(0)) == 0U);
    BOOST_TEST(time_counts::bucket_of(milliseconds(1)) == 0U);
    BOOST_TEST(time_counts::bucket_of(microseconds(1001)) == 1U);
    BOOST_TEST(time_counts::bucket_of(microseconds(1500)) == 1U);
    BOOST_TEST(time_counts::bucket_of(microseconds(2251)) == 3U);
    BOOST_TEST(time_counts::bucket_of(seconds(3600)) == time_counts::buckets - 1);
    BOOST_TEST(time_counts::bound_ms(2) == 2.25);
    BOOST_TEST(time_counts::bound_ms(time_counts::buckets - 1) > 11'000.0);
}

BOOST_AUTO_TEST_CASE(times_that_differ_by_two_are_never_in_one_bucket) {
    for (auto time = milliseconds(1); time < milliseconds(4900); time += milliseconds(7)) {
        BOOST_TEST(time_counts::bucket_of(time) < time_counts::bucket_of(2 * time));
    }
}

BOOST_AUTO_TEST_CASE(sums_of_evidence_hold_all_counts_by_route_and_target) {
    rollout_evidence one;
    answer_counts& answers = one.counts[{"chat", "a"}];
    answers.sent = 5;
    answers.well = 2;
    answers.badly = 1;
    answers.silent = 1;
    answers.first.add(milliseconds(20));
    answers.pace.add(milliseconds(5));
    one.counts[{"chat", ""}].well = 7;

    rollout_evidence sum;
    sum.add(one);
    sum.add(one);
    const answer_counts& doubled = sum.counts.at({"chat", "a"});
    BOOST_TEST(doubled.sent == 10U);
    BOOST_TEST(doubled.well == 4U);
    BOOST_TEST(doubled.badly == 2U);
    BOOST_TEST(doubled.silent == 2U);
    BOOST_TEST(doubled.first.total() == 2U);
    BOOST_TEST(doubled.pace.total() == 2U);
    BOOST_TEST(sum.counts.at({"chat", ""}).well == 14U);
}

BOOST_AUTO_TEST_CASE(since_earlier_sums_only_what_came_and_nothing_of_what_is_less) {
    rollout_evidence earlier;
    earlier.counts[{"chat", "a"}].well = 3;
    earlier.counts[{"chat", "a"}].first.add(milliseconds(20));
    earlier.counts[{"chat", "b"}].badly = 5;
    rollout_evidence now = earlier;
    now.counts[{"chat", "a"}].well = 10;
    now.counts[{"chat", "a"}].first.add(milliseconds(300));
    now.counts[{"chat", "b"}].badly = 2;
    now.counts[{"lot", "a"}].silent = 1;

    const rollout_evidence came = now.since(earlier);
    BOOST_TEST(came.counts.at({"chat", "a"}).well == 7U);
    BOOST_TEST(came.counts.at({"chat", "a"}).first.total() == 1U);
    BOOST_TEST(
        came.counts.at({"chat", "a"}).first.counts()[time_counts::bucket_of(milliseconds(300))] ==
        1U);
    BOOST_TEST(came.counts.at({"chat", "b"}).badly == 0U);
    BOOST_TEST(came.counts.at({"lot", "a"}).silent == 1U);
}

BOOST_AUTO_TEST_CASE(versions_are_told_apart_by_the_target_that_is_named) {
    rollout_evidence evidence;
    evidence.counts[{"chat", ""}].well = 100;
    evidence.counts[{"lot", ""}].badly = 3;
    evidence.counts[{"chat", "a"}].well = 4;
    evidence.counts[{"lot", "b"}].badly = 1;
    BOOST_TEST(evidence.of_old_version().well == 100U);
    BOOST_TEST(evidence.of_old_version().badly == 3U);
    BOOST_TEST(evidence.of_new_version().well == 4U);
    BOOST_TEST(evidence.of_new_version().badly == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
