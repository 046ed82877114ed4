#include "drivers/upstream_socket.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include "drivers/socket_queue.hpp"
#include "drivers/timeval.hpp"

namespace wrenswitch {
namespace {

/// The most that is read at a time. More stays in the socket for the next turn of the loop, so that
/// no connection holds up the others.
constexpr std::size_t max_read_bytes = 4U * 1024U;

/// The most that is written at a time, for the same reason.
constexpr std::size_t max_write_bytes = 256U * 1024U;

/// How often a connection whose peer has ended its side is checked for acknowledgements.
constexpr microseconds confirmation_period = milliseconds(5);

bool would_block(int problem) {
    return problem == EAGAIN || problem == EWOULDBLOCK || problem == EINTR;
}

iovec as_vector(std::string_view bytes) {
    return {const_cast<char*>(bytes.data()), bytes.size()};
}

/// Sends of a message what comes behind its first `sent` bytes, in one call. Returns what the call
/// returns.
ssize_t send_rest(int descriptor, const outgoing_message& message, std::size_t sent) {
    const std::size_t text_sent = std::min(sent, message.text.size());
    const std::string_view text = std::string_view(message.text).substr(text_sent, max_write_bytes);
    const std::string_view body =
        message.body.substr(sent - text_sent, max_write_bytes - text.size());
    std::array<iovec, 2> pieces{as_vector(text), as_vector(body)};
    msghdr header{};
    header.msg_iov = pieces.data();
    header.msg_iovlen = pieces.size();
    return ::sendmsg(descriptor, &header, MSG_DONTWAIT | MSG_NOSIGNAL);
}

}  // namespace

upstream_socket::upstream_socket(event_loop& loop, timeouts limits, hooks told)
    : loop_(loop), limits_(limits), hooks_(std::move(told)) {}

upstream_socket::~upstream_socket() {
    close();
}

void upstream_socket::connect(const http_address& address) {
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &peer.sin_addr);
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const bool begun =
        open() && (::connect(descriptor_, reinterpret_cast<sockaddr*>(&peer), sizeof peer) == 0 ||
                   errno == EINPROGRESS);
    if (!begun) {
        end_later(connection_end::refused);
        return;
    }
    connecting_.reset(event_new(loop_.base(), descriptor_, EV_WRITE, &on_connect_done, this));
    const timeval wait = to_timeval(limits_.connect);
    event_add(connecting_.get(), &wait);
}

void upstream_socket::end_later(connection_end end) {
    loop_.call_after(microseconds(0), [self = weak_from_this(), end] {
        const auto alive = self.lock();
        if (alive && !alive->closed_) {
            alive->hooks_.on_end(end);
        }
    });
}

void upstream_socket::on_connect_done(evutil_socket_t, short what, void* self) {
    const auto socket = static_cast<upstream_socket*>(self)->shared_from_this();
    socket->connect_done((what & EV_TIMEOUT) == 0);
}

void upstream_socket::connect_done(bool in_time) {
    connecting_.reset();
    if (!in_time || has_failed()) {
        hooks_.on_end(connection_end::refused);
        return;
    }
    set_options();
    constexpr short read_always = EV_READ | EV_PERSIST;
    readable_.reset(event_new(loop_.base(), descriptor_, read_always, &on_readable, this));
    writable_.reset(event_new(loop_.base(), descriptor_, EV_WRITE, &on_writable, this));
    event_add(readable_.get(), nullptr);
    hooks_.on_connected();
}

void upstream_socket::set_options() const {
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto timeout = static_cast<unsigned>(
        std::chrono::duration_cast<milliseconds>(limits_.unacknowledged).count());
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

void upstream_socket::write(outgoing_message message) {
    loop_.traffic().sent += message.size();
    unsent_ = std::move(message);
    sent_ = 0;
    flush();
}

void upstream_socket::on_writable(evutil_socket_t, short, void* self) {
    const auto socket = static_cast<upstream_socket*>(self)->shared_from_this();
    socket->flush();
}

void upstream_socket::flush() {
    if (!open() || failed_ || unsent_bytes() == 0) {
        return;
    }
    const ssize_t taken = send_rest(descriptor_, unsent_, sent_);
    if (taken < 0 && !would_block(errno)) {
        // What the peer sent before the failure can still be read.
        failed_ = true;
        read_later();
        return;
    }
    sent_ += static_cast<std::size_t>(std::max<ssize_t>(taken, 0));
    if (unsent_bytes() > 0) {
        event_add(writable_.get(), nullptr);
        return;
    }
    unsent_ = {};
    sent_ = 0;
}

void upstream_socket::on_readable(evutil_socket_t, short, void* self) {
    const auto socket = static_cast<upstream_socket*>(self)->shared_from_this();
    socket->read_available();
}

void upstream_socket::read_later() {
    loop_.call_after(microseconds(0), [self = weak_from_this()] {
        if (const auto alive = self.lock()) {
            alive->read_available();
        }
    });
}

/// Reading past libevent's buffers saves a system call for each event of a stream.
void upstream_socket::read_available() {
    if (!open() || readable_ == nullptr) {
        return;
    }
    std::array<char, max_read_bytes> buffer{};
    const ssize_t length = ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (length > 0) {
        loop_.traffic().received += static_cast<std::uint64_t>(length);
        hooks_.on_bytes({buffer.data(), static_cast<std::size_t>(length)});
        return;
    }
    const bool nothing_yet = length < 0 && would_block(errno);
    if (!nothing_yet || failed_) {
        input_ended(length == 0);
    }
}

void upstream_socket::input_ended(bool cleanly) {
    readable_.reset();
    if (!cleanly || has_failed()) {
        hooks_.on_end(connection_end::broken);
        return;
    }
    if (all_acknowledged()) {
        hooks_.on_end(connection_end::clean);
        return;
    }
    hooks_.on_end(connection_end::unconfirmed);
    confirm_end();
}

/// Waits until the peer has taken all bytes, or turns out to be gone: the system of a process that
/// is gone answers further bytes with a reset.
void upstream_socket::confirm_end() {
    if (!open()) {
        return;
    }
    if (has_failed()) {
        hooks_.on_end(connection_end::broken);
        return;
    }
    if (all_acknowledged()) {
        hooks_.on_end(connection_end::clean);
        return;
    }
    loop_.call_after(confirmation_period, [self = weak_from_this()] {
        if (const auto alive = self.lock()) {
            alive->confirm_end();
        }
    });
}

/// True if a call reported an error of the connection, or one is pending.
bool upstream_socket::has_failed() {
    int pending = 0;
    socklen_t length = sizeof pending;
    const bool known = ::getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &pending, &length) == 0;
    failed_ = failed_ || (known && pending != 0);
    return failed_;
}

bool upstream_socket::all_acknowledged() const {
    return unsent_bytes() == 0 && unacknowledged_in_kernel(descriptor_) == 0;
}

void upstream_socket::half_close() {
    if (!open()) {
        return;
    }
    unsent_ = {};
    sent_ = 0;
    ::shutdown(descriptor_, SHUT_WR);
}

void upstream_socket::close() {
    closed_ = true;
    unsent_ = {};
    sent_ = 0;
    connecting_.reset();
    readable_.reset();
    writable_.reset();
    if (open()) {
        ::close(std::exchange(descriptor_, -1));
    }
}

}  // namespace wrenswitch
