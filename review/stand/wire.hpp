#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <utility>

namespace review {

/// How a client's connection is made.
struct wire_options {
    /// The receive buffer, in bytes. Zero leaves it to the system.
    int receive_buffer = 0;
    /// The largest segment, in bytes, as on an Ethernet link. Zero leaves it to the loopback
    /// device.
    int largest_segment = 0;
};

/// A client's TCP connection that never blocks and reads only when it is told to.
class wire {
public:
    wire() = default;
    ~wire() { close(); }
    wire(wire&& other) noexcept { *this = std::move(other); }
    wire& operator=(wire&& other) noexcept {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
        received_ = std::move(other.received_);
        ended_ = other.ended_;
        reset_ = other.reset_;
        return *this;
    }

    static wire connect(const std::string& host, std::uint16_t port, wire_options options = {}) {
        wire made;
        made.descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (options.receive_buffer > 0) {
            ::setsockopt(made.descriptor_, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer,
                         sizeof options.receive_buffer);
        }
        if (options.largest_segment > 0) {
            ::setsockopt(made.descriptor_, IPPROTO_TCP, TCP_MAXSEG, &options.largest_segment,
                         sizeof options.largest_segment);
        }
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        const bool connected =
            ::connect(made.descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        if (!connected) {
            made.close();
            made.ended_ = true;
            return made;
        }
        ::fcntl(made.descriptor_, F_SETFL, ::fcntl(made.descriptor_, F_GETFL, 0) | O_NONBLOCK);
        const int on = 1;
        ::setsockopt(made.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        return made;
    }

    bool open() const { return descriptor_ >= 0; }

    /// Returns how many of the bytes were taken.
    std::size_t send(std::string_view bytes) const {
        const auto sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }

    /// Reads up to so many bytes of what has come.
    void read(std::size_t most = std::string::npos) {
        char buffer[16384];
        while (most > 0 && descriptor_ >= 0 && !ended_) {
            const auto length = ::recv(descriptor_, buffer, std::min(most, sizeof buffer), 0);
            if (length > 0) {
                received_.append(buffer, static_cast<std::size_t>(length));
                most -= static_cast<std::size_t>(length);
                continue;
            }
            const bool nothing_yet = length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
            ended_ = !nothing_yet;
            reset_ = ended_ && length < 0;
            return;
        }
    }

    const std::string& received() const { return received_; }
    /// True once the peer's end, or a reset, was read.
    bool ended() const { return ended_; }
    bool was_reset() const { return reset_; }

    /// The status of the answer, or zero while its head isn't whole.
    unsigned status() const {
        const bool whole = received_.find("\r\n\r\n") != std::string::npos;
        return whole ? static_cast<unsigned>(std::atoi(received_.c_str() + 9)) : 0;
    }

    /// The bytes of the body that have come, chunks included.
    std::size_t body_bytes() const {
        const std::size_t end = received_.find("\r\n\r\n");
        return end == std::string::npos ? 0 : received_.size() - end - 4;
    }

    /// The value of a header of the answer.
    std::string header(const std::string& name) const {
        const std::size_t end = received_.find("\r\n\r\n");
        const std::size_t at = received_.find("\r\n" + name + ": ");
        if (end == std::string::npos || at == std::string::npos || at > end) {
            return {};
        }
        const std::size_t begin = at + name.size() + 4;
        return received_.substr(begin, received_.find("\r\n", begin) - begin);
    }

    /// True once an answer with a Content-Length is whole.
    bool complete() const {
        const std::string length = header("Content-Length");
        return !length.empty() && body_bytes() >= std::stoull(length);
    }

    void forget_received() { received_.clear(); }

    void close() {
        if (descriptor_ >= 0) {
            ::close(std::exchange(descriptor_, -1));
        }
    }

private:
    int descriptor_ = -1;
    std::string received_;
    bool ended_ = false;
    bool reset_ = false;
};

}  // namespace review
