#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace wrenswitch {

/// The complete events at the front of the received part of a stream.
struct complete_events {
    /// The bytes of the events, unchanged.
    std::string bytes;
    std::size_t count = 0;
};

/// Splits a stream of server-sent events at event boundaries. Only complete events are passed on,
/// so that a target that fails in the middle of one leaves no partial event at the caller.
class event_splitter {
public:
    /// Appends received bytes and returns the events that they complete.
    complete_events add(std::string_view bytes);

    /// Discards the bytes of an event that is not complete.
    void discard_partial_event() {
        partial_event_.clear();
        searched_bytes_ = 0;
    }

    bool has_partial_event() const { return !partial_event_.empty(); }

    /// The bytes of the event that is not complete.
    std::size_t partial_bytes() const { return partial_event_.size(); }

    /// The identifier of the last complete event that had one, or an empty string.
    const std::string& last_event_id() const { return last_event_id_; }

private:
    void record_event_id(std::string_view event);

    std::string partial_event_;
    /// How much of it is known to hold no end of an event, so that a long event that arrives in
    /// many pieces is searched once.
    std::size_t searched_bytes_ = 0;
    std::string last_event_id_;
};

}  // namespace wrenswitch
