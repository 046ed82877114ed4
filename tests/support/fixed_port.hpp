#pragma once

#include <unistd.h>

#include <cstdint>

#include "support/raw_socket.hpp"

namespace wrenswitch::testing {

/// A free port below those that the system gives to connections, so that none of these takes it
/// before a process that a test starts does, or while that process is started anew. Each test
/// process keeps to ports of its own and uses them again in turn: beside others it would else take
/// the port of a process that another test has just killed and can then never start again.
inline std::uint16_t fixed_port() {
    constexpr int first = 20'000;
    constexpr int processes = 160;
    constexpr int ports_a_process = 75;
    static const int own = first + ::getpid() % processes * ports_a_process;
    static int used = 0;
    const auto next = [] { return static_cast<std::uint16_t>(own + used++ % ports_a_process); };
    std::uint16_t port = next();
    while (raw_socket::listen(port).port() != port) {
        port = next();
    }
    return port;
}

}  // namespace wrenswitch::testing
