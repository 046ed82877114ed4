#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/decision/ledger/ledger_state.hpp"
#include "wrenswitch/drivers/snapshot_chunks.hpp"

namespace wrenswitch::wire {
class Charge;
}

namespace wrenswitch {

/// What a record of a ledger stream holds.
using ledger_record = std::variant<ledger_batch, snapshot_chunk>;

/// The bytes of a batch.
std::string encode_ledger_batch(const ledger_batch& batch);

/// The bytes of a record that carries a chunk of a snapshot.
std::string encode_ledger_chunk(const snapshot_chunk& chunk);

/// Reads a record. An error of code damaged names what is wrong; such a record is skipped by every
/// reader alike.
result<ledger_record> decode_ledger_record(std::string_view bytes);

/// The whole state of a ledger as one text.
std::string encode_ledger_snapshot(const ledger_state& state, log_offset as_of);

/// Reads a state back.
result<ledger_state> decode_ledger_snapshot(std::string_view bytes);

/// A charge to and from its wire form. In a batch the holder is left out if it is the writer.
void encode_charge(const charge& value, incarnation_id writer, wire::Charge& out);
charge decode_charge(const wire::Charge& in, incarnation_id writer);

}  // namespace wrenswitch
