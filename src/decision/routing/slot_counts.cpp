#include "wrenswitch/decision/routing/slot_counts.hpp"

#include <algorithm>

namespace wrenswitch {

void slot_counts::add(std::int64_t slot) {
    const std::int64_t passed = std::min(slot - newest_, kept);
    for (std::int64_t skipped = 1; skipped <= passed; ++skipped) {
        counts_[static_cast<std::size_t>((newest_ + skipped) % kept)] = 0;
    }
    newest_ = std::max(newest_, slot);
    counts_[static_cast<std::size_t>(newest_ % kept)] += 1;
}

std::uint32_t slot_counts::at(std::int64_t slot) const {
    const bool is_kept = slot >= 0 && slot <= newest_ && slot > newest_ - kept;
    return is_kept ? counts_[static_cast<std::size_t>(slot % kept)] : 0;
}

}  // namespace wrenswitch
