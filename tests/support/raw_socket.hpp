#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace wrenswitch::testing {

/// A bare TCP socket for tests that send what no library would. It never blocks.
class raw_socket {
public:
    explicit raw_socket(int descriptor = -1) : descriptor_(descriptor) {
        if (descriptor_ >= 0) {
            ::fcntl(descriptor_, F_SETFL, ::fcntl(descriptor_, F_GETFL, 0) | O_NONBLOCK);
            // A process that a test starts would keep a copy open, so that its peer sees no end.
            ::fcntl(descriptor_, F_SETFD, FD_CLOEXEC);
            // Otherwise the end of a message waits up to 40 ms for a delayed acknowledgement.
            const int immediately = 1;
            ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &immediately, sizeof immediately);
        }
    }
    ~raw_socket() { close(); }
    raw_socket(raw_socket&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1)),
          received_(std::move(other.received_)),
          ended_(other.ended_) {}
    raw_socket& operator=(raw_socket&& other) noexcept {
        close();
        descriptor_ = std::exchange(other.descriptor_, -1);
        received_ = std::move(other.received_);
        ended_ = other.ended_;
        return *this;
    }

    /// With a receive buffer of about so many bytes, if given.
    static raw_socket connect(std::uint16_t port, int receive_buffer = 0) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        if (receive_buffer > 0) {
            ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        sockaddr_in address = loopback(port);
        ::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
        return raw_socket(descriptor);
    }

    /// At a port, or any that is free. Another one if that is taken. `backlog` is how many
    /// connections wait to be accepted before further ones wait to be opened. Accepted connections
    /// have a receive buffer of about `receive_buffer` bytes, if given.
    static raw_socket listen(std::uint16_t port = 0, int backlog = 16, int receive_buffer = 0) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        if (receive_buffer > 0) {
            ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        }
        // Closed connections of an earlier listener don't keep the port taken.
        const int reuse = 1;
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        sockaddr_in address = loopback(port);
        ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
        ::listen(descriptor, backlog);
        return raw_socket(descriptor);
    }

    /// Limits the segments of connections that are accepted from now on, as an Ethernet link does.
    void limit_segments() const {
        const int ethernet_segment = 1460;
        ::setsockopt(descriptor_, IPPROTO_TCP, TCP_MAXSEG, &ethernet_segment,
                     sizeof ethernet_segment);
    }

    std::uint16_t port() const {
        sockaddr_in address{};
        socklen_t length = sizeof address;
        ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length);
        return ntohs(address.sin_port);
    }

    /// A connection that waits to be accepted, or a closed socket.
    raw_socket accept() const { return raw_socket(::accept(descriptor_, nullptr, nullptr)); }

    bool open() const { return descriptor_ >= 0; }

    void send(std::string_view bytes) const {
        [[maybe_unused]] const auto sent =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// Sends what the system takes now; the number of bytes taken.
    std::size_t send_some(std::string_view bytes) const {
        const auto sent =
            bytes.empty() ? 0 : ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return static_cast<std::size_t>(sent > 0 ? sent : 0);
    }

    /// Reads so many bytes at the most.
    void read(std::size_t most) {
        std::string bytes(most, '\0');
        const auto length = ::recv(descriptor_, bytes.data(), bytes.size(), 0);
        received_.append(bytes, 0, static_cast<std::size_t>(length > 0 ? length : 0));
        ended_ = ended_ || length == 0 || (length < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// True if the end was read, without reading more.
    bool ended_so_far() const { return ended_; }

    /// What was read, without reading more.
    const std::string& read_so_far() const { return received_; }

    /// Ends this side of the connection; the other side can still be read.
    void end_sending() const { ::shutdown(descriptor_, SHUT_WR); }

    /// All that came so far.
    const std::string& received() {
        char buffer[4096];
        for (;;) {
            const auto length = ::recv(descriptor_, buffer, sizeof buffer, 0);
            if (length > 0) {
                received_.append(buffer, static_cast<std::size_t>(length));
                continue;
            }
            ended_ = ended_ || length == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
            return received_;
        }
    }

    /// True once the peer ended or reset the connection.
    bool ended() {
        received();
        return ended_;
    }

    void close() {
        if (descriptor_ >= 0) {
            ::close(std::exchange(descriptor_, -1));
        }
    }

    /// Closes so that the peer sees a reset.
    void reset() {
        const linger hard{1, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }

    void forget_received() { received_.clear(); }

private:
    static sockaddr_in loopback(std::uint16_t port) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    int descriptor_;
    std::string received_;
    bool ended_ = false;
};

}  // namespace wrenswitch::testing
