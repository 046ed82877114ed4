#pragma once

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "support/raw_socket.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch::testing {

/// A target whose answers don't end: it sends a beginning, and then the same bytes again and again,
/// as fast as they are taken, until its peer closes the connection.
class endless_target {
public:
    /// What is sent for a request with this head. Without `repeated` the answer ends, and the
    /// connection with it if `ends_connection` is set.
    struct answer {
        std::string beginning;
        std::string repeated;
        bool ends_connection = false;
    };

    endless_target(event_loop& loop, std::function<answer(const std::string& head)> answers)
        : answers_(std::move(answers)),
          timer_(loop.call_every(milliseconds(1), [this] { turn(); })) {}

    std::uint16_t port() const { return listener_.port(); }

    /// Connections that its peers have not closed.
    std::size_t connections() const { return connections_.size(); }

    /// Requests that have come.
    std::size_t requests() const { return requests_; }

private:
    struct connection {
        raw_socket socket;
        std::string repeated;
        bool answers = false;
    };

    static constexpr std::size_t bytes_per_turn = 256U * 1024U;

    void turn() {
        for (raw_socket next = listener_.accept(); next.open(); next = listener_.accept()) {
            connections_.push_back({std::move(next), {}, false});
        }
        std::erase_if(connections_, [this](connection& each) { return !serve(each); });
    }

    /// False once the peer has closed the connection.
    bool serve(connection& each) {
        if (each.socket.ended()) {
            return false;
        }
        if (!each.answers && each.socket.received().find("\r\n\r\n") != std::string::npos) {
            const answer wanted = answers_(each.socket.received());
            each.answers = true;
            each.repeated = wanted.repeated;
            each.socket.send(wanted.beginning);
            each.socket.forget_received();
            requests_ += 1;
            if (wanted.repeated.empty()) {
                each.answers = false;
            }
            if (wanted.ends_connection) {
                return false;
            }
        }
        if (each.answers) {
            std::string bytes;
            while (bytes.size() < bytes_per_turn) {
                bytes += each.repeated;
            }
            // What isn't taken is lost, which changes nothing about the bytes' kind.
            each.socket.send(bytes);
        }
        return true;
    }

    std::function<answer(const std::string&)> answers_;
    raw_socket listener_ = raw_socket::listen();
    std::vector<connection> connections_;
    std::size_t requests_ = 0;
    std::unique_ptr<timer> timer_;
};

}  // namespace wrenswitch::testing
