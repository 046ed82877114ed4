#pragma once

#include <optional>
#include <set>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

class incoming_reply;

/// Tracks the time during which replies of the platform's service are being received, directly or
/// through peers. A reply that saturates the link delays all others, so this time must not count
/// toward the timeout of other calls.
class arrival_watch {
public:
    /// The start of a silence measurement.
    struct checkpoint {
        instant at{};
        /// The total receive time up to the last piece before that point.
        microseconds receive_time{};
    };

    checkpoint checkpoint_at(instant now) const { return {now, receive_time_}; }

    /// Returns the time since the checkpoint during which no reply was being received.
    microseconds silence_since(const checkpoint& since, instant now) const;

    /// Returns the time of the last recorded piece, if any.
    std::optional<instant> last_piece() const { return last_piece_; }

private:
    friend class incoming_reply;

    microseconds receive_time_until(instant now) const;
    void record_piece(const incoming_reply& reply, instant now);

    /// Replies that have started but are neither complete nor abandoned.
    std::set<const incoming_reply*> open_replies_;
    /// The total receive time up to counted_until_. Overlapping replies are counted once.
    microseconds receive_time_{};
    instant counted_until_{};
    std::optional<instant> last_piece_;
};

/// Marks a reply as being received from its first piece until destruction, which must happen when
/// the reply is complete or abandoned. The watch must outlive this object.
class incoming_reply {
public:
    incoming_reply(arrival_watch& watch, instant first_piece);
    ~incoming_reply();
    incoming_reply(const incoming_reply&) = delete;
    incoming_reply& operator=(const incoming_reply&) = delete;

    /// Records a further piece.
    void record_piece(instant now);

    instant last_piece() const { return last_piece_; }

private:
    arrival_watch& watch_;
    instant last_piece_;
};

}  // namespace wrenswitch
