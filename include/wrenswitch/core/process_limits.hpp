#pragma once

#include <cstddef>

namespace wrenswitch {

/// What a process may use of its host.
struct process_limits {
    /// Memory in bytes, with what its sockets hold unread.
    std::size_t memory_bytes = 256'000'000;
    /// Open descriptors.
    std::size_t descriptors = 4096;
};

}  // namespace wrenswitch
