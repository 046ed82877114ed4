#pragma once

#include <cstdint>
#include <string>

#include "roles/entry/api_error.hpp"
#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"
#include "wrenswitch/decision/control/configuration.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch {

/// A validated caller request with everything needed to reserve tokens for it and dispatch it.
struct caller_request {
    std::uint64_t number = 0;
    std::string client_account;
    std::string budget;
    std::string service;
    std::string method;
    /// The path to request from the target.
    std::string path;
    std::string content_type;
    std::string body;
    digest key;
    digest body_digest;
    /// True if the caller sent an Idempotency-Key; otherwise `key` is random.
    bool caller_keyed = false;
    bool model = true;
    bool streamed = false;
    bool repeatable = true;
    std::uint32_t priority = 0;
    /// Upper bound of the cost.
    tokens bound = 0;
    tokens fixed_cost = 0;
    microseconds deadline{0};
    /// Hash of the start of the prompt, used to route by prefix cache.
    std::uint64_t prefix = 0;
    /// Index of the first response chunk to send; above zero if the caller resumes with
    /// Last-Event-ID.
    std::uint32_t from_chunk = 0;
};

/// Inputs for parsing a request besides the HTTP exchange.
struct caller_request_context {
    const configuration& config;
    random_source& random;
    microseconds default_deadline;
};

/// A validated request, or the error to send to the caller.
using caller_request_result =
    outcome::basic_result<caller_request, api_error, outcome::policy::all_narrow>;

/// Authenticates, parses and validates POST /v1/chat/completions, POST /v1/completions or a request
/// to /v1/services/SERVICE/PATH. Takes the body out of the exchange.
caller_request_result parse_caller_request(http_exchange& exchange,
                                           const caller_request_context& context);

/// Returns the client account that the bearer key of a request belongs to, or null if the key is
/// missing or unknown.
const client_account* authenticate(const http_exchange& exchange, const configuration& config);

}  // namespace wrenswitch
