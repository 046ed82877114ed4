#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "wrenswitch/decision/streams/stream_origin.hpp"
#include "wrenswitch/decision/streams/stream_record.hpp"
#include "wrenswitch/decision/streams/stream_record_table.hpp"

namespace wrenswitch::wire {
class StreamAnswer;
class StreamQuestion;
class StreamRecord;
class StreamRecords;
}  // namespace wrenswitch::wire

namespace wrenswitch {

/// The longest time for which the versions of a service's targets are remembered.
constexpr microseconds stream_versions_kept_for = seconds(600);

/// Bounds the size of messages, also of those that other processes send.
constexpr int max_records_per_message = 256;

/// A stream that a caller resumes.
struct stream_question {
    /// Empty if the caller doesn't name the request that began the stream.
    std::string request;
    std::uint64_t account = 0;
    /// The only service that may have begun the stream, or empty if there are several.
    std::string service;
    /// How long ago the stream may have begun.
    microseconds max_age{};
};

/// A stream record as a message. Times of expiry are sent as what is left of them, since the clocks
/// of two processes can't be compared.
wire::StreamRecord encode_stream_record(instant now, const stream_record& record);

/// A stream record from a message, which may be damaged: it isn't kept longer than records may be.
stream_record decode_stream_record(instant now, const wire::StreamRecord& message);

/// Passes the records of a message to a function that keeps them. Returns how many were refused; a
/// message with too many is refused as a whole and counts once.
std::size_t accept_stream_records(
    instant now, const wire::StreamRecords& message,
    const std::function<stream_record_table::outcome(stream_record)>& keep);

/// A question as a message, with a number that its answers repeat.
wire::StreamQuestion encode_stream_question(std::uint64_t number, const stream_question& asked);

/// The question in a message, which may be damaged: nothing if its names are too long. A window
/// that is longer than versions are kept for stays longer.
std::optional<stream_question> decode_stream_question(const wire::StreamQuestion& message);

/// What an entry knows of a stream as an answer, without the number of the question.
wire::StreamAnswer encode_stream_answer(instant now, const stream_knowledge& known);

/// The knowledge in an answer, which may be damaged.
stream_knowledge decode_stream_answer(instant now, const wire::StreamAnswer& message);

}  // namespace wrenswitch
