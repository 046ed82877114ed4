#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_client.hpp"
#include "wrenswitch/drivers/message_head.hpp"

namespace wrenswitch {

/// Why a call ended without a whole answer.
enum class upstream_failure {
    /// No connection came about: not a byte of the request was sent.
    not_sent,
    /// The target ended its side cleanly before the answer was whole: the request may have run, and
    /// all that it handed out has come.
    cut_short,
    /// The connection failed: the request may have run, and what was on its way is lost.
    broken,
    /// What came is not an answer to this request: it may have run.
    malformed,
};

/// The name of a failure as logs show it.
std::string_view name_of(upstream_failure failure);

/// How the answer of one call is told. Exactly one of on_end and on_failed comes last.
struct upstream_hooks {
    /// True if an answer with this head belongs to the call. Others are read and dropped.
    std::function<bool(const message_head&)> belongs;
    std::function<void(const message_head&)> on_head;
    std::function<void(std::string_view)> on_piece;
    std::function<void()> on_end;
    std::function<void(upstream_failure)> on_failed;
};

/// One request as it is written.
struct upstream_request {
    std::string method;
    std::string target;
    /// Without lengths and without what concerns the connection.
    std::vector<http_header> headers;
    std::string_view body;
    /// Keeps the body alive until it is sent. Without, the body is copied.
    std::shared_ptr<const void> body_owner;
    /// The longest rest of a kept connection that this request may go over. A request that may not
    /// be repeated wants a short one: the peer might be closing.
    microseconds longest_rest = seconds(3600);
    /// True if the connection is made for this request and closed after it.
    bool needs_own_connection = false;
};

/// A running call. Destroying it before its end closes its connection, which calls the run off.
class upstream_call {
public:
    virtual ~upstream_call() = default;

    /// True once a byte of the request may have left.
    virtual bool sent() const = 0;

    /// Bytes of the request that the system had not taken yet, at the call's end or now.
    virtual std::size_t unsent_bytes() const = 0;

    /// Ends only this side of the connection: the target calls the run off, and what it had handed
    /// out before still comes. If the call then fails as cut_short, nothing is missing; a close
    /// would have lost it.
    virtual void call_off() = 0;
};

/// Settings of a pool.
struct upstream_pool_settings {
    /// How many connections at the most; calls beyond that fail as not sent.
    std::size_t most_connections = 64;
    microseconds connect_timeout = milliseconds(400);
    /// After this without an acknowledgement by the peer's machine a connection is given up.
    microseconds unacknowledged_timeout = seconds(1);
};

/// Kept connections to one address and the calls over them, one at a time on each.
class upstream_pool {
public:
    upstream_pool(event_loop& loop, http_address address, upstream_pool_settings settings);
    ~upstream_pool();
    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /// Sends a request. The hooks are never called from within.
    std::unique_ptr<upstream_call> send(const upstream_request& request, upstream_hooks hooks);

    const http_address& address() const;

    /// Connections that are open.
    std::size_t connections() const;

    /// Connections made since the start.
    std::uint64_t connections_made() const;

private:
    struct shared_state;
    std::shared_ptr<shared_state> state_;
};

}  // namespace wrenswitch
