#pragma once

#include <cstdint>
#include <cstdlib>

namespace wrenswitch::testing {

/// A number from the environment of a soak run, or the fallback if it is not set.
inline std::uint64_t from_environment(const char* name, std::uint64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}  // namespace wrenswitch::testing
