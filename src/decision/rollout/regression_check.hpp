#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "decision/rollout/response_statistics.hpp"
#include "wrenswitch/decision/rollout/rollout_evaluator.hpp"

namespace wrenswitch {

/// Decides whether the responses of a version show a regression, with a given error rate for good
/// versions. A regression must also show with any single target left out, as one differing target
/// isn't a fault of the version.
class regression_check {
public:
    /// `settings` must outlive this object.
    regression_check(const rollout_evaluator::settings& settings, double load_ratio)
        : settings_(settings), load_ratio_(load_ratio) {}

    /// A description of the regression, if there is one.
    std::optional<std::string> find(const response_statistics& responses) const;

private:
    /// Bad responses beyond the old version's share.
    struct bad_count {
        double all = 0.0;
        /// The same without the target that has the most.
        double without_worst = 0.0;
        std::size_t targets = 0;

        void update_max(const bad_count& other) {
            all = std::max(all, other.all);
            without_worst = std::max(without_worst, other.without_worst);
        }
    };

    /// The last resort: too many bad responses, whatever the reason.
    std::optional<std::string> find_by_count(const response_statistics& responses) const;
    bad_count count_bad(const std::vector<route_comparison>& comparisons) const;
    /// Tests one kind of flag, with at most this error rate for good versions; a bad version
    /// exceeds the control's share by more than `tolerance`.
    std::optional<std::string> find_by_proportion(const std::vector<route_comparison>& comparisons,
                                                  double false_positive_rate, double tolerance,
                                                  const std::string& flag) const;
    bool is_regression(const route_comparison& comparison, double false_positive_rate,
                       double tolerance) const;

    const rollout_evaluator::settings& settings_;
    double load_ratio_;
};

}  // namespace wrenswitch
