#pragma once

#include <memory>
#include <string>

#include "wrenswitch/decision/streams/recent_values.hpp"
#include "wrenswitch/decision/streams/stream_record_table.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// Holds records of streams for entries, which may all be lost at once, and answers entries that
/// ask about a stream: with its record, or with the versions that streams of the service have had
/// of late. It knows nothing of the list of targets, so it never says that it knows all versions.
class stream_record_service {
public:
    /// `host` names this process in its answers. The references must outlive the service.
    stream_record_service(event_loop& loop, message_bus& bus, std::string host);

    /// Handles a message. False if it isn't of a kind that the service handles.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

private:
    void take_records(const wire::Envelope& message);
    void answer(const message_origin& origin, const wire::Envelope& message);
    void tick();

    message_bus& bus_;
    std::string host_;
    stream_record_table table_;
    recent_values versions_;
    std::unique_ptr<timer> ticker_;
};

}  // namespace wrenswitch
