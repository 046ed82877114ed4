#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch {

/// A place to send requests to.
struct http_address {
    std::string host;
    std::uint16_t port = 0;

    /// Reads "127.0.0.1:8080", with "http://" before it allowed.
    static result<http_address> parse(std::string_view text);
    std::string to_text() const { return host + ":" + std::to_string(port); }
};

/// A request to send.
struct http_request {
    std::string method = "GET";
    /// The path with the query.
    std::string target;
    std::vector<http_header> headers;
    std::string body;
    /// The longest silence of the peer.
    microseconds timeout = seconds(30);
    /// How long the connection may stay idle after the request. Defaults to the timeout.
    std::optional<microseconds> longest_idle;
    /// True if the request must not go over a connection that was used before: the peer may be
    /// closing it, which would leave open whether the request arrived.
    bool fresh_connection = false;
    /// A longer body is an error.
    std::size_t max_reply_bytes = 64U * 1024U * 1024U;
};

/// What came back.
struct http_reply {
    unsigned status = 0;
    std::string content_type;
    std::vector<http_header> headers;
    /// Empty if the pieces were taken as they came.
    std::string body;
};

/// A running request. Destroying it calls the request off.
class http_call {
public:
    virtual ~http_call() = default;
};

/// Told the end: the reply, or why there is none.
using http_reply_hook = std::function<void(result<http_reply>)>;

/// Told each piece of the body as it comes, with the reply's head.
using http_piece_hook = std::function<void(const http_reply&, std::string_view)>;

/// Sends requests to one address over a pool of connections, by evhttp. A reply whose end only the
/// end of its connection shows is an error, since a truncated one looks the same.
class http_client {
public:
    http_client(event_loop& loop, http_address address);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request. Exactly one of both ends comes: the hook is called, or the call is
    /// destroyed. If a piece hook is given, the body goes there.
    std::unique_ptr<http_call> send(http_request request, http_reply_hook on_reply,
                                    http_piece_hook on_piece = {});

    const http_address& address() const;

private:
    struct pool;
    class running_call;
    std::shared_ptr<pool> pool_;
};

}  // namespace wrenswitch
