#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>

#include "wrenswitch/drivers/keyed_log.hpp"

namespace wrenswitch {

/// The latest records of one log without gaps, as a process read them from the store.
class log_window {
public:
    using iterator = std::deque<keyed_record>::const_iterator;

    /// Keeps records of up to this many bytes of keys and values.
    explicit log_window(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Drops all records. The next ones begin at an offset of a generation of the store.
    void restart(std::uint64_t generation, std::uint64_t offset);

    /// Adds records that were read from an offset on. Those in the window are skipped; a gap or
    /// another generation restarts the window.
    void add(std::uint64_t generation, std::uint64_t from, std::span<const keyed_record> records);

    std::uint64_t generation() const { return generation_; }

    /// The offset of the first record.
    std::uint64_t first() const { return first_; }

    /// The offset behind the last record.
    std::uint64_t end() const { return first_ + records_.size(); }

    /// The record at an offset between first() and end(), and the iterator behind the last record.
    iterator at(std::uint64_t offset) const;
    iterator behind_last() const { return records_.end(); }

private:
    void drop_oldest();

    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    std::uint64_t generation_ = 0;
    std::uint64_t first_ = 0;
    std::deque<keyed_record> records_;
};

/// The bytes of a record's key and value.
std::size_t payload_bytes(const keyed_record& record);

}  // namespace wrenswitch
