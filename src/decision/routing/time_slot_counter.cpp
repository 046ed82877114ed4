#include "wrenswitch/decision/routing/time_slot_counter.hpp"

#include <algorithm>

namespace wrenswitch {

void time_slot_counter::add(std::int64_t slot) {
    const std::int64_t advanced = std::min(slot - newest_, capacity);
    for (std::int64_t step = 1; step <= advanced; ++step) {
        counts_[static_cast<std::size_t>((newest_ + step) % capacity)] = 0;
    }
    newest_ = std::max(newest_, slot);
    counts_[static_cast<std::size_t>(newest_ % capacity)] += 1;
}

std::uint32_t time_slot_counter::count_at(std::int64_t slot) const {
    const bool is_stored = slot >= 0 && slot <= newest_ && slot > newest_ - capacity;
    return is_stored ? counts_[static_cast<std::size_t>(slot % capacity)] : 0;
}

}  // namespace wrenswitch
