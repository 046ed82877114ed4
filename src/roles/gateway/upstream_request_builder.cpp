#include "roles/gateway/upstream_request_builder.hpp"

#include <string>

namespace wrenswitch {
namespace {

/// How long a connection may have been idle to be used for a request that may not be repeated.
constexpr microseconds max_idle_for_unrepeatable = seconds(2);

}  // namespace

upstream_request make_upstream_request(const ingress_exchange_pointer& exchange,
                                       const gateway_dialect& dialect,
                                       const incoming_request& request,
                                       const admitted_request& admitted,
                                       const gateway_target& target, std::string_view copy_from,
                                       std::string_view last_event, microseconds time_left) {
    const auto time_left_ms = std::chrono::duration_cast<milliseconds>(time_left).count();
    upstream_request sent;
    sent.method = exchange->head().method;
    sent.target = exchange->head().target;
    sent.headers = forwarded_request_headers(exchange->head(), dialect);
    sent.headers.push_back({dialect.deadline_ms, std::to_string(time_left_ms)});
    sent.headers.push_back({dialect.expected_target, target.id});
    if (!admitted.account.empty()) {
        sent.headers.push_back({dialect.account, admitted.account});
    }
    if (!copy_from.empty()) {
        sent.headers.push_back({dialect.copy_from, std::string(copy_from)});
    }
    if (admitted.engine) {
        sent.headers.push_back({dialect.priority, std::to_string(admitted.priority)});
    }
    const std::string_view last_event_id = last_event.empty() ? request.last_event : last_event;
    if (!last_event_id.empty()) {
        sent.headers.push_back({dialect.last_event, std::string(last_event_id)});
    }
    sent.body = exchange->body();
    sent.body_owner = exchange;
    if (!may_repeat(admitted.route.kind)) {
        sent.longest_rest = max_idle_for_unrepeatable;
    }
    return sent;
}

}  // namespace wrenswitch
