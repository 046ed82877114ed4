#include "wrenswitch/decision/rollout/canary_plan.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using namespace wrenswitch;

constexpr double share = 0.09;
constexpr microseconds duration = seconds(20);

struct canary_plan_fixture {
    canary_plan plan{duration, share, 7};

    canary_step at(double second, std::size_t old_targets, std::size_t new_targets) const {
        return plan.at(milliseconds(static_cast<std::int64_t>(second * 1000)), old_targets,
                       new_targets);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(canary_plan_test, canary_plan_fixture)

BOOST_AUTO_TEST_CASE(budget_fraction_never_decreases_and_stays_below_half) {
    for (const std::size_t targets : {1U, 3U, 57U, 400U}) {
        double before = 0.0;
        for (double second = 0.0; second < 60.0; second += 0.05) {
            const double budget_fraction = at(second, targets, targets).budget_fraction;
            BOOST_TEST(budget_fraction >= before);
            BOOST_TEST(budget_fraction <= 0.4);
            before = budget_fraction;
        }
        BOOST_TEST(before == 0.4);
    }
}

BOOST_AUTO_TEST_CASE(canary_load_in_large_service_close_to_old_targets) {
    for (const double second : {1.0, 5.0, 13.0, 18.0, 30.0}) {
        const canary_step step = at(second, 400, 400);
        BOOST_TEST(step.relative_load > 0.8);
        BOOST_TEST(step.relative_load < 1.25);
    }
}

BOOST_AUTO_TEST_CASE(stress_load_per_target_above_old_targets_within_limit) {
    for (const std::size_t targets : {20U, 57U, 400U}) {
        for (double second = 8.0; second < 11.9; second += 0.1) {
            const canary_step step = at(second, targets, targets);
            BOOST_TEST(step.relative_load < 2.0);
        }
        BOOST_TEST(plan.peak_load(seconds(11), targets, targets) > 1.0);
    }
}

BOOST_AUTO_TEST_CASE(stress_in_small_service_loads_three_targets_like_an_old_one) {
    BOOST_TEST(at(4.0, 3, 3).relative_load < 0.2);
    std::set<std::uint64_t> seeds;
    // The fraction starts to rise at the beginning of each step.
    for (const double second : {8.1, 9.4, 10.8}) {
        const canary_step stress = at(second, 3, 3);
        BOOST_TEST(stress.group_size == 1U);
        BOOST_TEST(stress.relative_load > 0.7);
        BOOST_TEST(stress.relative_load < 1.3);
        seeds.insert(stress.group_seed);
    }
    BOOST_TEST(seeds.size() == 3U);
    BOOST_TEST(plan.peak_load(seconds(7), 3, 3) < 0.2);
    BOOST_TEST(plan.peak_load(seconds(15), 3, 3) > 0.7);
}

BOOST_AUTO_TEST_CASE(group_seed_differs_between_spans_and_between_orders) {
    const canary_plan next{duration, share, 8};
    std::set<std::uint64_t> seeds;
    for (const int second : {1, 5, 9, 13, 17, 21, 25}) {
        seeds.insert(plan.at(seconds(second), 10, 10).group_seed);
        seeds.insert(next.at(seconds(second), 10, 10).group_seed);
    }
    BOOST_TEST(seeds.size() == 14U);
    BOOST_TEST(at(1.0, 10, 10).group_seed == at(3.9, 10, 10).group_seed);
}

BOOST_AUTO_TEST_CASE(group_size_two_targets_if_available) {
    BOOST_TEST(at(1.0, 3, 3).group_size == 2U);
    BOOST_TEST(at(1.0, 3, 1).group_size == 1U);
    BOOST_TEST(at(1.0, 57, 57).group_size == 2U);
    BOOST_TEST(at(15.0, 400, 3).group_size == 3U);
}

BOOST_AUTO_TEST_CASE(extreme_inputs_still_yield_valid_step) {
    BOOST_TEST(at(5.0, 0, 0).group_size >= 1U);
    BOOST_TEST(at(9.0, 0, 4).budget_fraction >= 0.2);
    const canary_plan unexposed{duration, 0.0, 1};
    BOOST_TEST(unexposed.at(seconds(9), 5, 5).relative_load == 0.0);
    const canary_plan shortest{milliseconds(1), share, 1};
    BOOST_TEST(shortest.at(seconds(9), 5, 5).budget_fraction == 0.4);
    BOOST_TEST(plan.at(-seconds(1), 5, 5).budget_fraction == 0.2);
}

BOOST_AUTO_TEST_SUITE_END()
