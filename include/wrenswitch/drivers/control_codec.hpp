#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/decision/control/control_state.hpp"
#include "wrenswitch/drivers/snapshot_chunks.hpp"

namespace wrenswitch {

/// What a record of the control stream holds.
using control_stream_record = std::variant<control_record, snapshot_chunk>;

/// The bytes of a record.
std::string encode_control_record(const control_record& record);

/// The bytes of a record that carries a chunk of a snapshot.
std::string encode_control_chunk(const snapshot_chunk& chunk);

/// Reads a record. An error of code damaged names what is wrong; such a record is skipped by every
/// reader alike.
result<control_stream_record> decode_control_record(std::string_view bytes);

/// The whole control state as one text.
std::string encode_control_snapshot(const control_state& state, log_offset as_of);

/// Reads a state back.
result<control_state> decode_control_snapshot(std::string_view bytes);

}  // namespace wrenswitch
