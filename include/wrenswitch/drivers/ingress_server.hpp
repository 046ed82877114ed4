#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/ingress/intake_memory.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_head.hpp"

namespace wrenswitch {

/// What callers may send and how long they may take; read anew for each message.
struct ingress_limits {
    std::size_t most_header_bytes = 32U * 1024U;
    std::size_t most_body_bytes = 4U * 1024U * 1024U;
    /// From the first byte of a head to its end, and the longest pause inside a body.
    microseconds head_timeout = seconds(5);
    /// How long a connection may rest between requests.
    microseconds idle_timeout = seconds(60);
};

/// One whole request and its answer. Once the peer is gone, writing does nothing.
class ingress_exchange {
public:
    virtual ~ingress_exchange() = default;

    virtual const message_head& head() const = 0;
    virtual std::string_view body() const = 0;
    /// When the last byte of the request was read.
    virtual instant received() const = 0;
    /// How long the request was held after its head, before its body was read.
    virtual microseconds waited() const { return {}; }

    /// Sends a whole answer.
    virtual void answer(unsigned status, const std::vector<http_header>& headers,
                        std::string_view body) = 0;

    /// Begins an answer whose body comes in pieces, in chunks.
    virtual void begin_answer(unsigned status, const std::vector<http_header>& headers) = 0;
    virtual void send_piece(std::string_view piece) = 0;
    virtual void end_answer() = 0;

    /// Ends the connection, so that the peer sees that the answer is not whole.
    virtual void cut() = 0;

    /// Bytes that the peer has not taken yet.
    virtual std::size_t unsent_bytes() const = 0;

    /// Names the account that uses the connection, for `ingress_server::close_account`.
    virtual void set_account(std::string_view account) = 0;

    /// Called once if the peer goes away before the answer has ended.
    virtual void on_closed(std::function<void()> action) = 0;
};

using ingress_exchange_pointer = std::shared_ptr<ingress_exchange>;
using ingress_handler = std::function<void(const ingress_exchange_pointer&)>;
using ingress_limits_source = std::function<ingress_limits()>;

enum class head_action { proceed, wait, refuse };

/// What happens to a request whose head is complete and whose body has not been read.
struct head_decision {
    head_action action = head_action::proceed;
    /// The answer to a refused request. Its connection closes after it.
    unsigned status = 0;
    std::vector<http_header> headers;
    std::string body;
};

/// A request that waits behind its head; nothing more is read from its connection meanwhile.
class waiting_head {
public:
    virtual ~waiting_head() = default;

    /// Ends the wait: the request proceeds or is refused. Without effect if the connection has
    /// closed.
    virtual void end_wait(const head_decision& decision) = 0;

    /// Called once if the connection closes before the wait has ended.
    virtual void on_closed(std::function<void()> action) = 0;
};

/// Decides on a complete head. If it returns `wait`, it has to call `end_wait` later.
using ingress_head_hook =
    std::function<head_decision(const message_head&, const std::shared_ptr<waiting_head>&)>;

/// Makes the answer to a request that is refused because memory is short.
using shortage_hook = std::function<head_decision(const message_head&)>;

/// What a server does beyond reading and answering. By default, nothing.
struct ingress_options {
    /// The receive buffer of callers' connections, which limits what arrives unread. Zero leaves it
    /// to the system.
    std::size_t receive_buffer_bytes = 0;
    ingress_head_hook on_head;
    /// The memory that the connections share with others of the process. Without limit if empty.
    std::shared_ptr<intake_memory> intake;
    /// Makes the answer to a request for which there is no memory, as status 503 says that it has
    /// not run. Its head is empty if it has not been read.
    shortage_hook refuse_for_shortage;
};

/// A strict HTTP/1.1 server for requests that are passed on: heads are kept as they came, one
/// request is read at a time, malformed ones get their status and a closed connection.
class ingress_server {
public:
    /// Binds and serves. An error if the address cannot be bound.
    static result<std::unique_ptr<ingress_server>> start(event_loop& loop, const std::string& host,
                                                         std::uint16_t port,
                                                         ingress_limits_source limits,
                                                         ingress_handler handler,
                                                         ingress_options options = {});

    virtual ~ingress_server() = default;

    /// The port that is bound, which port 0 leaves to the system.
    virtual std::uint16_t port() const = 0;

    /// Ends each connection after its present answer; new ones still get one request answered.
    virtual void begin_drain() = 0;

    /// While set, each connection ends after its present answer, and those that rest end at once,
    /// so that callers go on over new ones, which may lead to other entries.
    virtual void shed(bool sheds) = 0;

    /// While set for an account, each of its connections ends after its present answer. Those that
    /// rest end at once.
    virtual void close_account(std::string_view account, bool closes) = 0;

    /// Sets what is called with the account of each connection that ends only because its account
    /// is closed.
    virtual void on_account_closed(std::function<void(std::string_view)> action) = 0;

    /// Takes no new connections and ends those that rest.
    virtual void stop_listening() = 0;

    /// Refuses each request that has been read in part only, or is held behind its head. Its
    /// connection closes after the answer.
    virtual void refuse_unread(const head_decision& refusal) = 0;

    /// Connections that are open.
    virtual std::size_t connections() const = 0;

    /// Connections with a request that is read or answered, or with bytes that the peer has not
    /// acknowledged.
    virtual std::size_t busy_connections() const = 0;
};

}  // namespace wrenswitch
