#pragma once

#include <event2/listener.h>
#include <sys/socket.h>

#include <algorithm>
#include <cstddef>
#include <limits>
#include <memory>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch {

/// Sets the size of the receive buffer that further connections of a listening socket inherit.
inline void set_listener_buffer(int descriptor, std::size_t bytes) {
    const int size =
        static_cast<int>(std::min<std::size_t>(bytes, std::numeric_limits<int>::max() / 2));
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
}

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
