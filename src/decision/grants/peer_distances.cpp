#include "wrenswitch/decision/grants/peer_distances.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {
namespace {

/// One answer's part in what is learnt: the eighth that is usual for round trips.
constexpr int smoothing = 8;

/// No way is taken for longer: requests' aims are some hundreds of ms, and who takes longer than
/// this is in trouble, not far.
constexpr microseconds longest_way = milliseconds(400);

}  // namespace

peer_distances::peer_distances(std::string own_region, microseconds start)
    : own_region_(std::move(own_region)), start_(start) {}

bool peer_distances::is_far(std::string_view region) const {
    return !own_region_.empty() && !region.empty() && region != own_region_;
}

microseconds peer_distances::round_trip(std::string_view host, std::string_view region) const {
    if (!is_far(region)) {
        return {};
    }
    const auto known = learnt_.find(host);
    return known == learnt_.end() ? start_ : known->second;
}

void peer_distances::observe(std::string_view host, std::string_view region, microseconds took) {
    if (!is_far(region)) {
        return;
    }
    const microseconds seen = std::clamp(took, microseconds(0), longest_way);
    const auto [known, first] = learnt_.try_emplace(std::string(host), seen);
    if (!first) {
        known->second += (seen - known->second) / smoothing;
    }
}

void peer_distances::forget(std::string_view host) {
    const auto known = learnt_.find(host);
    if (known != learnt_.end()) {
        learnt_.erase(known);
    }
}

}  // namespace wrenswitch
