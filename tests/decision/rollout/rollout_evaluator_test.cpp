#include "wrenswitch/decision/rollout/rollout_evaluator.hpp"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "wrenswitch/core/random_source.hpp"

namespace {

using namespace wrenswitch;

/// The responses of one target, or of the old version, on one route.
struct response_profile {
    std::uint64_t responses = 0;
    std::uint64_t failed = 0;
    /// The factor by which the last `slow_count` responses are slower.
    double slowdown = 1.0;
    std::uint64_t slow_count = 0;
    bool stream = true;
};

struct rollout_evaluator_fixture {
    const rollout_evaluator evaluator{{}};
    rollout_evidence evidence;

    /// Latencies from 20 to 80 ms, evenly distributed on a logarithmic scale.
    static microseconds time_of(std::uint64_t index, std::uint64_t count, double slowdown) {
        const double part = (static_cast<double>(index) + 0.5) / static_cast<double>(count);
        return microseconds(std::llround(20'000.0 * std::pow(4.0, part) * slowdown));
    }

    void add(const std::string& route, const std::string& target, const response_profile& profile) {
        response_counts& counts = evidence.counts[{route, target}];
        counts.sent += profile.responses;
        counts.failed += profile.failed;
        const std::uint64_t succeeded = profile.responses - profile.failed;
        counts.succeeded += succeeded;
        for (std::uint64_t index = 0; index < succeeded; ++index) {
            // Uses a stride so that the slow responses are spread over all latencies.
            const std::uint64_t permuted = index * 7 % succeeded;
            const double slowdown =
                index + profile.slow_count >= succeeded ? profile.slowdown : 1.0;
            counts.first_event.add(time_of(permuted, succeeded, slowdown));
            if (profile.stream) {
                counts.event_interval.add(time_of(permuted, succeeded, slowdown));
            }
        }
    }

    void add_to_all(const std::string& route, std::size_t targets,
                    const response_profile& profile) {
        for (std::size_t target = 0; target < targets; ++target) {
            add(route, "t" + std::to_string(target), profile);
        }
    }

    evaluation_result result(double load_ratio = 1.0) const {
        const rollout_evaluation evaluation = evaluator.evaluate(evidence, load_ratio);
        BOOST_TEST_MESSAGE(evaluation.reason);
        return evaluation.result;
    }

    bool reason_contains(const std::string& text) const {
        return evaluator.evaluate(evidence).reason.find(text) != std::string::npos;
    }
};

BOOST_FIXTURE_TEST_SUITE(rollout_evaluator_test, rollout_evaluator_fixture)

BOOST_AUTO_TEST_CASE(no_responses_undecided) {
    BOOST_TEST((result() == evaluation_result::undecided));
    add("chat", "", {1000, 2});
    BOOST_TEST((result() == evaluation_result::undecided));
    add_to_all("chat", 4, {2, 0});
    BOOST_TEST((result() == evaluation_result::undecided));
    BOOST_TEST(reason_contains("too few answers: 8"));
}

BOOST_AUTO_TEST_CASE(responses_like_old_version_good_and_reason_states_bound) {
    add("chat", "", {1000, 2});
    add_to_all("chat", 4, {25, 0});
    BOOST_TEST((result() == evaluation_result::good));
    BOOST_TEST(reason_contains("rules out 3."));
}

BOOST_AUTO_TEST_CASE(failures_on_all_targets_bad) {
    add("chat", "", {1000, 2});
    add_to_all("chat", 4, {25, 3});
    BOOST_TEST((result() == evaluation_result::bad));
    BOOST_TEST(reason_contains("12 of 100 failed on route chat"));
}

BOOST_AUTO_TEST_CASE(few_failures_in_small_sample_undecided) {
    add("chat", "", {1000, 2});
    add_to_all("chat", 2, {25, 1});
    BOOST_TEST((result() == evaluation_result::undecided));
    BOOST_TEST(reason_contains("more than chance explains"));
}

BOOST_AUTO_TEST_CASE(failures_common_to_both_versions_good) {
    add("chat", "", {3000, 420});
    add("lot", "", {1000, 1});
    // The canary has a larger share of the failing route than the old version.
    add_to_all("chat", 4, {100, 14});
    add_to_all("lot", 4, {10, 0});
    BOOST_TEST((result() == evaluation_result::good));
}

BOOST_AUTO_TEST_CASE(chance_difference_in_large_sample_not_bad) {
    add("chat", "", {300'000, 42'000});
    add_to_all("chat", 4, {2500, 358});
    BOOST_TEST((result() != evaluation_result::bad));
}

BOOST_AUTO_TEST_CASE(one_failing_target_of_four_is_excluded) {
    add("chat", "", {3000, 3});
    add_to_all("chat", 3, {30, 0});
    add("chat", "grey", {30, 12});
    BOOST_TEST((result() == evaluation_result::good));
    BOOST_TEST(reason_contains("left out target grey"));
}

BOOST_AUTO_TEST_CASE(one_slow_target_of_four_is_excluded) {
    add("chat", "", {3000, 3});
    add_to_all("chat", 3, {30, 0});
    add("chat", "slow", {30, 0, 6.0, 30});
    BOOST_TEST((result() == evaluation_result::good));
}

BOOST_AUTO_TEST_CASE(two_failing_targets_of_four_bad) {
    add("chat", "", {3000, 3});
    add_to_all("chat", 2, {30, 0});
    add("chat", "x", {30, 10});
    add("chat", "y", {30, 10});
    BOOST_TEST((result() == evaluation_result::bad));
}

BOOST_AUTO_TEST_CASE(one_failing_target_with_more_load_is_not_excluded) {
    add("chat", "", {3000, 3});
    add_to_all("chat", 3, {30, 0});
    add("chat", "loaded", {70, 20});
    BOOST_TEST((result() == evaluation_result::undecided));
    add("chat", "loaded", {70, 25});
    BOOST_TEST((result() == evaluation_result::bad));
    BOOST_TEST(reason_contains("bad answers beyond"));
}

BOOST_AUTO_TEST_CASE(single_target_with_few_failures_undecided_with_many_bad) {
    add("chat", "", {3000, 3});
    add("chat", "only", {20, 6});
    BOOST_TEST((result() == evaluation_result::undecided));
    add("chat", "only", {20, 6});
    BOOST_TEST((result() == evaluation_result::bad));
}

BOOST_AUTO_TEST_CASE(failures_on_one_route_bad_and_named) {
    for (const char* route : {"a", "b", "c", "d"}) {
        add(route, "", {2000, 2});
        add_to_all(route, 4, {25, route[0] == 'c' ? std::uint64_t{4} : 0});
    }
    BOOST_TEST((result() == evaluation_result::bad));
    BOOST_TEST((reason_contains("on all routes") || reason_contains("on route c")));
}

BOOST_AUTO_TEST_CASE(significant_route_without_responses_undecided_and_named) {
    add("chat", "", {2000, 2});
    add("lot", "", {400, 0});
    add_to_all("chat", 4, {50, 0});
    BOOST_TEST((result() == evaluation_result::undecided));
    BOOST_TEST(reason_contains("route lot"));
    add_to_all("lot", 4, {5, 0});
    BOOST_TEST((result() == evaluation_result::good));
}

BOOST_AUTO_TEST_CASE(rare_route_without_responses_is_not_required) {
    add("chat", "", {2000, 2});
    add("lot", "", {40, 0});
    add_to_all("chat", 4, {50, 0});
    BOOST_TEST((result() == evaluation_result::good));
}

BOOST_AUTO_TEST_CASE(four_times_slower_bad) {
    add("chat", "", {2000, 2});
    add_to_all("chat", 4, {20, 0, 4.0, 20});
    BOOST_TEST((result() == evaluation_result::bad));
}

BOOST_AUTO_TEST_CASE(three_tenths_four_times_slower_bad) {
    add("chat", "", {5000, 2});
    add_to_all("chat", 4, {50, 0, 4.0, 15});
    BOOST_TEST((result() == evaluation_result::bad));
}

BOOST_AUTO_TEST_CASE(slower_by_less_than_two_never_bad_and_not_good) {
    add("chat", "", {100'000, 200});
    add_to_all("chat", 4, {2500, 5, 1.9, 2500});
    BOOST_TEST((result() == evaluation_result::undecided));
}

BOOST_AUTO_TEST_CASE(slower_by_a_quarter_good) {
    add("chat", "", {5000, 10});
    add_to_all("chat", 4, {50, 0, 1.25, 50});
    BOOST_TEST((result() == evaluation_result::good));
}

BOOST_AUTO_TEST_CASE(slow_first_responses_from_cold_caches_good) {
    add("chat", "", {4000, 4});
    for (const char* target : {"a", "b", "c", "d"}) {
        add("chat", target, {40, 0});
        response_counts& counts = evidence.counts[{"chat", target}];
        counts.first_event = {};
        for (std::uint64_t index = 0; index < 40; ++index) {
            counts.first_event.add(time_of(index * 7 % 40, 40, index < 20 ? 3.0 : 1.0));
        }
    }
    BOOST_TEST((result() == evaluation_result::good));
}

BOOST_AUTO_TEST_CASE(slowness_under_higher_load_tolerated_and_failures_not) {
    add("chat", "", {2000, 2});
    add_to_all("chat", 4, {20, 0, 3.0, 20});
    BOOST_TEST((result(1.0) == evaluation_result::bad));
    BOOST_TEST((result(2.5) == evaluation_result::good));
    add_to_all("chat", 4, {20, 5});
    BOOST_TEST((result(2.5) == evaluation_result::bad));
}

BOOST_AUTO_TEST_CASE(failures_of_both_versions_during_moving_phase_good) {
    add("chat", "", {4000, 4});
    add_to_all("chat", 4, {30, 0});
    const rollout_evidence canary = evidence;
    add("chat", "", {800, 160});
    add_to_all("chat", 4, {60, 12});
    const std::array intervals{canary, evidence.since(canary)};
    BOOST_TEST((evaluator.evaluate(intervals).result == evaluation_result::good));
    // Without intervals the version looks bad, as it has most of its responses during the move.
    BOOST_TEST((result() == evaluation_result::bad));
}

BOOST_AUTO_TEST_CASE(failures_of_new_version_during_moving_phase_bad) {
    add("chat", "", {4000, 4});
    add_to_all("chat", 4, {30, 0});
    const rollout_evidence canary = evidence;
    add("chat", "", {800, 1});
    add_to_all("chat", 4, {60, 6});
    const std::array intervals{canary, evidence.since(canary)};
    BOOST_TEST((evaluator.evaluate(intervals).result == evaluation_result::bad));
}

BOOST_AUTO_TEST_CASE(good_version_evaluated_after_each_response_rarely_bad) {
    constexpr int runs = 300;
    int false_bad_count = 0;
    for (int run = 0; run < runs; ++run) {
        random_source random(static_cast<std::uint64_t>(run));
        rollout_evidence sampled;
        const auto add_random = [&](const std::string& target) {
            response_counts& counts = sampled.counts[{"chat", target}];
            (random.unit() < 0.05 ? counts.failed : counts.succeeded) += 1;
        };
        for (int round = 0; round < 150; ++round) {
            for (int sample = 0; sample < 10; ++sample) {
                add_random("");
            }
            add_random("t" + std::to_string(random.below(4)));
            if (evaluator.evaluate(sampled).result == evaluation_result::bad) {
                false_bad_count += 1;
                break;
            }
        }
    }
    // The configured rate is 1 in 1,000; two of 300 would occur by chance in 4 of 100 such tests.
    BOOST_TEST(false_bad_count <= 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
