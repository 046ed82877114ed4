#pragma once

#include <cstdint>
#include <string>

namespace wrenswitch {

/// One life of a target: a run of its process.
struct target_life {
    std::string target;
    /// When the process started, in Unix milliseconds by its own clock; zero if it doesn't say.
    std::int64_t started = 0;

    friend bool operator==(const target_life&, const target_life&) = default;
    friend auto operator<=>(const target_life&, const target_life&) = default;
};

}  // namespace wrenswitch
