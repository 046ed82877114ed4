#pragma once

namespace wrenswitch {

/// Bounds retries to a share of the first tries, so that failures cannot multiply the load. Each
/// first try earns a part of a retry; a retry costs one.
class retry_budget {
public:
    /// `share` is the part of a retry that a first try earns; `most` is what can be saved up.
    retry_budget(double share, double most) : share_(share), most_(most), saved_(most) {}

    /// Changes what can be saved up. What is saved beyond it is lost.
    void set_most(double most) {
        most_ = most;
        saved_ = saved_ < most_ ? saved_ : most_;
    }

    /// Counts a first try.
    void first_try() { saved_ = saved_ + share_ < most_ ? saved_ + share_ : most_; }

    /// True, and counted, if a retry is allowed now.
    bool take_retry() {
        if (saved_ < 1.0) {
            return false;
        }
        saved_ -= 1.0;
        return true;
    }

    /// What is saved up, and what can be.
    double saved() const { return saved_; }
    double most() const { return most_; }

private:
    double share_;
    double most_;
    double saved_;
};

}  // namespace wrenswitch
