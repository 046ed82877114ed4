#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"
#include "wrenswitch/decision/gateway/candidate_constraints.hpp"
#include "wrenswitch/decision/placement/engine_profile.hpp"

namespace wrenswitch {

/// Whether a request may be sent again after it reached a target, and whether its response is a
/// stream.
enum class request_kind {
    /// May run more than once.
    repeatable,
    /// Runs at most once.
    single_run,
    /// Runs at most once and responds with a stream of events.
    stream,
    /// A stream that another target can continue after the last event received.
    resumable_stream,
};

/// True if a request of this kind may be sent again after it may have run.
bool may_repeat(request_kind kind);

/// True if the response is a stream of events.
bool is_stream(request_kind kind);

/// A service and its share of the traffic of a route.
struct route_split {
    std::string service;
    double weight = 1.0;
};

/// Routes the requests of one host and path prefix to services, with their limits and objectives.
struct gateway_route {
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::single_run;
    std::vector<route_split> splits;
    microseconds timeout = seconds(60);
    /// The number of targets that one request may be sent to.
    unsigned max_attempts = 1;
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// True if callers need no API key.
    bool is_public = false;
    /// The latency objective for a response, or for the first event of a stream. Zero if there is
    /// none.
    microseconds first_response_objective{};
    /// The longest time between two events of a stream that still meets its objective. Zero if
    /// there is no limit.
    microseconds max_event_gap{};
    /// The regions in which its requests may be processed.
    allowed_regions regions;
    /// True if the regions are configured but cannot be parsed, so that the intended restriction is
    /// unknown.
    bool regions_unreadable = false;
};

/// The warm-up of a service's targets: after a start, or whenever they become cold.
struct target_warmup {
    /// How long a target stays cold after a start.
    microseconds duration{};
    /// The rate that a cold target can handle, from all gateways together. Zero if a cold target
    /// needs no limit.
    double max_requests_per_second = 0.0;

    friend bool operator==(const target_warmup&, const target_warmup&) = default;
};

/// A set of interchangeable targets.
struct gateway_service {
    std::string name;
    /// The connections that one target accepts from all gateways together.
    std::size_t max_connections = 64;
    /// Set if the targets are model engines.
    std::optional<engine_profile> engine;
    target_warmup warmup;
};

/// A client account, its API keys and its prepaid token budget.
struct gateway_account {
    std::string name;
    std::vector<std::string> keys;
    unsigned priority = 0;
    /// Without a budget the account's token usage is not metered.
    std::optional<tokens> prepaid_tokens;
    /// The regions in which its requests may be processed.
    allowed_regions regions;
    /// True if the regions are configured but cannot be parsed, so that the intended restriction is
    /// unknown.
    bool regions_unreadable = false;
};

/// Limits on the requests that callers send.
struct gateway_limits {
    std::size_t max_header_bytes = 32U * 1024U;
    std::size_t max_body_bytes = 4U * 1024U * 1024U;
    microseconds header_timeout = seconds(5);
    microseconds idle_timeout = seconds(60);
};

/// One version of all operator settings of a gateway.
struct gateway_configuration {
    std::uint64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<gateway_service> services;
    std::vector<gateway_account> accounts;
    gateway_limits limits;
};

/// The paths of the region restrictions that could not be parsed, such as `routes/NAME/regions`.
std::vector<std::string> unreadable_region_limits(const gateway_configuration& configuration);

}  // namespace wrenswitch
