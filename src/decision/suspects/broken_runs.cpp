#include "wrenswitch/decision/suspects/broken_runs.hpp"

#include <algorithm>
#include <set>

namespace wrenswitch {

void broken_runs::broke(instant now, const target_life& life, const digest& request) {
    note(life, {request, now, true});
}

void broken_runs::left(instant now, const target_life& life, const digest& request) {
    note(life, {request, now, false});
}

void broken_runs::note(const target_life& life, run ended) {
    std::vector<run>& runs = lives_[life];
    if (runs.size() >= settings_.most_of_a_life) {
        runs.erase(runs.begin());
    }
    runs.push_back(ended);
}

bool broken_runs::has_broken(const target_life& life) const {
    const auto found = lives_.find(life);
    return found != lives_.end() && std::any_of(found->second.begin(), found->second.end(),
                                                [](const run& each) { return each.broke; });
}

std::vector<target_life> broken_runs::broken_lives(std::string_view target) const {
    std::vector<target_life> found;
    for (const auto& [life, runs] : lives_) {
        if (life.target == target && has_broken(life)) {
            found.push_back(life);
        }
    }
    return found;
}

std::vector<digest> broken_runs::take_ended(const target_life& life) {
    const auto found = lives_.find(life);
    if (found == lives_.end()) {
        return {};
    }
    const std::vector<run> runs = std::move(found->second);
    lives_.erase(found);
    const auto last_break =
        std::find_if(runs.rbegin(), runs.rend(), [](const run& each) { return each.broke; });
    if (last_break == runs.rend()) {
        return {};
    }
    // All that is under way breaks off in the moment of the end; what broke long before did so for
    // another reason.
    const instant at_work_since = last_break->ended - settings_.still_at_work;
    std::set<digest> under_way;
    for (const run& each : runs) {
        if (each.ended >= at_work_since) {
            under_way.insert(each.request);
        }
    }
    return {under_way.begin(), under_way.end()};
}

void broken_runs::forget_old(instant now) {
    for (auto& [life, runs] : lives_) {
        std::erase_if(runs, [&](const run& each) { return now - each.ended > settings_.memory; });
    }
    std::erase_if(lives_, [](const auto& each) { return each.second.empty(); });
}

}  // namespace wrenswitch
