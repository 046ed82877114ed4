#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

#include "drivers/bus_codec.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/timeline.hpp"
#include "wrenswitch/decision/guard/refusal.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// A receiver of a response: an entry's request and the connection on which it arrived.
struct response_listener {
    message_origin origin;
    std::uint64_t request = 0;
    attempt_id attempt{};
};

/// Sends entries the replies to their attempts. Every reply except a response chunk also carries
/// the guard's load.
class guard_reply_sender {
public:
    /// All references must outlive the sender. `incarnation` is read at each send, since it changes
    /// when the guard registers.
    guard_reply_sender(message_bus& bus, const incarnation_id& incarnation,
                       std::function<wire::LoadReport()> load, metrics& counters, timeline& events);

    /// Reports that the attempt was accepted, and whether it is running or still queued.
    void send_accepted(const response_listener& to, bool started);

    /// Reports that the attempt did not run and will not.
    void send_refused(const response_listener& to, refusal_reason reason);

    /// Sends one chunk of the response body. Only the chunk with index 0 carries the content type.
    void send_chunk(const response_listener& to, std::uint32_t index, unsigned status,
                    std::string_view content_type, std::string_view data);

    /// Reports the end of the response, with the number of chunks sent and the cost.
    void send_end(const response_listener& to, std::uint32_t chunks, bool complete, tokens cost);

private:
    wire::Envelope make_envelope() const;

    message_bus& bus_;
    const incarnation_id& incarnation_;
    std::function<wire::LoadReport()> load_;
    metrics& counters_;
    timeline& events_;
};

}  // namespace wrenswitch
