#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace wrenswitch {

/// One life of a target: a run of its process.
struct target_life {
    std::string target;
    /// When the process started, in Unix milliseconds by its own clock; zero if it doesn't say.
    std::int64_t started = 0;

    friend bool operator==(const target_life&, const target_life&) = default;
    friend bool operator<(const target_life& left, const target_life& right) {
        return std::tie(left.target, left.started) < std::tie(right.target, right.started);
    }
};

}  // namespace wrenswitch
