#include "wrenswitch/decision/gateway/target_backoffs.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// Backoffs end later by a random time of up to this fraction of their length, but no more than the
/// maximum.
constexpr double spread_fraction = 0.25;
constexpr microseconds max_spread = seconds(2);

}  // namespace

void target_backoffs::add(instant now, std::string_view target, microseconds length) {
    if (length <= microseconds(0)) {
        return;
    }
    const double random_spread =
        spread_fraction * random_.unit() * static_cast<double>(length.count());
    const microseconds spread = std::min(max_spread, microseconds(std::llround(random_spread)));
    const auto [found, is_new] = until_.try_emplace(std::string(target));
    found->second = std::max(found->second, now + length + spread);
}

microseconds target_backoffs::remaining(instant now, std::string_view target) const {
    const auto found = until_.find(target);
    return found == until_.end() ? microseconds(0) : std::max(microseconds(0), found->second - now);
}

void target_backoffs::forget(std::string_view target) {
    const auto found = until_.find(target);
    if (found != until_.end()) {
        until_.erase(found);
    }
}

std::size_t target_backoffs::active_count(instant now) const {
    return static_cast<std::size_t>(std::count_if(
        until_.begin(), until_.end(), [now](const auto& each) { return each.second > now; }));
}

}  // namespace wrenswitch
