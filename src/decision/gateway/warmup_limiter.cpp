#include "wrenswitch/decision/gateway/warmup_limiter.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wrenswitch {
namespace {

/// Fractions of a cold engine's warm-up rate: what the engine's coordinator issues, and what all
/// gateways that can't reach it share in addition. Together this is slightly more than the rate,
/// and less than twice the rate even while the membership changes and two gateways coordinate the
/// same engine. After the loss of all processes every engine is cold; 48 engines then accept 415
/// requests per second, while 330 arrive.
constexpr double coordinator_fraction = 0.9;
constexpr double fallback_fraction = 0.15;

/// Fraction of the warm-up rate that all gateways share at a cold target that every gateway chooses
/// by itself.
constexpr double equal_fraction = 0.8;

/// A delay longer than any request waits.
constexpr microseconds no_permit = std::chrono::hours(1);

}  // namespace

warmup_limiter::warmup_limiter(std::function<std::size_t()> gateway_count, random_source& random)
    : gateway_count_(std::move(gateway_count)),
      known_gateway_count_(gateway_count_ ? gateway_count_() : 1),
      random_(random) {}

void warmup_limiter::refresh_gateway_count(instant now) {
    const std::size_t gateway_count = gateway_count_ ? gateway_count_() : 1;
    if (gateway_count == 0) {
        return;
    }
    const bool first_known = std::exchange(known_gateway_count_, gateway_count) == 0;
    if (!first_known) {
        return;
    }
    for (auto& [target, state] : targets_) {
        defer_permits(now, state, permit_share::fallback);
        defer_permits(now, state, permit_share::equal);
    }
}

void warmup_limiter::set_warmup(instant now, const std::string& service,
                                const target_warmup& warmup) {
    target_warmup& known = warmups_[service];
    if (known == warmup) {
        return;
    }
    known = warmup;
    for (auto& [target, state] : targets_) {
        for (const permit_share share : permit_shares) {
            if (state.service == service) {
                defer_permits(now, state, share);
            }
        }
    }
}

microseconds warmup_limiter::warmup_duration(std::string_view service) const {
    const auto warmup = warmups_.find(service);
    return warmup == warmups_.end() ? microseconds(0) : warmup->second.duration;
}

void warmup_limiter::mark_cold(instant now, std::string_view target, std::string_view service,
                               microseconds remaining) {
    if (remaining <= microseconds(0)) {
        return;
    }
    target_state& state = targets_[std::string(target)];
    state.service = service;
    for (const permit_share share : permit_shares) {
        state.pacers[index_of(share)].begin(now, now + remaining,
                                            first_permit_delay(service, share));
    }
}

void warmup_limiter::forget(std::string_view target) {
    const auto found = targets_.find(target);
    if (found != targets_.end()) {
        targets_.erase(found);
    }
}

bool warmup_limiter::is_cold(instant now, std::string_view target) const {
    const auto found = targets_.find(target);
    return found != targets_.end() && found->second.pacers.front().is_cold(now);
}

/// The time between two of the share's permits. Zero if there is no limit.
microseconds warmup_limiter::interval(std::string_view service, permit_share share) const {
    const auto warmup = warmups_.find(service);
    const double rate = warmup == warmups_.end() ? 0.0 : warmup->second.max_requests_per_second;
    if (rate <= 0.0) {
        return microseconds(0);
    }
    constexpr double microseconds_a_second = 1e6;
    const double full_interval = microseconds_a_second / rate;
    if (share == permit_share::coordinator) {
        return microseconds(std::llround(full_interval / coordinator_fraction));
    }
    const std::size_t gateway_count = std::max<std::size_t>(1, known_gateway_count_);
    const double fraction = share == permit_share::equal ? equal_fraction : fallback_fraction;
    return microseconds(
        std::llround(full_interval / fraction * static_cast<double>(gateway_count)));
}

/// The delay of the share's first permit. Gateways learn of a cold target at about the same time:
/// if the first permits of all of them were due in less than one interval, they would send several
/// times their share.
microseconds warmup_limiter::first_permit_delay(std::string_view service, permit_share share) {
    const microseconds full_interval = interval(service, share);
    if (share == permit_share::coordinator) {
        return full_interval;
    }
    return microseconds(std::llround(static_cast<double>(full_interval.count()) * random_.unit()));
}

void warmup_limiter::defer_permits(instant now, target_state& state, permit_share share) {
    warmup_pacer& pacer = state.pacers[index_of(share)];
    if (pacer.is_cold(now)) {
        pacer.defer(now, first_permit_delay(state.service, share));
    }
}

microseconds warmup_limiter::delay(instant now, std::string_view target, permit_share share) const {
    const auto found = targets_.find(target);
    if (found == targets_.end() || interval(found->second.service, share) <= microseconds(0)) {
        return microseconds(0);
    }
    if (known_gateway_count_ == 0 && share != permit_share::coordinator && is_cold(now, target)) {
        return no_permit;
    }
    return found->second.pacers[index_of(share)].delay(now);
}

microseconds warmup_limiter::reserve(instant now, std::string_view target, permit_share share) {
    const microseconds delay_until_due = delay(now, target, share);
    const auto found = targets_.find(target);
    if (found != targets_.end()) {
        target_state& state = found->second;
        state.pacers[index_of(share)].reserve(now, interval(state.service, share));
    }
    return delay_until_due;
}

void warmup_limiter::defer_permits(instant now) {
    for (auto& [target, state] : targets_) {
        defer_permits(now, state, permit_share::coordinator);
    }
}

}  // namespace wrenswitch
