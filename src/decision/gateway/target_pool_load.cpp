#include <algorithm>
#include <cmath>
#include <utility>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace wrenswitch {
namespace {

/// The weight of one response in a target's failure rate.
constexpr double failure_weight = 0.15;

/// Half-life of the failure rate: about as long as a disturbance of a target lasts.
constexpr microseconds failure_half_life = seconds(4);

/// Cost of a target that fails all its requests, in units of a fully loaded target.
constexpr double failure_cost = 3.0;

/// The service time assumed before any is known. Only ratios matter, so any value will do.
constexpr double default_service_ms = 30.0;

/// The weight from which a learnt service time counts as known, in responses.
constexpr double min_known_weight = 5.0;

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

/// Returns no value unless plain targets of the service have reported a slowdown. An unknown target
/// is assumed to be as fast as the fastest one, so that it is tried.
std::optional<target_pool::service_speed> target_pool::speed_of_service(
    instant now, std::string_view service) const {
    const auto traits = services_.find(service);
    if (traits == services_.end() || !traits->second.reports_slowdown ||
        traits->second.has_engines) {
        return std::nullopt;
    }
    service_speed speed{default_service_ms, 0.0};
    bool any_known = false;
    for (const auto& [id, state] : targets_) {
        if (state.target.service != service || state.speed.sample_weight(now) < min_known_weight) {
            continue;
        }
        const double known_ms = state.speed.average_ms();
        speed.assumed_ms = any_known ? std::min(speed.assumed_ms, known_ms) : known_ms;
        any_known = true;
    }
    double count = 0.0;
    for (const auto& [id, state] : targets_) {
        if (state.target.service == service) {
            speed.mean_ms += state.speed.service_ms(now, speed.assumed_ms);
            count += 1.0;
        }
    }
    speed.mean_ms /= std::max(1.0, count);
    return speed;
}

/// The cost of a target's load, in units of a fully loaded target. That is also the service's mean
/// service time, in which a target serves as many requests as it has slots.
double target_pool::load_cost(const target_state& state, instant now,
                              const std::optional<service_speed>& service) const {
    const unsigned slots = std::max(1U, state.target.slots);
    if (!service) {
        return occupancy(state, now) / slots;
    }
    return state.speed.expected_ms(now, service->assumed_ms, state.in_flight, slots) /
           service->mean_ms;
}

double target_pool::direct_cost(const target_state& state, instant now,
                                const std::optional<service_speed>& service) const {
    const bool other_domain = state.target.failure_domain != settings_.failure_domain;
    return load_cost(state, now, service) + failure_cost * failure_rate(state, now) +
           (other_domain ? settings_.other_domain_cost : 0.0) +
           (is_in_other_region(state) ? settings_.other_region_cost : 0.0);
}

void target_pool::on_sent(std::string_view id) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.in_flight += 1;
        found->second.speed.record_sent();
    }
}

void target_pool::on_finished(std::string_view id) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        found->second.in_flight -= found->second.in_flight > 0 ? 1 : 0;
    }
}

bool target_pool::on_load_report(instant now, std::string_view id, const load_report& load) {
    const auto found = targets_.find(id);
    if (found == targets_.end()) {
        return false;
    }
    target_state& state = found->second;
    state.load = load;
    state.reported_at = now;
    state.speed.record_load(now, load);
    if (!load.slowdown) {
        return false;
    }
    placer_.record_slowdown(now, id, *load.slowdown);
    return !std::exchange(services_[state.target.service].reports_slowdown, true);
}

/// The round trip to another region is no part of the service time; pick() adds it.
void target_pool::record_response_time(instant now, std::string_view id, microseconds time,
                                       const load_report& load) {
    const auto found = targets_.find(id);
    if (found != targets_.end()) {
        const bool is_far = is_in_other_region(found->second);
        found->second.speed.record_response(
            now, time - (is_far ? settings_.far_round_trip : microseconds(0)), load);
    }
}

void target_pool::record_peer_slowdown(instant now, std::string_view id, double factor) {
    if (!recent_slowdown(now, id)) {
        placer_.record_slowdown(now, id, factor);
    }
}

std::optional<double> target_pool::recent_slowdown(instant now, std::string_view id) const {
    const auto found = targets_.find(id);
    return found != targets_.end() && found->second.speed.has_recent_slowdown(now)
               ? std::optional(found->second.speed.slowdown(now))
               : std::nullopt;
}

double target_pool::slowdown_of(instant now, std::string_view id) const {
    const auto found = targets_.find(id);
    return found == targets_.end() ? 1.0 : found->second.speed.slowdown(now);
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
