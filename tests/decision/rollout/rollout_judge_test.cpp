#include "wrenswitch/decision/rollout/rollout_judge.hpp"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "wrenswitch/core/random_source.hpp"

namespace {

using namespace wrenswitch;

/// How some answers are, by one route, of one target or of the old version.
struct answered {
    std::uint64_t answers = 0;
    std::uint64_t badly = 0;
    /// How many times slower the last of them are.
    double slower = 1.0;
    std::uint64_t slow = 0;
    bool stream = true;
};

struct rollout_judge_fixture {
    const rollout_judge judge{{}};
    rollout_evidence evidence;

    /// Times that spread evenly by their logarithm from 20 to 80 ms.
    static microseconds time_of(std::uint64_t index, std::uint64_t of, double slower) {
        const double part = (static_cast<double>(index) + 0.5) / static_cast<double>(of);
        return microseconds(std::llround(20'000.0 * std::pow(4.0, part) * slower));
    }

    void add(const std::string& route, const std::string& target, const answered& how) {
        answer_counts& counts = evidence.counts[{route, target}];
        counts.sent += how.answers;
        counts.badly += how.badly;
        const std::uint64_t well = how.answers - how.badly;
        counts.well += well;
        for (std::uint64_t index = 0; index < well; ++index) {
            // A stride apart, so that what is slow is drawn from all times alike.
            const std::uint64_t drawn = index * 7 % well;
            const double slower = index + how.slow >= well ? how.slower : 1.0;
            counts.first.add(time_of(drawn, well, slower));
            if (how.stream) {
                counts.pace.add(time_of(drawn, well, slower));
            }
        }
    }

    void add_to_all(const std::string& route, std::size_t targets, const answered& how) {
        for (std::size_t target = 0; target < targets; ++target) {
            add(route, "t" + std::to_string(target), how);
        }
    }

    rollout_opinion opinion(double stress = 1.0) const {
        const rollout_verdict verdict = judge.judge(evidence, stress);
        BOOST_TEST_MESSAGE(verdict.reason);
        return verdict.opinion;
    }

    bool says(const std::string& words) const {
        return judge.judge(evidence).reason.find(words) != std::string::npos;
    }
};

BOOST_FIXTURE_TEST_SUITE(rollout_judge_test, rollout_judge_fixture)

BOOST_AUTO_TEST_CASE(without_answers_undecided) {
    BOOST_TEST((opinion() == rollout_opinion::undecided));
    add("chat", "", {1000, 2});
    BOOST_TEST((opinion() == rollout_opinion::undecided));
    add_to_all("chat", 4, {2, 0});
    BOOST_TEST((opinion() == rollout_opinion::undecided));
    BOOST_TEST(says("too few answers: 8"));
}

BOOST_AUTO_TEST_CASE(answers_like_the_old_ones_good_and_says_what_that_rules_out) {
    add("chat", "", {1000, 2});
    add_to_all("chat", 4, {25, 0});
    BOOST_TEST((opinion() == rollout_opinion::good));
    BOOST_TEST(says("rules out 3."));
}

BOOST_AUTO_TEST_CASE(failures_on_all_targets_bad) {
    add("chat", "", {1000, 2});
    add_to_all("chat", 4, {25, 3});
    BOOST_TEST((opinion() == rollout_opinion::bad));
    BOOST_TEST(says("12 of 100 failed on route chat"));
}

BOOST_AUTO_TEST_CASE(few_failures_of_few_answers_undecided) {
    add("chat", "", {1000, 2});
    add_to_all("chat", 2, {25, 1});
    BOOST_TEST((opinion() == rollout_opinion::undecided));
    BOOST_TEST(says("more than chance explains"));
}

BOOST_AUTO_TEST_CASE(failures_that_the_old_version_gives_as_well_good) {
    add("chat", "", {3000, 420});
    add("lot", "", {1000, 1});
    // The canary has more of the route that fails than the old version has.
    add_to_all("chat", 4, {100, 14});
    add_to_all("lot", 4, {10, 0});
    BOOST_TEST((opinion() == rollout_opinion::good));
}

BOOST_AUTO_TEST_CASE(old_versions_failures_by_chance_in_many_answers_not_bad) {
    add("chat", "", {300'000, 42'000});
    add_to_all("chat", 4, {2500, 358});
    BOOST_TEST((opinion() != rollout_opinion::bad));
}

BOOST_AUTO_TEST_CASE(one_failing_target_of_four_is_left_out) {
    add("chat", "", {3000, 3});
    add_to_all("chat", 3, {30, 0});
    add("chat", "grey", {30, 12});
    BOOST_TEST((opinion() == rollout_opinion::good));
    BOOST_TEST(says("left out target grey"));
}

BOOST_AUTO_TEST_CASE(one_slow_target_of_four_is_left_out) {
    add("chat", "", {3000, 3});
    add_to_all("chat", 3, {30, 0});
    add("chat", "slow", {30, 0, 6.0, 30});
    BOOST_TEST((opinion() == rollout_opinion::good));
}

BOOST_AUTO_TEST_CASE(two_failing_targets_of_four_bad) {
    add("chat", "", {3000, 3});
    add_to_all("chat", 2, {30, 0});
    add("chat", "x", {30, 10});
    add("chat", "y", {30, 10});
    BOOST_TEST((opinion() == rollout_opinion::bad));
}

BOOST_AUTO_TEST_CASE(one_failing_target_that_bore_more_than_the_others_isnt_left_out) {
    add("chat", "", {3000, 3});
    add_to_all("chat", 3, {30, 0});
    add("chat", "loaded", {70, 20});
    BOOST_TEST((opinion() == rollout_opinion::undecided));
    add("chat", "loaded", {70, 25});
    BOOST_TEST((opinion() == rollout_opinion::bad));
    BOOST_TEST(says("bad answers beyond"));
}

BOOST_AUTO_TEST_CASE(single_target_with_few_failures_undecided_with_many_bad) {
    add("chat", "", {3000, 3});
    add("chat", "only", {20, 6});
    BOOST_TEST((opinion() == rollout_opinion::undecided));
    add("chat", "only", {20, 6});
    BOOST_TEST((opinion() == rollout_opinion::bad));
}

BOOST_AUTO_TEST_CASE(failures_on_one_route_bad_and_named) {
    for (const char* route : {"a", "b", "c", "d"}) {
        add(route, "", {2000, 2});
        add_to_all(route, 4, {25, route[0] == 'c' ? std::uint64_t{4} : 0});
    }
    BOOST_TEST((opinion() == rollout_opinion::bad));
    BOOST_TEST((says("on all routes") || says("on route c")));
}

BOOST_AUTO_TEST_CASE(notable_route_without_answers_undecided_and_named) {
    add("chat", "", {2000, 2});
    add("lot", "", {400, 0});
    add_to_all("chat", 4, {50, 0});
    BOOST_TEST((opinion() == rollout_opinion::undecided));
    BOOST_TEST(says("route lot"));
    add_to_all("lot", 4, {5, 0});
    BOOST_TEST((opinion() == rollout_opinion::good));
}

BOOST_AUTO_TEST_CASE(rare_route_without_answers_isnt_waited_for) {
    add("chat", "", {2000, 2});
    add("lot", "", {40, 0});
    add_to_all("chat", 4, {50, 0});
    BOOST_TEST((opinion() == rollout_opinion::good));
}

BOOST_AUTO_TEST_CASE(four_times_slower_bad) {
    add("chat", "", {2000, 2});
    add_to_all("chat", 4, {20, 0, 4.0, 20});
    BOOST_TEST((opinion() == rollout_opinion::bad));
}

BOOST_AUTO_TEST_CASE(three_tenths_four_times_slower_bad) {
    add("chat", "", {5000, 2});
    add_to_all("chat", 4, {50, 0, 4.0, 15});
    BOOST_TEST((opinion() == rollout_opinion::bad));
}

BOOST_AUTO_TEST_CASE(slower_by_less_than_two_never_bad_and_not_good) {
    add("chat", "", {100'000, 200});
    add_to_all("chat", 4, {2500, 5, 1.9, 2500});
    BOOST_TEST((opinion() == rollout_opinion::undecided));
}

BOOST_AUTO_TEST_CASE(slower_by_a_quarter_good) {
    add("chat", "", {5000, 10});
    add_to_all("chat", 4, {50, 0, 1.25, 50});
    BOOST_TEST((opinion() == rollout_opinion::good));
}

BOOST_AUTO_TEST_CASE(slower_first_answers_of_each_target_for_cold_caches_good) {
    add("chat", "", {4000, 4});
    for (const char* target : {"a", "b", "c", "d"}) {
        add("chat", target, {40, 0});
        answer_counts& counts = evidence.counts[{"chat", target}];
        counts.first = {};
        for (std::uint64_t index = 0; index < 40; ++index) {
            counts.first.add(time_of(index * 7 % 40, 40, index < 20 ? 3.0 : 1.0));
        }
    }
    BOOST_TEST((opinion() == rollout_opinion::good));
}

BOOST_AUTO_TEST_CASE(slowness_under_more_load_is_borne_and_failures_arent) {
    add("chat", "", {2000, 2});
    add_to_all("chat", 4, {20, 0, 3.0, 20});
    BOOST_TEST((opinion(1.0) == rollout_opinion::bad));
    BOOST_TEST((opinion(2.5) == rollout_opinion::good));
    add_to_all("chat", 4, {20, 5});
    BOOST_TEST((opinion(2.5) == rollout_opinion::bad));
}

BOOST_AUTO_TEST_CASE(failures_of_both_versions_during_the_move_not_taken_for_the_new_ones) {
    add("chat", "", {4000, 4});
    add_to_all("chat", 4, {30, 0});
    const rollout_evidence canary = evidence;
    add("chat", "", {800, 160});
    add_to_all("chat", 4, {60, 12});
    const std::array stretches{canary, evidence.since(canary)};
    BOOST_TEST((judge.judge(stretches).opinion == rollout_opinion::good));
    // What it guards against: the new version has more of its answers in the move.
    BOOST_TEST((opinion() == rollout_opinion::bad));
}

BOOST_AUTO_TEST_CASE(failures_of_new_version_during_the_move_bad) {
    add("chat", "", {4000, 4});
    add_to_all("chat", 4, {30, 0});
    const rollout_evidence canary = evidence;
    add("chat", "", {800, 1});
    add_to_all("chat", 4, {60, 6});
    const std::array stretches{canary, evidence.since(canary)};
    BOOST_TEST((judge.judge(stretches).opinion == rollout_opinion::bad));
}

BOOST_AUTO_TEST_CASE(good_version_asked_after_each_answer_seldom_bad) {
    constexpr int runs = 300;
    int wrongly_bad = 0;
    for (int run = 0; run < runs; ++run) {
        random_source random(static_cast<std::uint64_t>(run));
        rollout_evidence drawn;
        const auto draw = [&](const std::string& target) {
            answer_counts& counts = drawn.counts[{"chat", target}];
            (random.unit() < 0.05 ? counts.badly : counts.well) += 1;
        };
        for (int answer = 0; answer < 150; ++answer) {
            for (int old = 0; old < 10; ++old) {
                draw("");
            }
            draw("t" + std::to_string(random.below(4)));
            if (judge.judge(drawn).opinion == rollout_opinion::bad) {
                wrongly_bad += 1;
                break;
            }
        }
    }
    // One in 1,000 is stated; two of 300 would come by chance in 4 of 100 such tests.
    BOOST_TEST(wrongly_bad <= 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
