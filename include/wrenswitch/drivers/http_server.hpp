#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/decision/ingress/intake_memory.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch {

/// A header of a request or a reply.
struct http_header {
    std::string name;
    std::string value;
};

/// One request and its reply. Kept alive by shared pointers; once the peer is gone, writing does
/// nothing.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    virtual std::string_view method() const = 0;
    /// The path, without the query.
    virtual std::string_view path() const = 0;
    /// The value of a query parameter, or an empty text.
    virtual std::string query(std::string_view name) const = 0;
    /// The value of a header, or an empty text.
    virtual std::string_view header(std::string_view name) const = 0;
    virtual std::string_view body() const = 0;
    /// Moves the body out of the exchange, which keeps the claim to its memory.
    virtual std::string take_body() = 0;

    /// Sends a whole reply.
    virtual void reply(unsigned status, const std::vector<http_header>& headers,
                       std::string_view body) = 0;

    /// Begins a reply whose body comes in pieces.
    virtual void start_stream(unsigned status, const std::vector<http_header>& headers) = 0;
    virtual void send_piece(std::string_view piece) = 0;
    virtual void end_stream() = 0;

    /// Cuts the connection, so that the peer sees that the reply is not whole.
    virtual void cut() = 0;

    /// Bytes written that the peer has not taken yet.
    virtual std::size_t unsent_bytes() const = 0;

    virtual bool closed() const = 0;

    /// Called once if the peer goes away before the reply has ended.
    virtual void on_closed(std::function<void()> action) = 0;
};

using http_exchange_pointer = std::shared_ptr<http_exchange>;
using http_handler = std::function<void(const http_exchange_pointer&)>;

/// Limits on what a peer may send.
struct http_server_settings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    std::size_t most_body_bytes = 4U * 1024U * 1024U;
    std::size_t most_header_bytes = 32U * 1024U;
    /// How many copies of a body its handler makes at the most, with the body itself.
    std::size_t body_copies = 1;
    /// PEM files; TLS is used if both are set.
    std::string certificate_file;
    std::string private_key_file;
};

/// An HTTP server on an event loop, by libevhtp.
class http_server {
public:
    /// Binds and serves. An error if the address cannot be bound. The connections share `memory`
    /// with others of the process; without, nothing limits them together.
    static result<std::unique_ptr<http_server>> start(event_loop& loop,
                                                      const http_server_settings& settings,
                                                      http_handler handler,
                                                      std::shared_ptr<intake_memory> memory = {});

    virtual ~http_server() = default;

    /// The port that is bound, which port 0 leaves to the system.
    virtual std::uint16_t port() const = 0;

    /// Takes no new connections; exchanges that run go on.
    virtual void stop_listening() = 0;

    /// Connections with bytes of a reply that the peer has not acknowledged.
    virtual std::size_t undelivered_connections() const = 0;
};

}  // namespace wrenswitch
