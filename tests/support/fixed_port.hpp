#pragma once

#include <unistd.h>

#include <cstdint>
#include <stdexcept>
#include <utility>
#include <vector>

#include "support/raw_socket.hpp"

namespace wrenswitch::testing {

/// Hands out ports below those that the system gives to connections, in blocks that belong to one
/// test process until it ends. The first port of a block is listened at for that long, and another
/// process that finds it taken goes on to the next block. The other ports of a block stay free of
/// other tests also while the process that uses them is dead and is to be started anew.
class port_blocks {
public:
    static constexpr int block_count = 240;

    explicit port_blocks(int first_block) : next_block_(first_block) {}

    /// A port that nobody uses and that is handed out once.
    std::uint16_t next() {
        while (true) {
            if (next_port_ == end_port_) {
                claim_block();
            }
            const int port = next_port_++;
            if (is_free(port)) {
                return static_cast<std::uint16_t>(port);
            }
        }
    }

private:
    static constexpr int first_port = 20'000;
    static constexpr int ports_in_block = 50;

    static bool is_free(int port) {
        return raw_socket::listen(static_cast<std::uint16_t>(port)).port() == port;
    }

    void claim_block() {
        for (int tried = 0; tried < block_count; ++tried) {
            const int port = first_port + next_block_++ % block_count * ports_in_block;
            raw_socket claim = raw_socket::listen(static_cast<std::uint16_t>(port));
            if (claim.port() == port) {
                claims_.push_back(std::move(claim));
                next_port_ = port + 1;
                end_port_ = port + ports_in_block;
                return;
            }
        }
        throw std::runtime_error("All blocks of ports are taken.");
    }

    /// The sockets that hold the blocks of this process.
    std::vector<raw_socket> claims_;
    int next_block_;
    int next_port_ = 0;
    int end_port_ = 0;
};

/// A port for a process that this test process starts.
inline std::uint16_t fixed_port() {
    static port_blocks blocks(::getpid() % port_blocks::block_count);
    return blocks.next();
}

}  // namespace wrenswitch::testing
