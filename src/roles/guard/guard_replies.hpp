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

/// Who wants an answer: an entry's request, over the connection it came by.
struct answer_listener {
    message_origin origin;
    std::uint64_t request = 0;
    attempt_id attempt{};
};

/// What a guard says to entries of their attempts. Each word that isn't a piece of an answer tells
/// the guard's load too.
class guard_replies {
public:
    /// Everything must outlive this; `own` changes once the guard is registered.
    guard_replies(message_bus& bus, const incarnation_id& own,
                  std::function<wire::LoadReport()> load, metrics& counters, timeline& events);

    /// The attempt is the guard's now, and runs if it started.
    void accept(const answer_listener& to, bool started);

    /// The attempt didn't run and won't.
    void refuse(const answer_listener& to, refusal_reason reason);

    /// A piece of the answer, with its place in it. The first one tells the type.
    void send_chunk(const answer_listener& to, std::uint32_t index, unsigned status,
                    std::string_view content_type, std::string_view data);

    /// The answer ended after so many pieces.
    void send_end(const answer_listener& to, std::uint32_t chunks, bool whole, tokens cost);

private:
    wire::Envelope make_message() const;

    message_bus& bus_;
    const incarnation_id& own_;
    std::function<wire::LoadReport()> load_;
    metrics& counters_;
    timeline& events_;
};

}  // namespace wrenswitch
