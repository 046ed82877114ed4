#pragma once

#include <string>
#include <string_view>

#include "wrenswitch/drivers/ingress_server.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

/// Formats the value of a Retry-After header: seconds with three decimals, as in "0.250".
std::string retry_after_text(microseconds length);

/// Sends the response to a caller: a target's response, complete or as a stream, or an error of the
/// gateway itself.
class caller_response {
public:
    /// The dialect must outlive the response.
    caller_response(ingress_exchange_pointer exchange, const gateway_dialect& dialect)
        : exchange_(std::move(exchange)), dialect_(dialect) {}

    /// True once a part of a target's response has been sent to the caller.
    bool started() const { return started_; }

    /// The bytes of the response's body so far.
    std::size_t sent_bytes() const { return sent_bytes_; }

    /// Sends a target's complete response.
    void send_complete(const message_head& head, std::string_view body);

    /// Sends events of a target's stream, preceded by the response head if they are the first.
    /// Returns false if the response was aborted because the caller reads too slowly.
    bool send_events(const message_head& head, std::string_view events);

    /// Ends a stream as complete.
    void end_stream(const message_head& head);

    /// Closes the connection in the middle of a response, so that the caller sees that it is
    /// incomplete.
    void abort() { exchange_->cut(); }

    /// Responds that the request did not run and when to retry it. The reason becomes the body.
    void refuse(std::string_view request_id, unsigned status, std::string_view reason,
                microseconds retry_after);

    /// Responds with an error of the gateway itself, without a time to retry. The reason becomes
    /// the body.
    void fail(std::string_view request_id, unsigned status, std::string_view reason);

private:
    void send_head(const message_head& head);

    ingress_exchange_pointer exchange_;
    const gateway_dialect& dialect_;
    bool started_ = false;
    std::size_t sent_bytes_ = 0;
};

}  // namespace wrenswitch
