#pragma once

#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch {

/// Whether a request that failed ran.
enum class request_fate { not_run, unknown };

/// An error as a caller gets it, in the shape that client libraries of the completions API expect.
struct api_error {
    unsigned status = 500;
    /// A machine-readable reason.
    std::string code;
    std::string message;
    request_fate fate = request_fate::not_run;
    /// When to come back; zero if coming back is of no use.
    microseconds retry_after{0};

    /// The body of the reply.
    std::string to_json() const;

    /// Sends it.
    void send(http_exchange& exchange, std::string_view request_name) const;
};

}  // namespace wrenswitch
