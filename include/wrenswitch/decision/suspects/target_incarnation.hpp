#pragma once

#include <cstdint>
#include <string>
#include <tuple>

namespace wrenswitch {

/// One incarnation of a target: the lifetime of one process.
struct target_incarnation {
    std::string target;
    /// Start time of the process in Unix milliseconds by its own clock; zero if not reported.
    std::int64_t started = 0;

    friend bool operator==(const target_incarnation&, const target_incarnation&) = default;
    friend bool operator<(const target_incarnation& left, const target_incarnation& right) {
        return std::tie(left.target, left.started) < std::tie(right.target, right.started);
    }
};

}  // namespace wrenswitch
