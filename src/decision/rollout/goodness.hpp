#pragma once

#include <string>
#include <vector>

#include "decision/rollout/answer_table.hpp"
#include "wrenswitch/decision/rollout/rollout_judge.hpp"

namespace wrenswitch {

/// Asks whether a version that isn't bad may be held for good. That takes less evidence than it
/// takes to hold it for bad to speak against it: in doubt the old version goes on.
class goodness {
public:
    struct answer {
        bool good = false;
        /// What speaks against it, or what a good verdict rules out.
        std::string reason;
    };

    /// The settings must live as long.
    goodness(const rollout_judge::settings& settings, double stress)
        : settings_(settings), stress_(stress) {}

    answer ask(const answer_table& answers) const;

private:
    /// What is still unknown; empty if enough is known.
    std::string missing(const std::vector<marked_scope>& failures) const;
    /// The route of which too little is known, beside so many answers of all.
    static std::string missing_route(const answer_table& answers, double all);
    /// The first scope with more failures than a good version's; empty if there is none.
    std::string doubted_by_failures(const std::vector<marked_scope>& scopes) const;
    std::string doubted_by_slowness(const answer_table& answers) const;

    const rollout_judge::settings& settings_;
    double stress_;
};

}  // namespace wrenswitch
