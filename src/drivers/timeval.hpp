#pragma once

#include <sys/time.h>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// A length of time as libevent takes it.
inline timeval to_timeval(microseconds length) {
    constexpr std::int64_t microseconds_a_second = 1'000'000;
    return {length.count() / microseconds_a_second, length.count() % microseconds_a_second};
}

}  // namespace wrenswitch
