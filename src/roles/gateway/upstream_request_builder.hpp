#pragma once

#include <string_view>

#include "roles/gateway/incoming_request.hpp"
#include "wrenswitch/decision/gateway/admission.hpp"
#include "wrenswitch/drivers/ingress_server.hpp"
#include "wrenswitch/drivers/upstream_pool.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

/// Builds the request to a target from a caller's request: the same method, path and body, the
/// headers that may be forwarded, and those that the gateway sets. The body stays the exchange's.
/// `copy_from` is the address of another engine that has more of the prompt in its cache, or empty.
/// `last_event` is the identifier of the last event that an earlier target sent of the stream, or
/// empty. `time_left` is the time until the deadline of the request.
upstream_request make_upstream_request(const ingress_exchange_pointer& exchange,
                                       const gateway_dialect& dialect,
                                       const incoming_request& request,
                                       const admitted_request& admitted,
                                       const gateway_target& target, std::string_view copy_from,
                                       std::string_view last_event, microseconds time_left);

}  // namespace wrenswitch
