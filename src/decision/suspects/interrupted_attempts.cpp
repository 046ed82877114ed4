#include "wrenswitch/decision/suspects/interrupted_attempts.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace wrenswitch {

void interrupted_attempts::record_interrupted(instant now, const target_incarnation& incarnation,
                                              std::span<const digest> fingerprints) {
    add(incarnation,
        {{fingerprints.begin(), fingerprints.end()}, now, attempt_end::interrupted, {}});
}

void interrupted_attempts::record_cancelled(instant now, const target_incarnation& incarnation,
                                            std::span<const digest> fingerprints) {
    add(incarnation, {{fingerprints.begin(), fingerprints.end()}, now, attempt_end::cancelled, {}});
}

void interrupted_attempts::record_unconfirmed(instant now, const target_incarnation& incarnation,
                                              unconfirmed_response response) {
    add(incarnation,
        {std::move(response.fingerprints), now, attempt_end::unconfirmed, response.began});
}

std::vector<unconfirmed_response> interrupted_attempts::take_unconfirmed(
    const target_incarnation& incarnation) {
    std::vector<unconfirmed_response> taken;
    const auto found = attempts_by_incarnation_.find(incarnation);
    if (found == attempts_by_incarnation_.end()) {
        return taken;
    }
    for (attempt& each : found->second) {
        if (each.end == attempt_end::unconfirmed) {
            taken.push_back({std::move(each.fingerprints), each.began});
        }
    }
    std::erase_if(found->second,
                  [](const attempt& each) { return each.end == attempt_end::unconfirmed; });
    if (found->second.empty()) {
        attempts_by_incarnation_.erase(found);
    }
    return taken;
}

std::vector<unconfirmed_response> interrupted_attempts::discard(
    const target_incarnation& incarnation) {
    std::vector<unconfirmed_response> confirmed = take_unconfirmed(incarnation);
    attempts_by_incarnation_.erase(incarnation);
    return confirmed;
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
                       [](const attempt& each) { return each.end != attempt_end::cancelled; });
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
    const auto last_end = std::find_if(attempts.rbegin(), attempts.rend(), [](const attempt& each) {
        return each.end != attempt_end::cancelled;
    });
    if (last_end == attempts.rend()) {
        return {};
    }
    std::set<digest> in_flight;
    for (const attempt& each : attempts) {
        if (was_in_flight(each, last_end->ended)) {
            in_flight.insert(each.fingerprints.begin(), each.fingerprints.end());
        }
    }
    return {in_flight.begin(), in_flight.end()};
}

/// A crash interrupts all requests in flight at the same moment; earlier ends had another cause.
bool interrupted_attempts::was_in_flight(const attempt& each, instant crashed) const {
    const microseconds window = each.end == attempt_end::unconfirmed
                                    ? settings_.simultaneous_end_time
                                    : settings_.cancelled_in_flight_time;
    return crashed - each.ended <= window;
}

void interrupted_attempts::discard_expired(instant now) {
    for (auto& [incarnation, attempts] : attempts_by_incarnation_) {
        std::erase_if(attempts,
                      [&](const attempt& each) { return now - each.ended > settings_.retention; });
    }
    std::erase_if(attempts_by_incarnation_, [](const auto& each) { return each.second.empty(); });
}

}  // namespace wrenswitch
