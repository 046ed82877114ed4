#include "roles/gateway/target_request.hpp"

#include <string>

namespace wrenswitch {
namespace {

/// The longest rest of a connection that a request which may not be repeated goes over.
constexpr microseconds single_run_rest = seconds(2);

}  // namespace

upstream_request request_to_target(const ingress_exchange& exchange, const gateway_dialect& dialect,
                                   const incoming_request& request,
                                   const admitted_request& admitted, const gateway_target& target,
                                   std::string_view copy_from, std::string_view last_event,
                                   microseconds time_left) {
    const auto left_ms = std::chrono::duration_cast<milliseconds>(time_left).count();
    upstream_request sent;
    sent.method = exchange.head().method;
    sent.target = exchange.head().target;
    sent.headers = passed_headers(exchange.head(), dialect);
    sent.headers.push_back({dialect.deadline_ms, std::to_string(left_ms)});
    sent.headers.push_back({dialect.expected_target, target.id});
    if (!admitted.account.empty()) {
        sent.headers.push_back({dialect.account, admitted.account});
    }
    if (!copy_from.empty()) {
        sent.headers.push_back({dialect.copy_from, std::string(copy_from)});
    }
    if (admitted.engine) {
        sent.headers.push_back({dialect.urgency, std::to_string(admitted.priority)});
    }
    const std::string_view last = last_event.empty() ? request.last_event : last_event;
    if (!last.empty()) {
        sent.headers.push_back({dialect.last_event, std::string(last)});
    }
    sent.body = exchange.body();
    if (!may_repeat(admitted.route.kind)) {
        sent.longest_rest = single_run_rest;
    }
    return sent;
}

}  // namespace wrenswitch
