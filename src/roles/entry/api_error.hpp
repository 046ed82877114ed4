#pragma once

#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch {

/// Whether a failed request may have been executed by its target.
enum class execution_status { not_run, unknown };

/// An error response to a caller, in the format that client libraries of the completions API
/// expect.
struct api_error {
    unsigned status = 500;
    /// Machine-readable error code.
    std::string code;
    std::string message;
    execution_status execution = execution_status::not_run;
    /// Value of the Retry-After header; zero if a retry cannot succeed.
    microseconds retry_after{0};

    /// Returns the response body.
    std::string to_json() const;

    /// Sends the error as the response to `exchange`, with `request_id` in X-Request-Id.
    void send(http_exchange& exchange, std::string_view request_id) const;
};

}  // namespace wrenswitch
