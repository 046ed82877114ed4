#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "wrenswitch/drivers/keyed_log.hpp"

namespace wrenswitch {

/// Hashes of the records recently read from a log. They distinguish the records that a restored
/// store took from its copy from new records written at reused offsets.
class record_history {
public:
    void add(const keyed_record& record);

    /// True if an identical record was read at the same offset.
    bool contains(const keyed_record& record) const;

    /// Discards all records; offsets are valid only within one generation.
    void clear() { hashes_.clear(); }

private:
    /// Record hashes by offset.
    std::map<std::uint64_t, std::uint64_t> hashes_;
};

}  // namespace wrenswitch
