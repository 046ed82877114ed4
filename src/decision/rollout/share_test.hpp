#pragma once

namespace wrenswitch {

/// How many of some answers have a mark: they failed, or were slow.
struct answer_share {
    double marked = 0.0;
    double all = 0.0;

    double value() const { return all > 0.0 ? marked / all : 0.0; }
    void add(const answer_share& other) {
        marked += other.marked;
        all += other.all;
    }
    answer_share without(const answer_share& part) const {
        return {marked - part.marked, all - part.all};
    }
};

/// What is supposed of the two shares before any answer, as beta distributions. A wrong guess costs
/// power, no error.
struct share_guess {
    double fresh_marked = 1.0;
    double fresh_unmarked = 1.0;
    double control_marked = 1.0;
    double control_unmarked = 1.0;
};

/// The logarithm of the evidence (an e-value) that the marks of `fresh` are more frequent than
/// those of `control` by more than `tolerance`: a mixture of all pairs of shares over the likeliest
/// pair that isn't so. While it isn't so, the chance that the evidence ever reaches x, however
/// often one looks and whatever the order in which answers come, is at most 1/x (Ville's
/// inequality).
double log_evidence_of_excess(const answer_share& fresh, const answer_share& control,
                              double tolerance, const share_guess& guess);

/// The logarithm of the chance of just these marks in this order, if each answer has one with this
/// chance.
double log_likelihood(const answer_share& answers, double share);

/// The smallest excess over the control's share that `fresh` rules out: had the excess been that or
/// more, evidence like this would ever come with no more than the chance `error`. 1 if none is.
double ruled_out_excess(const answer_share& fresh, double control_share, double error);

/// The most marks that come among so many answers with this share of marks, but for the chance
/// `error` that there are more.
double most_by_chance(double answers, double share, double error);

}  // namespace wrenswitch
