#pragma once

#include <algorithm>
#include <cstddef>
#include <string>

namespace wrenswitch {

/// Bodies of more than this get all the address space that they can need at once: the system backs
/// it with memory as it is written, and no growth copies them.
constexpr std::size_t large_body_bytes = 128U * 1024U;

/// The most address space that a body gets ahead. Larger ones are copied as they grow.
constexpr std::size_t max_reserved_bytes = 64U * 1024U * 1024U;

/// Makes room for `length` bytes in a body that won't exceed `most`.
inline void reserve_large_body(std::string& body, std::size_t length, std::size_t most) {
    if (length > large_body_bytes && length > body.capacity()) {
        body.reserve(std::max(length, std::min(most, max_reserved_bytes)));
    }
}

/// Empties a body and frees its memory, which an assignment would keep.
inline void free_body(std::string& body) {
    std::string().swap(body);
}

/// The memory that backs a body.
inline std::size_t backed_bytes(const std::string& body) {
    return body.capacity() > large_body_bytes ? body.size() : body.capacity();
}

}  // namespace wrenswitch
