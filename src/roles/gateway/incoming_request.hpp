#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

/// What a caller's request says, in the gateway's own terms.
struct incoming_request {
    std::string id;
    std::string host;
    /// Without the query.
    std::string path;
    std::string key;
    /// How long the caller will wait, if it says so.
    std::optional<microseconds> deadline;
    prompt_profile prompt;
    /// The last event that the caller has of a stream that it resumes, or an empty text.
    std::string last_event;
};

/// Reads a request's head. An error says what is malformed.
result<incoming_request> read_incoming(const message_head& head, const gateway_dialect& dialect);

/// The headers that a target is sent whatever the attempt: the caller's, less those of one
/// connection, those that only the gateway may set, and the caller's key.
std::vector<http_header> passed_headers(const message_head& head, const gateway_dialect& dialect);

/// The headers of a target's answer that the caller gets.
std::vector<http_header> answer_headers(const message_head& head, const gateway_dialect& dialect);

}  // namespace wrenswitch
