#include "decision/rollout/share_test.hpp"

#include <math.h>  // lgamma_r, which std::lgamma's shared sign isn't safe in place of

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// Halvings of an interval of length one, down to less than one answer in a milliard.
constexpr int halvings = 40;
constexpr double least_share = 1e-9;

double log_gamma(double value) {
    int sign = 0;
    return ::lgamma_r(value, &sign);
}

double log_beta(double left, double right) {
    return log_gamma(left) + log_gamma(right) - log_gamma(left + right);
}

/// The logarithm of the chance of just these marks, if their share is drawn from a beta
/// distribution.
double log_mixture(const answer_share& answers, double marked, double unmarked) {
    return log_beta(answers.marked + marked, answers.all - answers.marked + unmarked) -
           log_beta(marked, unmarked);
}

double slope(const answer_share& answers, double share) {
    return answers.marked / share - (answers.all - answers.marked) / (1.0 - share);
}

/// The control's share that explains both best if the fresh one's is larger by just the tolerance.
/// The sum of both logarithms is concave, so that its slope has one zero.
double likeliest_control(const answer_share& fresh, const answer_share& control, double tolerance) {
    double low = least_share;
    double high = 1.0 - tolerance - least_share;
    for (int step = 0; step < halvings; ++step) {
        const double middle = (low + high) / 2.0;
        if (slope(control, middle) + slope(fresh, middle + tolerance) > 0.0) {
            low = middle;
        } else {
            high = middle;
        }
    }
    return (low + high) / 2.0;
}

}  // namespace

double log_likelihood(const answer_share& answers, double share) {
    const double bounded = std::clamp(share, least_share, 1.0 - least_share);
    return answers.marked * std::log(bounded) +
           (answers.all - answers.marked) * std::log1p(-bounded);
}

double log_evidence_of_excess(const answer_share& fresh, const answer_share& control,
                              double tolerance, const share_guess& guess) {
    if (fresh.all <= 0.0 || control.all <= 0.0 || fresh.value() <= control.value() + tolerance) {
        return 0.0;
    }
    const double share = likeliest_control(fresh, control, tolerance);
    return log_mixture(fresh, guess.fresh_marked, guess.fresh_unmarked) +
           log_mixture(control, guess.control_marked, guess.control_unmarked) -
           log_likelihood(control, share) - log_likelihood(fresh, share + tolerance);
}

double ruled_out_excess(const answer_share& fresh, double control_share, double error) {
    const double wanted = std::log(1.0 / error);
    const double as_control = log_likelihood(fresh, control_share);
    double low = std::max(0.0, fresh.value() - control_share);
    double high = 1.0 - control_share;
    if (as_control - log_likelihood(fresh, 1.0) < wanted) {
        return 1.0;
    }
    for (int step = 0; step < halvings; ++step) {
        const double middle = (low + high) / 2.0;
        if (as_control - log_likelihood(fresh, control_share + middle) < wanted) {
            low = middle;
        } else {
            high = middle;
        }
    }
    return high;
}

double most_by_chance(double answers, double share, double error) {
    if (share <= 0.0 || share >= 1.0) {
        return share <= 0.0 ? 0.0 : answers;
    }
    // What lies further below the mean than this, in standard deviations, has no chance to speak
    // of.
    constexpr double negligible = 10.0;
    const double mean = answers * share;
    const double spread = std::sqrt(mean * (1.0 - share));
    double marks = std::max(0.0, std::floor(mean - negligible * spread));
    double chance =
        std::exp(log_gamma(answers + 1.0) - log_gamma(marks + 1.0) -
                 log_gamma(answers - marks + 1.0) + log_likelihood({marks, answers}, share));
    double sum = chance;
    while (sum < 1.0 - error && marks < answers) {
        chance *= (answers - marks) / (marks + 1.0) * share / (1.0 - share);
        marks += 1.0;
        sum += chance;
    }
    return marks;
}

}  // namespace wrenswitch
