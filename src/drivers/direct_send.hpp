#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <sys/socket.h>

#include <string_view>

namespace wrenswitch {

/// Writes to a connected stream at once, as far as its socket takes it, and leaves the rest to
/// libevent. Through libevent alone each write costs a turn of the loop and three system calls
/// more, and an answer of a model engine has some ten to forty writes.
inline void send_directly(bufferevent* stream, std::string_view bytes) {
    const bool nothing_waits = evbuffer_get_length(bufferevent_get_output(stream)) == 0;
    if (nothing_waits) {
        const ssize_t taken = ::send(bufferevent_getfd(stream), bytes.data(), bytes.size(),
                                     MSG_DONTWAIT | MSG_NOSIGNAL);
        // An error that this call takes shows to libevent as a closed connection. For the stream of
        // a caller both mean the same, so this must not be used where an end can mean success.
        bytes.remove_prefix(taken > 0 ? static_cast<std::size_t>(taken) : 0);
    }
    if (!bytes.empty()) {
        bufferevent_write(stream, bytes.data(), bytes.size());
    }
}

}  // namespace wrenswitch
