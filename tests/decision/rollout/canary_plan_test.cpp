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

BOOST_AUTO_TEST_CASE(part_only_grows_and_stays_below_half_of_the_budget) {
    for (const std::size_t targets : {1U, 3U, 57U, 400U}) {
        double before = 0.0;
        for (double second = 0.0; second < 60.0; second += 0.05) {
            const double part = at(second, targets, targets).part;
            BOOST_TEST(part >= before);
            BOOST_TEST(part <= 0.4);
            before = part;
        }
        BOOST_TEST(before == 0.4);
    }
}

BOOST_AUTO_TEST_CASE(targets_of_a_large_service_bear_about_what_the_old_ones_do) {
    for (const double second : {1.0, 5.0, 13.0, 18.0, 30.0}) {
        const canary_step step = at(second, 400, 400);
        BOOST_TEST(step.load > 0.8);
        BOOST_TEST(step.load < 1.25);
    }
}

BOOST_AUTO_TEST_CASE(stress_loads_each_target_above_the_old_ones_but_not_far) {
    for (const std::size_t targets : {20U, 57U, 400U}) {
        for (double second = 8.0; second < 11.9; second += 0.1) {
            const canary_step step = at(second, targets, targets);
            BOOST_TEST(step.load < 2.0);
        }
        BOOST_TEST(plan.highest_load(seconds(11), targets, targets) > 1.0);
    }
}

BOOST_AUTO_TEST_CASE(stress_of_a_small_service_brings_three_targets_near_the_load_of_an_old_one) {
    BOOST_TEST(at(4.0, 3, 3).load < 0.2);
    std::set<std::uint64_t> seeds;
    // The part rises by itself at the begin of each step.
    for (const double second : {8.1, 9.4, 10.8}) {
        const canary_step stress = at(second, 3, 3);
        BOOST_TEST(stress.group_size == 1U);
        BOOST_TEST(stress.load > 0.7);
        BOOST_TEST(stress.load < 1.3);
        seeds.insert(stress.group_seed);
    }
    BOOST_TEST(seeds.size() == 3U);
    BOOST_TEST(plan.highest_load(seconds(7), 3, 3) < 0.2);
    BOOST_TEST(plan.highest_load(seconds(15), 3, 3) > 0.7);
}

BOOST_AUTO_TEST_CASE(each_fifth_of_the_time_has_other_targets_and_orders_never_the_same) {
    const canary_plan next{duration, share, 8};
    std::set<std::uint64_t> seeds;
    for (const int second : {1, 5, 9, 13, 17, 21, 25}) {
        seeds.insert(plan.at(seconds(second), 10, 10).group_seed);
        seeds.insert(next.at(seconds(second), 10, 10).group_seed);
    }
    BOOST_TEST(seeds.size() == 14U);
    BOOST_TEST(at(1.0, 10, 10).group_seed == at(3.9, 10, 10).group_seed);
}

BOOST_AUTO_TEST_CASE(group_has_two_targets_if_there_are_as_many) {
    BOOST_TEST(at(1.0, 3, 3).group_size == 2U);
    BOOST_TEST(at(1.0, 3, 1).group_size == 1U);
    BOOST_TEST(at(1.0, 57, 57).group_size == 2U);
    BOOST_TEST(at(15.0, 400, 3).group_size == 3U);
}

BOOST_AUTO_TEST_CASE(odd_numbers_give_a_step_all_the_same) {
    BOOST_TEST(at(5.0, 0, 0).group_size >= 1U);
    BOOST_TEST(at(9.0, 0, 4).part >= 0.2);
    const canary_plan nothing{duration, 0.0, 1};
    BOOST_TEST(nothing.at(seconds(9), 5, 5).load == 0.0);
    const canary_plan brief{milliseconds(1), share, 1};
    BOOST_TEST(brief.at(seconds(9), 5, 5).part == 0.4);
    BOOST_TEST(plan.at(-seconds(1), 5, 5).part == 0.2);
}

BOOST_AUTO_TEST_SUITE_END()
