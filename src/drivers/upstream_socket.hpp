#pragma once

#include <event2/event.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "drivers/outgoing_message.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_client.hpp"

namespace wrenswitch {

/// How a connection ended at its peer's side.
enum class connection_end {
    /// It never came about: not a byte was sent.
    refused,
    /// The peer ended its side and has taken all that was sent.
    clean,
    /// The peer ended its side before it took all that was sent: it may go on reading, or its
    /// process may be gone. `clean` or `broken` follows.
    unconfirmed,
    /// The connection failed.
    broken,
};

/// A TCP connection to a target that never blocks. The system reports the error of a connection
/// once, to whichever call comes first, and later reads then look like a clean end. So all calls
/// that can meet an error are made here, and the error is kept.
class upstream_socket : public std::enable_shared_from_this<upstream_socket> {
public:
    struct hooks {
        std::function<void()> on_connected;
        std::function<void(std::string_view)> on_bytes;
        std::function<void(connection_end)> on_end;
    };

    /// How long a connection may take to come about, and how long bytes may stay unacknowledged.
    struct timeouts {
        microseconds connect{};
        microseconds unacknowledged{};
    };

    /// The hooks are never called from within a function of this class, nor after close().
    upstream_socket(event_loop& loop, timeouts limits, hooks told);
    ~upstream_socket();
    upstream_socket(const upstream_socket&) = delete;
    upstream_socket& operator=(const upstream_socket&) = delete;

    void connect(const http_address& address);

    /// Sends a message, as far as the system takes it at once, and the rest later.
    void write(outgoing_message message);

    /// Ends this side of the connection and drops what is not sent yet.
    void half_close();

    void close();

    bool open() const { return descriptor_ >= 0; }

    /// Bytes that the system has not taken yet.
    std::size_t unsent_bytes() const { return unsent_.size() - sent_; }

private:
    struct event_deleter {
        void operator()(event* each) const { event_free(each); }
    };
    using event_pointer = std::unique_ptr<event, event_deleter>;

    static void on_connect_done(evutil_socket_t, short what, void* self);
    static void on_readable(evutil_socket_t, short, void* self);
    static void on_writable(evutil_socket_t, short, void* self);

    void end_later(connection_end end);
    void connect_done(bool in_time);
    void set_options() const;
    void flush();
    void read_available();
    void read_later();
    void input_ended(bool cleanly);
    void confirm_end();
    bool has_failed();
    bool all_acknowledged() const;

    event_loop& loop_;
    timeouts limits_;
    hooks hooks_;
    int descriptor_ = -1;
    event_pointer connecting_;
    event_pointer readable_;
    event_pointer writable_;
    outgoing_message unsent_;
    /// How many bytes of `unsent_` the system has taken.
    std::size_t sent_ = 0;
    bool closed_ = false;
    /// True once a call reported an error of the connection.
    bool failed_ = false;
};

}  // namespace wrenswitch
