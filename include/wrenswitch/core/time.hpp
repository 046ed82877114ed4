#pragma once

#include <chrono>
#include <cstdint>
#include <string>

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

/// A number of seconds as a length of time.
constexpr microseconds from_seconds(double length) {
    return std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(length));
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
