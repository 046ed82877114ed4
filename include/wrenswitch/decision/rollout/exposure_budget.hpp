#pragma once

#include <cstdint>

namespace wrenswitch {

/// Limits the requests that one process sends to an unproven version to a share of the service's
/// requests that this process has seen reach a target since it learned of the order. Because each
/// process keeps the limit on its own, the sum over all processes stays within the same share of
/// all requests without coordination, even if processes crash, restart or are partitioned.
class exposure_budget {
public:
    explicit exposure_budget(double share) : share_(share) {}

    /// Counts a request of the service, of any version, that reached a target.
    void note_reached() { reached_ += 1; }

    /// True if another request may go to the new version without using more than `fraction` of the
    /// budget; 1 stands for all of it.
    bool may_send(double fraction = 1.0) const {
        return static_cast<double>(sent_ + 1) <= share_ * fraction * static_cast<double>(reached_);
    }

    /// How much of that fraction of the budget is used; 1 or more if it is exhausted.
    double used_fraction(double fraction) const {
        const double allowed = share_ * fraction * static_cast<double>(reached_);
        return allowed > 0.0 ? static_cast<double>(sent_) / allowed : 1.0;
    }

    /// Counts a request sent to the new version.
    void note_sent() { sent_ += 1; }

    std::uint64_t reached() const { return reached_; }
    std::uint64_t sent() const { return sent_; }

private:
    double share_;
    std::uint64_t reached_ = 0;
    std::uint64_t sent_ = 0;
};

}  // namespace wrenswitch
