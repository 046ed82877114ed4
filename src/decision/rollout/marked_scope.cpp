#include "decision/rollout/marked_scope.hpp"

#include <algorithm>
#include <sstream>

namespace wrenswitch {

answer_share marked_scope::fresh() const {
    answer_share sum;
    for (const answer_share& share : targets) {
        sum.add(share);
    }
    return sum;
}

std::size_t marked_scope::targets_with_answers() const {
    const auto count = std::count_if(targets.begin(), targets.end(),
                                     [](const answer_share& share) { return share.all > 0.0; });
    return static_cast<std::size_t>(count);
}

double marked_scope::excess() const {
    const answer_share all = fresh();
    return all.marked - all.all * control.value();
}

std::optional<std::size_t> marked_scope::worst_target() const {
    std::optional<std::size_t> worst;
    double most = 0.0;
    for (std::size_t target = 0; target < targets.size(); ++target) {
        const double over = targets[target].marked - targets[target].all * control.value();
        if (over > most) {
            most = over;
            worst = target;
        }
    }
    return worst;
}

bool marked_scope::bore_as_others(std::size_t target) const {
    // One that has all of the canary for a fifth of the time has twice the answers of three others.
    constexpr double about = 0.65;
    const double least = about * targets[target].all;
    for (std::size_t other = 0; other < targets.size(); ++other) {
        if (other != target && targets[other].all >= least) {
            return true;
        }
    }
    return false;
}

std::string marked_scope::text(const std::string& marks) const {
    const answer_share all = fresh();
    std::ostringstream text;
    text.precision(3);
    text << all.marked << " of " << all.all << " " << marks << " on "
         << (route.empty() ? "all routes" : "route " + route) << ", old version "
         << control.value() * 100.0 << "%";
    return text.str();
}

}  // namespace wrenswitch
