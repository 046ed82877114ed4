#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace wrenswitch {

/// Lines on their way to a file descriptor that may have a slow reader, or one that stands still.
class output_queue {
public:
    /// Keeps at most this many bytes.
    output_queue(int descriptor, std::size_t most_bytes)
        : descriptor_(descriptor), most_bytes_(most_bytes) {}

    /// Takes a line, or drops it if there is no room, and writes what can be written at once.
    void add(std::string line);

    /// Writes as much as the reader takes without waiting.
    void flush();

    std::uint64_t dropped() const { return dropped_; }

private:
    bool writable() const;

    int descriptor_;
    std::size_t most_bytes_;
    std::size_t bytes_ = 0;
    std::uint64_t dropped_ = 0;
    /// Dropped since the last line that said so.
    std::uint64_t unsaid_ = 0;
    std::deque<std::string> lines_;
};

}  // namespace wrenswitch
