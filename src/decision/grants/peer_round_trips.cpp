#include "wrenswitch/decision/grants/peer_round_trips.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {
namespace {

/// The weight of a sample is 1/8, as is usual for round trip estimates.
constexpr int smoothing_divisor = 8;

/// The upper bound of an estimate. Request objectives are some hundreds of ms, and a host that
/// takes longer than this is failing rather than distant.
constexpr microseconds max_round_trip = milliseconds(400);

}  // namespace

peer_round_trips::peer_round_trips(std::string own_region, microseconds initial)
    : own_region_(std::move(own_region)), initial_(initial) {}

bool peer_round_trips::is_remote(std::string_view region) const {
    return !own_region_.empty() && !region.empty() && region != own_region_;
}

microseconds peer_round_trips::round_trip(std::string_view host, std::string_view region) const {
    if (!is_remote(region)) {
        return {};
    }
    const auto known = measured_.find(host);
    return known == measured_.end() ? initial_ : known->second;
}

void peer_round_trips::observe(std::string_view host, std::string_view region,
                               microseconds elapsed) {
    if (!is_remote(region)) {
        return;
    }
    const microseconds sample = std::clamp(elapsed, microseconds(0), max_round_trip);
    const auto [known, is_first] = measured_.try_emplace(std::string(host), sample);
    if (!is_first) {
        known->second += (sample - known->second) / smoothing_divisor;
    }
}

void peer_round_trips::remove(std::string_view host) {
    const auto known = measured_.find(host);
    if (known != measured_.end()) {
        measured_.erase(known);
    }
}

}  // namespace wrenswitch
