#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

/// The fields of a caller's request, independent of the platform's header names.
struct incoming_request {
    std::string id;
    std::string host;
    /// Without the query.
    std::string path;
    std::string key;
    /// How long the caller will wait, if the request states it.
    std::optional<microseconds> deadline;
    prompt_profile prompt;
    /// The identifier of the last event that the caller received of a stream that it resumes, or an
    /// empty string.
    std::string last_event;
    /// The identifier of the request whose response brought the first event of the stream that the
    /// caller resumes, or an empty string.
    std::string resumed_request;

    /// True if the caller resumes a stream of which it has received events.
    bool resumes_stream() const { return !last_event.empty() || !resumed_request.empty(); }
};

/// Parses the head of a request. The error says what is malformed.
result<incoming_request> parse_incoming_request(const message_head& head,
                                                const gateway_dialect& dialect);

/// The headers that each attempt sends to its target: those of the caller except hop-by-hop
/// headers, headers that only the gateway may set, and the caller's key.
std::vector<http_header> forwarded_request_headers(const message_head& head,
                                                   const gateway_dialect& dialect);

/// The headers of a target's response that the caller receives.
std::vector<http_header> caller_response_headers(const message_head& head,
                                                 const gateway_dialect& dialect);

}  // namespace wrenswitch
