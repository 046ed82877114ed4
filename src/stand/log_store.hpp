#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace wrenswitch::stand {

/// The records of one stream, with those that expired cut off at the front.
class stream_store {
public:
    /// Appends a record and returns its offset. Offsets start at 1.
    std::uint64_t append(std::string data);

    /// Forgets the oldest records, so that at most this many remain.
    void keep_only(std::size_t records);

    std::uint64_t first_offset() const { return first_; }
    std::uint64_t end_offset() const { return first_ + records_.size(); }

    /// The record at an offset that is kept.
    const std::string& at(std::uint64_t offset) const { return records_.at(offset - first_); }

private:
    std::uint64_t first_ = 1;
    std::deque<std::string> records_;
};

/// All streams of the stand-in's log. A stream exists from its first use on.
class log_store {
public:
    stream_store& stream(std::string_view name);
    const std::map<std::string, stream_store, std::less<>>& streams() const { return streams_; }

private:
    std::map<std::string, stream_store, std::less<>> streams_;
};

}  // namespace wrenswitch::stand
