#include "wrenswitch/drivers/snapshot_schedule.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

constexpr std::uint64_t longest_delay_ms = 5000;

/// How long a reader waits for a snapshot that somebody else has begun.
constexpr microseconds patience = seconds(30);

}  // namespace

void snapshot_schedule::chunk_seen(instant now, log_offset as_of, bool last_chunk) {
    quiet_until_ = now + patience;
    planned_ = false;
    if (last_chunk) {
        last_ = std::max(last_, as_of);
    }
}

bool snapshot_schedule::due(instant now, log_offset position, random_source& random) {
    const bool needed = raw(position) >= raw(last_) + records_;
    if (!needed || now < quiet_until_) {
        return false;
    }
    if (!planned_) {
        planned_ = true;
        when_ = now + milliseconds(random.below(longest_delay_ms));
        return false;
    }
    if (now < when_) {
        return false;
    }
    planned_ = false;
    quiet_until_ = now + patience;
    return true;
}

}  // namespace wrenswitch
