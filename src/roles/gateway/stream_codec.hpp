#pragma once

#include "wrenswitch/decision/streams/stream_origin.hpp"
#include "wrenswitch/decision/streams/stream_record.hpp"

namespace wrenswitch::wire {
class StreamAnswer;
class StreamRecord;
}  // namespace wrenswitch::wire

namespace wrenswitch {

/// A stream record as a message. Times of expiry are sent as what is left of them, since the clocks
/// of two processes can't be compared.
wire::StreamRecord encode_stream_record(instant now, const stream_record& record);

/// A stream record from a message, which may be damaged: it isn't kept longer than records may be.
stream_record decode_stream_record(instant now, const wire::StreamRecord& message);

/// What an entry knows of a stream as an answer, without the number of the question.
wire::StreamAnswer encode_stream_answer(instant now, const stream_knowledge& known);

/// The knowledge in an answer, which may be damaged.
stream_knowledge decode_stream_answer(instant now, const wire::StreamAnswer& message);

}  // namespace wrenswitch
