#pragma once

#include <cstdint>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// Decides when a reader of a stream writes a snapshot into it. Whoever notices the need waits for
/// a random while first, and waits on if somebody else has begun, so that mostly one writes.
class snapshot_schedule {
public:
    /// A snapshot is due when this many records came since the last one.
    explicit snapshot_schedule(std::uint64_t records) : records_(records) {}

    /// A chunk of a snapshot was read.
    void chunk_seen(instant now, log_offset as_of, bool last_chunk);

    /// True if this reader should write a snapshot of the state at this position now.
    bool due(instant now, log_offset position, random_source& random);

private:
    std::uint64_t records_;
    log_offset last_{};
    bool planned_ = false;
    instant when_{};
    instant quiet_until_{};
};

}  // namespace wrenswitch
