#pragma once

#include <cstdint>

namespace wrenswitch {

/// Bounds what one process sends to a version that isn't proved: never more than a share of the
/// service's requests that this process itself has seen reach a target since it learnt of the
/// order. Summed over any number of processes, also over those that were lost, started anew or cut
/// off, that is no more than the share of all of the service's requests, with no word between them.
class exposure_budget {
public:
    explicit exposure_budget(double share) : share_(share) {}

    /// A request of the service, to whatever version, has reached a target.
    void note_reached() { reached_ += 1; }

    /// True if another request may go to the new version while no more than `part` of the budget is
    /// used; 1 for all of it.
    bool may_send(double part = 1.0) const {
        return static_cast<double>(sent_ + 1) <= share_ * part * static_cast<double>(reached_);
    }

    /// How much of such a part is used; one or more if all is.
    double used(double part) const {
        const double allowed = share_ * part * static_cast<double>(reached_);
        return allowed > 0.0 ? static_cast<double>(sent_) / allowed : 1.0;
    }

    /// A request goes to the new version.
    void note_sent() { sent_ += 1; }

    std::uint64_t reached() const { return reached_; }
    std::uint64_t sent() const { return sent_; }

private:
    double share_;
    std::uint64_t reached_ = 0;
    std::uint64_t sent_ = 0;
};

}  // namespace wrenswitch
