#include "decision/rollout/share_test.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>

namespace {

using namespace wrenswitch;

constexpr share_guess guess{1.0, 4.0, 0.1, 1.0};

BOOST_AUTO_TEST_SUITE(share_test_test)

BOOST_AUTO_TEST_CASE(larger_share_gives_evidence_that_grows_with_answers) {
    const double some = log_evidence_of_excess({5, 50}, {2, 1000}, 0.0, guess);
    const double more = log_evidence_of_excess({10, 100}, {4, 2000}, 0.0, guess);
    BOOST_TEST(some > std::log(100.0));
    BOOST_TEST(more > 1.5 * some);
}

BOOST_AUTO_TEST_CASE(share_within_tolerance_gives_none) {
    BOOST_TEST(log_evidence_of_excess({140, 1000}, {1400, 10'000}, 0.003, guess) == 0.0);
    BOOST_TEST(log_evidence_of_excess({1, 100}, {0, 1000}, 0.02, guess) == 0.0);
    BOOST_TEST(log_evidence_of_excess({0, 0}, {0, 1000}, 0.0, guess) == 0.0);
}

/// Half of the sum over all outcomes of chance times evidence would already be an error rate of its
/// own: an e-value's mean is one at most.
BOOST_AUTO_TEST_CASE(mean_of_evidence_over_outcomes_of_equal_shares_is_one_at_most) {
    for (const double share : {0.01, 0.14, 0.5}) {
        constexpr int fresh = 20;
        constexpr int control = 60;
        double mean = 0.0;
        for (int few = 0; few <= fresh; ++few) {
            for (int many = 0; many <= control; ++many) {
                const answer_share one{double(few), double(fresh)};
                const answer_share other{double(many), double(control)};
                const double orders = std::lgamma(fresh + 1.0) - std::lgamma(few + 1.0) -
                                      std::lgamma(fresh - few + 1.0) + std::lgamma(control + 1.0) -
                                      std::lgamma(many + 1.0) - std::lgamma(control - many + 1.0);
                const double chance =
                    orders + log_likelihood(one, share) + log_likelihood(other, share);
                const double evidence = log_evidence_of_excess(one, other, 0.0, guess);
                mean += evidence > 0.0 ? std::exp(chance + evidence) : 0.0;
            }
        }
        BOOST_TEST(mean <= 1.0);
    }
}

BOOST_AUTO_TEST_CASE(ruled_out_excess_without_marks_is_that_of_the_geometric_law) {
    // 0.98 of the time, an excess of 10.6% would show in 35 answers.
    BOOST_TEST(std::abs(ruled_out_excess({0, 35}, 0.0, 0.02) - (1.0 - std::pow(0.02, 1.0 / 35))) <
               1e-6);
    BOOST_TEST(ruled_out_excess({1, 1}, 0.5, 0.02) == 1.0);
    BOOST_TEST(ruled_out_excess({5, 50}, 0.0, 0.02) > 0.1);
}

BOOST_AUTO_TEST_CASE(most_by_chance_is_the_quantile_of_the_binomial_law) {
    BOOST_TEST(most_by_chance(100, 0.0, 0.01) == 0.0);
    BOOST_TEST(most_by_chance(10, 0.5, 0.011) == 8.0);
    BOOST_TEST(most_by_chance(10, 0.5, 0.010) == 9.0);
    const double many = most_by_chance(1e6, 0.14, 0.001);
    BOOST_TEST(many > 141'000.0);
    BOOST_TEST(many < 141'200.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
