#include "wrenswitch/drivers/snapshot_chunks.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// Small enough for any log service's limit on records.
constexpr std::size_t chunk_bytes = 256U * 1024U;

/// Snapshots of which only a part came are remembered up to this number.
constexpr std::size_t most_partials = 8;

}  // namespace

std::vector<snapshot_chunk> cut_snapshot(std::uint64_t snapshot, log_offset as_of,
                                         std::string_view data) {
    const std::size_t pieces =
        std::max<std::size_t>((data.size() + chunk_bytes - 1) / chunk_bytes, 1);
    std::vector<snapshot_chunk> chunks;
    for (std::size_t index = 0; index < pieces; ++index) {
        chunks.push_back({snapshot, static_cast<std::uint32_t>(index),
                          static_cast<std::uint32_t>(pieces), as_of,
                          std::string(data.substr(index * chunk_bytes, chunk_bytes))});
    }
    return chunks;
}

bool snapshot_assembler::add(const snapshot_chunk& chunk) {
    const bool valid = chunk.count > 0 && chunk.index < chunk.count;
    const bool older = best_.has_value() && chunk.as_of <= best_->as_of;
    if (!valid || older) {
        return false;
    }
    if (partials_.size() >= most_partials && partials_.count(chunk.snapshot) == 0) {
        partials_.erase(std::min_element(partials_.begin(), partials_.end(),
                                         [](const auto& left, const auto& right) {
                                             return left.second.as_of < right.second.as_of;
                                         }));
    }
    partial& known = partials_[chunk.snapshot];
    if (known.count == 0) {
        known.as_of = chunk.as_of;
        known.count = chunk.count;
    }
    const bool same_snapshot = known.as_of == chunk.as_of && known.count == chunk.count;
    if (!same_snapshot) {
        return false;
    }
    known.pieces[chunk.index] = chunk.data;
    if (known.pieces.size() < known.count) {
        return false;
    }
    snapshot_image whole;
    whole.as_of = known.as_of;
    for (const auto& [index, piece] : known.pieces) {
        whole.data += piece;
    }
    best_ = std::move(whole);
    partials_.erase(chunk.snapshot);
    return true;
}

}  // namespace wrenswitch
