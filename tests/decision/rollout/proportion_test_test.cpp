#include "decision/rollout/proportion_test.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>

namespace {

using namespace wrenswitch;

constexpr beta_priors priors{1.0, 4.0, 0.1, 1.0};

BOOST_AUTO_TEST_SUITE(proportion_test_test)

BOOST_AUTO_TEST_CASE(larger_share_gives_e_value_that_grows_with_sample) {
    const double some = log_e_value({5, 50}, {2, 1000}, 0.0, priors);
    const double more = log_e_value({10, 100}, {4, 2000}, 0.0, priors);
    BOOST_TEST(some > std::log(100.0));
    BOOST_TEST(more > 1.5 * some);
}

BOOST_AUTO_TEST_CASE(share_within_tolerance_gives_no_evidence) {
    BOOST_TEST(log_e_value({140, 1000}, {1400, 10'000}, 0.003, priors) == 0.0);
    BOOST_TEST(log_e_value({1, 100}, {0, 1000}, 0.02, priors) == 0.0);
    BOOST_TEST(log_e_value({0, 0}, {0, 1000}, 0.0, priors) == 0.0);
}

/// The expected value of an e-value is at most one if the hypothesis holds. Even half of the sum
/// over all outcomes would be an error rate of its own.
BOOST_AUTO_TEST_CASE(equal_shares_give_mean_e_value_of_at_most_one) {
    for (const double share : {0.01, 0.14, 0.5}) {
        constexpr int treatment = 20;
        constexpr int control = 60;
        double mean = 0.0;
        for (int treatment_flagged = 0; treatment_flagged <= treatment; ++treatment_flagged) {
            for (int control_flagged = 0; control_flagged <= control; ++control_flagged) {
                const sample_proportion treatment_sample{double(treatment_flagged),
                                                         double(treatment)};
                const sample_proportion control_sample{double(control_flagged), double(control)};
                const double log_orderings =
                    std::lgamma(treatment + 1.0) - std::lgamma(treatment_flagged + 1.0) -
                    std::lgamma(treatment - treatment_flagged + 1.0) + std::lgamma(control + 1.0) -
                    std::lgamma(control_flagged + 1.0) -
                    std::lgamma(control - control_flagged + 1.0);
                const double log_probability = log_orderings +
                                               log_likelihood(treatment_sample, share) +
                                               log_likelihood(control_sample, share);
                const double log_evidence =
                    log_e_value(treatment_sample, control_sample, 0.0, priors);
                mean += log_evidence > 0.0 ? std::exp(log_probability + log_evidence) : 0.0;
            }
        }
        BOOST_TEST(mean <= 1.0);
    }
}

BOOST_AUTO_TEST_CASE(excess_upper_bound_without_flags_matches_geometric_distribution) {
    // With probability 0.98 an excess of 10.6% would show in 35 responses.
    BOOST_TEST(std::abs(excess_upper_bound({0, 35}, 0.0, 0.02) - (1.0 - std::pow(0.02, 1.0 / 35))) <
               1e-6);
    BOOST_TEST(excess_upper_bound({1, 1}, 0.5, 0.02) == 1.0);
    BOOST_TEST(excess_upper_bound({5, 50}, 0.0, 0.02) > 0.1);
}

BOOST_AUTO_TEST_CASE(binomial_quantile_matches_known_values) {
    BOOST_TEST(binomial_quantile(100, 0.0, 0.01) == 0.0);
    BOOST_TEST(binomial_quantile(10, 0.5, 0.011) == 8.0);
    BOOST_TEST(binomial_quantile(10, 0.5, 0.010) == 9.0);
    const double upper = binomial_quantile(1e6, 0.14, 0.001);
    BOOST_TEST(upper > 141'000.0);
    BOOST_TEST(upper < 141'200.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
