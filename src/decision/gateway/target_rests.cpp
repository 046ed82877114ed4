#include "wrenswitch/decision/gateway/target_rests.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// Over which part of a rest the ends are spread, and over how long at the most.
constexpr double spread_part = 0.25;
constexpr microseconds longest_spread = seconds(2);

}  // namespace

void target_rests::ask(instant now, std::string_view target, microseconds length) {
    if (length <= microseconds(0)) {
        return;
    }
    const double part = spread_part * random_.unit() * static_cast<double>(length.count());
    const microseconds spread = std::min(longest_spread, microseconds(std::llround(part)));
    const auto [found, is_new] = until_.try_emplace(std::string(target));
    found->second = std::max(found->second, now + length + spread);
}

microseconds target_rests::left(instant now, std::string_view target) const {
    const auto found = until_.find(target);
    return found == until_.end() ? microseconds(0) : std::max(microseconds(0), found->second - now);
}

void target_rests::forget(std::string_view target) {
    const auto found = until_.find(target);
    if (found != until_.end()) {
        until_.erase(found);
    }
}

std::size_t target_rests::size(instant now) const {
    return static_cast<std::size_t>(std::count_if(
        until_.begin(), until_.end(), [now](const auto& each) { return each.second > now; }));
}

}  // namespace wrenswitch
