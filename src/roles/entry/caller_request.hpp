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

/// A caller's request after all checks, with everything that its way through the fleet needs.
struct caller_request {
    std::uint64_t number = 0;
    std::string client_account;
    std::string budget;
    std::string service;
    std::string method;
    /// The path at the target.
    std::string path;
    std::string content_type;
    std::string body;
    digest key;
    digest body_digest;
    /// True if the caller chose the key.
    bool keyed = false;
    bool model = true;
    bool streamed = false;
    bool repeatable = true;
    std::uint32_t priority = 0;
    /// The most that it can cost.
    tokens bound = 0;
    tokens fixed_cost = 0;
    microseconds deadline{0};
    /// A hash of the prompt's beginning, for the prefix cache.
    std::uint64_t prefix = 0;
    /// The first chunk that the caller has not seen yet.
    std::uint32_t from_chunk = 0;
};

/// What reading a request needs besides the request itself.
struct caller_request_context {
    const configuration& config;
    random_source& random;
    microseconds default_deadline;
};

/// A checked request, or the error that the caller gets.
using caller_request_result =
    outcome::basic_result<caller_request, api_error, outcome::policy::all_narrow>;

/// Reads POST /v1/chat/completions, /v1/completions or /v1/services/SERVICE/PATH.
caller_request_result read_caller_request(const http_exchange& exchange,
                                          const caller_request_context& context);

/// The client account whose key a request carries, or the error that the caller gets.
const client_account* authenticate(const http_exchange& exchange, const configuration& config);

}  // namespace wrenswitch
