#include "wrenswitch/decision/gateway/warmup_pacer.hpp"

#include <algorithm>

namespace wrenswitch {

void warmup_pacer::begin(instant now, instant until, microseconds first_permit_delay) {
    if (!is_cold(now)) {
        next_permit_ = now + first_permit_delay;
    }
    cold_until_ = std::max(cold_until_, until);
}

void warmup_pacer::defer(instant now, microseconds first_permit_delay) {
    next_permit_ = std::max(next_permit_, now + first_permit_delay);
}

microseconds warmup_pacer::delay(instant now) const {
    return std::max(microseconds(0), std::min(next_permit_, cold_until_) - now);
}

void warmup_pacer::reserve(instant now, microseconds interval) {
    next_permit_ = std::max(next_permit_, now) + interval;
}

}  // namespace wrenswitch
