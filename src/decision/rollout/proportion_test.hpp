#pragma once

namespace wrenswitch {

/// The number of responses in a sample, and how many of them are flagged as failed or as slow.
struct sample_proportion {
    double flagged = 0.0;
    double total = 0.0;

    double value() const { return total > 0.0 ? flagged / total : 0.0; }
    void add(const sample_proportion& other) {
        flagged += other.flagged;
        total += other.total;
    }
    sample_proportion without(const sample_proportion& other) const {
        return {flagged - other.flagged, total - other.total};
    }
};

/// Beta priors of the two shares. A wrong prior reduces the power of the test but doesn't increase
/// its error rate.
struct beta_priors {
    double treatment_flagged = 1.0;
    double treatment_unflagged = 1.0;
    double control_flagged = 1.0;
    double control_unflagged = 1.0;
};

/// The log of the e-value against the hypothesis that the share of flagged responses of `treatment`
/// exceeds that of `control` by at most `tolerance`: a mixture over all pairs of shares divided by
/// the maximum likelihood under the hypothesis. While the hypothesis holds, the probability that
/// the e-value ever reaches x, with any number of looks and any order of the responses, is at most
/// 1/x (Ville's inequality).
double log_e_value(const sample_proportion& treatment, const sample_proportion& control,
                   double tolerance, const beta_priors& priors);

/// The log likelihood of this sequence of flags if each response is flagged with probability
/// `share`.
double log_likelihood(const sample_proportion& sample, double share);

/// The smallest excess over `control_share` that `treatment` rules out: with that excess or more,
/// such evidence would ever occur with probability `error` at most. 1 if no excess is ruled out.
double excess_upper_bound(const sample_proportion& treatment, double control_share, double error);

/// The number of flagged responses among `trials` that is exceeded with probability `error` at most
/// if each is flagged with probability `share`.
double binomial_quantile(double trials, double share, double error);

}  // namespace wrenswitch
