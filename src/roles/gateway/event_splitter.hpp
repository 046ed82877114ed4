#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace wrenswitch {

/// The whole events at the front of what came of a stream.
struct whole_events {
    /// The events' bytes, to be passed on as they are.
    std::string bytes;
    std::size_t count = 0;
};

/// Cuts a stream of server-sent events behind whole events, so that a target that stops in the
/// middle of one leaves nothing half said.
class event_splitter {
public:
    /// Takes bytes in and returns the events that are whole now.
    whole_events add(std::string_view bytes);

    /// Drops what came of an event that isn't whole.
    void drop_rest() { rest_.clear(); }

    bool has_rest() const { return !rest_.empty(); }

    /// The identifier of the last whole event that had one, or an empty text.
    const std::string& last_id() const { return last_id_; }

private:
    void note_id(std::string_view event);

    std::string rest_;
    std::string last_id_;
};

}  // namespace wrenswitch
