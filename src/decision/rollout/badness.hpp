#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "decision/rollout/answer_table.hpp"
#include "wrenswitch/decision/rollout/rollout_judge.hpp"

namespace wrenswitch {

/// Asks whether a version's answers show that it is bad, with a stated chance that a good version's
/// ever do. A target that differs from the others is no fault of the version: whichever of its
/// targets is left out, the others must show it.
class badness {
public:
    /// The settings must live as long.
    badness(const rollout_judge::settings& settings, double stress)
        : settings_(settings), stress_(stress) {}

    /// What shows it, if anything does.
    std::optional<std::string> shown_by(const answer_table& answers) const;

private:
    /// Bad answers that the old version's share doesn't explain.
    struct bad_number {
        double all = 0.0;
        /// Those that aren't of the target with the most.
        double without_worst = 0.0;
        std::size_t targets = 0;

        void take_larger(const bad_number& other) {
            all = std::max(all, other.all);
            without_worst = std::max(without_worst, other.without_worst);
        }
    };

    /// The last resort: so many bad answers that it doesn't matter what explains them.
    std::optional<std::string> shown_by_number(const answer_table& answers) const;
    bad_number number_in(const std::vector<marked_scope>& scopes) const;
    /// One kind of mark, of which a good version is taken for bad with no more than this chance,
    /// and that bad versions have more often by more than the tolerance.
    std::optional<std::string> shown_by_shares(const std::vector<marked_scope>& scopes,
                                               double wrongly, double tolerance,
                                               const std::string& marks) const;
    bool shows(const marked_scope& scope, double wrongly, double tolerance) const;

    const rollout_judge::settings& settings_;
    double stress_;
};

}  // namespace wrenswitch
