#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "wrenswitch/core/ids.hpp"

namespace wrenswitch {

/// What happened. The names on the wire are those of name_of().
enum class timeline_kind {
    request_received,
    reservation_granted,
    reservation_refused,
    dispatch_sent,
    attempt_accepted,
    attempt_refused,
    attempt_started,
    attempt_ended,
    attempt_voided,
    request_answered,
    charge_settled,
    tokens_drawn,
    tokens_returned,
    fence_applied,
    grant_reclaimed,
    configuration_applied,
    drain_started,
};

/// The name of a kind as wrenctl shows it.
std::string_view name_of(timeline_kind kind);

/// One event of the time line. Identifiers that do not apply stay zero.
struct timeline_event {
    std::chrono::system_clock::time_point wall_time;
    std::uint64_t sequence = 0;
    timeline_kind kind = timeline_kind::request_received;
    std::string request;
    attempt_id attempt{};
    ticket_id ticket{};
    std::string detail;
};

/// The latest events of one process, in a ring of bounded length.
class timeline {
public:
    /// Keeps at most this many events; the oldest goes first.
    explicit timeline(std::size_t capacity) : capacity_(capacity) {}

    /// Adds an event and stamps it with the wall time and the next sequence number.
    void add(timeline_kind kind, std::string_view request, attempt_id attempt, ticket_id ticket,
             std::string detail);

    /// The kept events, oldest first.
    const std::deque<timeline_event>& events() const { return events_; }

    /// The events as a JSON array; with a request given, those of that request only.
    std::string to_json(std::string_view process_name, std::string_view request) const;

private:
    std::size_t capacity_;
    std::uint64_t next_sequence_ = 0;
    std::deque<timeline_event> events_;
};

}  // namespace wrenswitch
