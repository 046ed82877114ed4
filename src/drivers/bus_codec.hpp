#pragma once

#include <bus.pb.h>

#include "wrenswitch/decision/guard/refusal.hpp"
#include "wrenswitch/decision/home/reservation.hpp"
#include "wrenswitch/decision/home/ticket.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"

namespace wrenswitch {

/// Typed values to and from the messages between processes.
void encode_ticket(const ticket& value, wire::Ticket& out);
ticket decode_ticket(const wire::Ticket& in);

wire::RefusalReason encode_refusal(refusal_reason reason);
refusal_reason decode_refusal(wire::RefusalReason reason);

wire::ReserveOutcome encode_outcome(reservation_outcome outcome);
reservation_outcome decode_outcome(wire::ReserveOutcome outcome);

load_report decode_load(const wire::LoadReport& in);

}  // namespace wrenswitch
