#pragma once

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <utility>

namespace wrenswitch {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A point on a monotonic time scale of one process, in microseconds. Decision code is handed the
/// time and never reads a clock, so that tests and experiments can run in virtual time. Instants of
/// two processes must not be compared.
using instant = std::chrono::time_point<std::chrono::steady_clock, microseconds>;

/// The present instant on the process's monotonic clock.
inline instant monotonic_now() {
    return std::chrono::time_point_cast<microseconds>(std::chrono::steady_clock::now());
}

/// The wall clock in Unix milliseconds, for times that other hosts read. It may be stepped.
inline std::int64_t unix_milliseconds_now() {
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// A length of time as a number of seconds.
constexpr double as_seconds(microseconds length) {
    constexpr double microseconds_a_second = 1e6;
    return static_cast<double>(length.count()) / microseconds_a_second;
}

/// Longer than any time that a process handles, about a hundred years. Lengths of time from outside
/// are cut down to it, so that sums of them and instants can't overflow.
constexpr microseconds max_duration = std::chrono::hours(24 * 365 * 100);

/// A number of seconds as a length of time, `max_duration` at the most in either direction. What is
/// no number is zero.
constexpr microseconds from_seconds(double length) {
    constexpr double most = 24.0 * 365.0 * 100.0 * 3600.0;
    if (length != length) {
        return microseconds(0);
    }
    return std::chrono::duration_cast<microseconds>(
        std::chrono::duration<double>(std::clamp(length, -most, most)));
}

/// A number of milliseconds that another process sent, as a length of time between `least` and
/// `max_duration`.
template <std::integral Integer>
constexpr microseconds bounded_milliseconds(Integer count, microseconds least = microseconds(0)) {
    const auto clamped = [](auto value, std::int64_t low, std::int64_t high) {
        return std::cmp_less(value, low)       ? low
               : std::cmp_greater(value, high) ? high
                                               : static_cast<std::int64_t>(value);
    };
    const auto whole = [](microseconds length) {
        return std::chrono::duration_cast<milliseconds>(length).count();
    };
    return milliseconds(clamped(count, whole(least), whole(max_duration)));
}

/// A length of time as a number of milliseconds.
constexpr double as_milliseconds(microseconds length) {
    constexpr double microseconds_a_millisecond = 1e3;
    return static_cast<double>(length.count()) / microseconds_a_millisecond;
}

/// A length of time in whole milliseconds, as logs and messages have it.
inline std::string millis_text(microseconds length) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(length).count());
}

}  // namespace wrenswitch
