#include "decision/rollout/proportion_test.hpp"

#include <math.h>  // lgamma_r, which std::lgamma's shared sign isn't safe in place of

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// Bisections of an interval of length one, to a precision finer than one in a billion.
constexpr int bisection_steps = 40;
constexpr double min_share = 1e-9;

double log_gamma(double value) {
    int sign = 0;
    return ::lgamma_r(value, &sign);
}

double log_beta(double left, double right) {
    return log_gamma(left) + log_gamma(right) - log_gamma(left + right);
}

/// The log likelihood of this sequence of flags if their probability has a beta prior.
double log_marginal_likelihood(const sample_proportion& sample, double flagged, double unflagged) {
    return log_beta(sample.flagged + flagged, sample.total - sample.flagged + unflagged) -
           log_beta(flagged, unflagged);
}

double slope(const sample_proportion& sample, double share) {
    return sample.flagged / share - (sample.total - sample.flagged) / (1.0 - share);
}

/// The maximum likelihood share of the control if the treatment's share is larger by exactly
/// `tolerance`. The sum of the log likelihoods is concave, so its slope has a single zero.
double max_likelihood_control(const sample_proportion& treatment, const sample_proportion& control,
                              double tolerance) {
    double low = min_share;
    double high = 1.0 - tolerance - min_share;
    for (int iteration = 0; iteration < bisection_steps; ++iteration) {
        const double middle = (low + high) / 2.0;
        if (slope(control, middle) + slope(treatment, middle + tolerance) > 0.0) {
            low = middle;
        } else {
            high = middle;
        }
    }
    return (low + high) / 2.0;
}

}  // namespace

double log_likelihood(const sample_proportion& sample, double share) {
    const double bounded = std::clamp(share, min_share, 1.0 - min_share);
    return sample.flagged * std::log(bounded) +
           (sample.total - sample.flagged) * std::log1p(-bounded);
}

double log_e_value(const sample_proportion& treatment, const sample_proportion& control,
                   double tolerance, const beta_priors& priors) {
    if (treatment.total <= 0.0 || control.total <= 0.0 ||
        treatment.value() <= control.value() + tolerance) {
        return 0.0;
    }
    const double share = max_likelihood_control(treatment, control, tolerance);
    return log_marginal_likelihood(treatment, priors.treatment_flagged,
                                   priors.treatment_unflagged) +
           log_marginal_likelihood(control, priors.control_flagged, priors.control_unflagged) -
           log_likelihood(control, share) - log_likelihood(treatment, share + tolerance);
}

double excess_upper_bound(const sample_proportion& treatment, double control_share, double error) {
    const double threshold = std::log(1.0 / error);
    const double control_log_likelihood = log_likelihood(treatment, control_share);
    double low = std::max(0.0, treatment.value() - control_share);
    double high = 1.0 - control_share;
    if (control_log_likelihood - log_likelihood(treatment, 1.0) < threshold) {
        return 1.0;
    }
    for (int iteration = 0; iteration < bisection_steps; ++iteration) {
        const double middle = (low + high) / 2.0;
        if (control_log_likelihood - log_likelihood(treatment, control_share + middle) <
            threshold) {
            low = middle;
        } else {
            high = middle;
        }
    }
    return high;
}

double binomial_quantile(double trials, double share, double error) {
    if (share <= 0.0 || share >= 1.0) {
        return share <= 0.0 ? 0.0 : trials;
    }
    // In standard deviations; the probability of anything further below the mean is negligible.
    constexpr double max_deviations = 10.0;
    const double mean = trials * share;
    const double spread = std::sqrt(mean * (1.0 - share));
    double count = std::max(0.0, std::floor(mean - max_deviations * spread));
    double probability =
        std::exp(log_gamma(trials + 1.0) - log_gamma(count + 1.0) -
                 log_gamma(trials - count + 1.0) + log_likelihood({count, trials}, share));
    double cumulative = probability;
    while (cumulative < 1.0 - error && count < trials) {
        probability *= (trials - count) / (count + 1.0) * share / (1.0 - share);
        count += 1.0;
        cumulative += probability;
    }
    return count;
}

}  // namespace wrenswitch
