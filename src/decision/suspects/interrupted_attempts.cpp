#include "wrenswitch/decision/suspects/interrupted_attempts.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace wrenswitch {

void interrupted_attempts::record_interrupted(instant now, const target_incarnation& incarnation,
                                              std::span<const digest> suspects) {
    add(incarnation, {{suspects.begin(), suspects.end()}, now, true});
}

void interrupted_attempts::record_cancelled(instant now, const target_incarnation& incarnation,
                                            std::span<const digest> suspects) {
    add(incarnation, {{suspects.begin(), suspects.end()}, now, false});
}

void interrupted_attempts::add(const target_incarnation& incarnation, attempt ended) {
    std::vector<attempt>& attempts = attempts_by_incarnation_[incarnation];
    if (attempts.size() >= settings_.max_per_incarnation) {
        attempts.erase(attempts.begin());
    }
    attempts.push_back(std::move(ended));
}

bool interrupted_attempts::has_interrupted(const target_incarnation& incarnation) const {
    const auto found = attempts_by_incarnation_.find(incarnation);
    return found != attempts_by_incarnation_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [](const attempt& each) { return each.interrupted; });
}

std::vector<target_incarnation> interrupted_attempts::interrupted_incarnations(
    std::string_view target) const {
    std::vector<target_incarnation> found;
    for (const auto& [incarnation, attempts] : attempts_by_incarnation_) {
        if (incarnation.target == target && has_interrupted(incarnation)) {
            found.push_back(incarnation);
        }
    }
    return found;
}

std::vector<digest> interrupted_attempts::take_in_flight(const target_incarnation& incarnation) {
    const auto found = attempts_by_incarnation_.find(incarnation);
    if (found == attempts_by_incarnation_.end()) {
        return {};
    }
    const std::vector<attempt> attempts = std::move(found->second);
    attempts_by_incarnation_.erase(found);
    const auto last_interruption = std::find_if(
        attempts.rbegin(), attempts.rend(), [](const attempt& each) { return each.interrupted; });
    if (last_interruption == attempts.rend()) {
        return {};
    }
    // A crash interrupts all requests in flight at the same moment; earlier interruptions had
    // another cause.
    const instant in_flight_since = last_interruption->ended - settings_.cancelled_in_flight_time;
    std::set<digest> in_flight;
    for (const attempt& each : attempts) {
        if (each.ended >= in_flight_since) {
            in_flight.insert(each.suspects.begin(), each.suspects.end());
        }
    }
    return {in_flight.begin(), in_flight.end()};
}

void interrupted_attempts::discard_expired(instant now) {
    for (auto& [incarnation, attempts] : attempts_by_incarnation_) {
        std::erase_if(attempts,
                      [&](const attempt& each) { return now - each.ended > settings_.retention; });
    }
    std::erase_if(attempts_by_incarnation_, [](const auto& each) { return each.second.empty(); });
}

}  // namespace wrenswitch
