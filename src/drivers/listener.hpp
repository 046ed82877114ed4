#pragma once

#include <event2/listener.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstddef>
#include <memory>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch {

/// The receive buffers of connections, which inherit their size from the listening socket. Set
/// later, it would not reduce the window that a peer has been given with the connection.
class listener_buffer {
public:
    /// Reads what the system gives by itself, which is never exceeded: larger windows would let
    /// more bytes wait before a narrow link.
    void start(int descriptor) {
        int size = 0;
        socklen_t length = sizeof size;
        const bool known =
            ::getsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, &length) == 0 && size > 0;
        // The system doubles what is set.
        most_ = known ? static_cast<std::size_t>(size) / 2 : unknown_size;
    }

    /// Sets the size for further connections.
    void offer(int descriptor, std::size_t bytes) {
        bytes_ = std::min(bytes, most_);
        const int size = static_cast<int>(bytes_);
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    }

    /// The size that connections inherit which are made now.
    std::size_t bytes() const { return bytes_; }

private:
    static constexpr std::size_t unknown_size = 64U * 1024U;
    std::size_t most_ = unknown_size;
    std::size_t bytes_ = 0;
};

/// Lets a listener accept nothing more in this turn of the loop: libevent closes the descriptors of
/// connections that gave way only behind it.
class accept_pause {
public:
    void pause(event_loop& loop, evconnlistener* listener) {
        evconnlistener_disable(listener);
        wanted_ = std::make_shared<bool>(true);
        loop.call_after(microseconds(0), [wanted = wanted_, listener] {
            if (*wanted) {
                evconnlistener_enable(listener);
            }
        });
    }

    /// To be called before the listener is freed.
    void cancel() {
        if (wanted_) {
            *wanted_ = false;
        }
    }

private:
    std::shared_ptr<bool> wanted_;
};

}  // namespace wrenswitch
