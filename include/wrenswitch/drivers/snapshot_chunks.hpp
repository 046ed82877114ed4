#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/ids.hpp"

namespace wrenswitch {

/// One piece of a snapshot as it stands in a stream.
struct snapshot_chunk {
    std::uint64_t snapshot = 0;
    std::uint32_t index = 0;
    std::uint32_t count = 0;
    /// The snapshot holds the state after all records up to and with this offset.
    log_offset as_of{};
    std::string data;
};

/// A whole snapshot.
struct snapshot_image {
    log_offset as_of{};
    std::string data;
};

/// Cuts a snapshot into chunks that fit into records.
std::vector<snapshot_chunk> cut_snapshot(std::uint64_t snapshot, log_offset as_of,
                                         std::string_view data);

/// Puts chunks together again. Several writers may interleave and some may stop midway: only a
/// snapshot of which every chunk came counts, and the latest such one wins.
class snapshot_assembler {
public:
    /// Takes a chunk in. Returns true if it completed a snapshot newer than the best so far.
    bool add(const snapshot_chunk& chunk);

    /// The latest whole snapshot, if any.
    const std::optional<snapshot_image>& best() const { return best_; }

private:
    struct partial {
        log_offset as_of{};
        std::uint32_t count = 0;
        std::map<std::uint32_t, std::string> pieces;
    };

    std::map<std::uint64_t, partial> partials_;
    std::optional<snapshot_image> best_;
};

}  // namespace wrenswitch
