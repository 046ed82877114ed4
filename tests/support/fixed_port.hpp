#pragma once

#include <unistd.h>

#include <cstdint>

#include "support/raw_socket.hpp"

namespace wrenswitch::testing {

/// A free port below those that the system gives to connections, so that none of these takes it
/// before a process that a test starts does, or while that process is started anew. Each test
/// process begins at ports of its own, more than any of them uses: beside others it would else take
/// the port of a process that another test has just killed and can then never start again.
inline std::uint16_t fixed_port() {
    constexpr int first = 20'000;
    constexpr int processes = 60;
    constexpr int ports_a_process = 200;
    static int next = first + ::getpid() % processes * ports_a_process;
    while (raw_socket::listen(static_cast<std::uint16_t>(next)).port() != next) {
        next += 1;
    }
    return static_cast<std::uint16_t>(next++);
}

}  // namespace wrenswitch::testing
