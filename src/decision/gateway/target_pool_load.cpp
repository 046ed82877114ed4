#include <algorithm>
#include <cmath>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace wrenswitch {
namespace {

/// The weight of one response in a target's failure rate.
constexpr double failure_weight = 0.15;

/// Half-life of the failure rate: about as long as a disturbance of a target lasts.
constexpr microseconds failure_half_life = seconds(4);

/// Cost of a target that fails all its requests, in units of a fully loaded target.
constexpr double failure_cost = 3.0;

}  // namespace

double target_pool::occupancy(const target_state& state, instant now) const {
    const double own = state.in_flight;
    const bool fresh =
        state.reported_at != instant{} && now - state.reported_at < settings_.report_lifetime;
    if (!fresh) {
        return own;
    }
    return std::max(own, static_cast<double>(state.load.running + state.load.queued));
}

double target_pool::direct_cost(const target_state& state, instant now) const {
    const bool other_domain = state.target.failure_domain != settings_.failure_domain;
    const double slots = std::max(1U, state.target.slots);
    return occupancy(state, now) / slots + failure_cost * failure_rate(state, now) +
           (other_domain ? settings_.other_domain_cost : 0.0) +
           (is_in_other_region(state) ? settings_.other_region_cost : 0.0);
}

void target_pool::on_sent(std::string_view id) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.in_flight += 1;
    }
}

void target_pool::on_finished(std::string_view id) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.in_flight -= found->second.in_flight > 0 ? 1 : 0;
    }
}

void target_pool::on_load_report(instant now, std::string_view id, const load_report& load) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.load = load;
        found->second.reported_at = now;
    }
}

void target_pool::on_failure(instant now, std::string_view id) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    target_state& state = found->second;
    const unsigned doublings = std::min(state.consecutive_failures, 5U);
    const microseconds length = settings_.first_ejection * (1U << doublings);
    state.ejected_until = now + std::min(length, settings_.max_ejection);
    state.consecutive_failures += 1;
    record_outcome(state, now, false);
}

void target_pool::on_unresponsive(instant now, std::string_view id) {
    on_failure(now, id);
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.unresponsive = true;
    }
}

void target_pool::on_response(instant now, std::string_view id, bool succeeded) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return;
    }
    found->second.unresponsive = false;
    record_outcome(found->second, now, succeeded);
    if (succeeded) {
        found->second.consecutive_failures = 0;
    }
}

/// Failures decay with age, so that a target that is avoided because of them is tried again.
double target_pool::failure_rate(const target_state& state, instant now) {
    const double age = std::chrono::duration<double>(now - state.failure_rate_at).count();
    return state.failure_rate *
           std::exp2(-age / std::chrono::duration<double>(failure_half_life).count());
}

void target_pool::record_outcome(target_state& state, instant now, bool succeeded) {
    const double before = failure_rate(state, now);
    state.failure_rate = before + failure_weight * ((succeeded ? 0.0 : 1.0) - before);
    state.failure_rate_at = now;
}

}  // namespace wrenswitch
