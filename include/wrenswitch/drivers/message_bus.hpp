#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch::wire {
class Envelope;
}

namespace wrenswitch {

/// Where a message came from, so that it can be answered over the same connection.
struct message_origin {
    /// ZeroMQ's name of an inbound connection; empty if the message came over an outbound one.
    std::string connection;
    /// The endpoint of an outbound connection; empty if the message came over an inbound one.
    std::string endpoint;
};

/// Settings of the bus. With keys set, all traffic is CURVE-encrypted and a peer must know the
/// fleet's secret key.
struct message_bus_settings {
    /// Where others reach this process: "tcp://127.0.0.1:0" lets the system choose the port.
    std::string endpoint;
    /// The fleet's key pair in Z85, 40 letters each; both or neither.
    std::string curve_public_key;
    std::string curve_secret_key;
    /// A peer that announces a larger message is disconnected.
    std::size_t max_message_bytes = 64U * 1024U * 1024U;
};

/// Messages between the processes of the fleet, over ZeroMQ with protobuf. Delivery is not
/// promised: a message may be lost, or come late after a reconnect, and whoever takes it must be
/// ready for that. Messages on one connection keep their order.
class message_bus {
public:
    using message_hook = std::function<void(const message_origin&, const wire::Envelope&)>;

    /// Told when a message certainly was not handed to ZeroMQ, with its endpoint.
    using undelivered_hook = std::function<void(const std::string&, const wire::Envelope&)>;

    static result<std::unique_ptr<message_bus>> open(event_loop& loop,
                                                     const message_bus_settings& settings);

    virtual ~message_bus() = default;

    /// The endpoint as bound.
    virtual const std::string& endpoint() const = 0;

    virtual void on_message(message_hook hook) = 0;
    virtual void on_undelivered(undelivered_hook hook) = 0;

    /// Sends over an outbound connection, which is made on first use. The message waits for the
    /// connection for a second at the most.
    virtual void send(const std::string& endpoint, const wire::Envelope& message) = 0;

    /// Answers over the connection that a message came from.
    virtual void answer(const message_origin& origin, const wire::Envelope& message) = 0;

    /// Closes the outbound connections to all endpoints but these.
    virtual void keep_only(const std::function<bool(const std::string&)>& wanted) = 0;

    /// Bytes sent and received since the start.
    virtual std::uint64_t bytes_sent() const = 0;
    virtual std::uint64_t bytes_received() const = 0;
};

}  // namespace wrenswitch
