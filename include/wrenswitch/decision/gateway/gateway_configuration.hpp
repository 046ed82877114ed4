#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"
#include "wrenswitch/decision/gateway/candidate_limits.hpp"
#include "wrenswitch/decision/placement/engine_shape.hpp"

namespace wrenswitch {

/// What may be done with a request that was already sent to a target.
enum class request_kind {
    /// It may run again.
    repeatable,
    /// It runs once at the most.
    single_run,
    /// It runs once at the most and answers with a stream of events.
    stream,
    /// A stream that may go on at another target behind the last event that came.
    resumable_stream,
};

/// True if a request of this kind may be sent again after it may have run.
bool may_repeat(request_kind kind);

/// True if the answer is a stream of events.
bool is_stream(request_kind kind);

/// One part of the traffic of a route.
struct route_split {
    std::string service;
    double weight = 1.0;
};

/// Where requests of one host and path prefix go, and how.
struct gateway_route {
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::single_run;
    std::vector<route_split> splits;
    microseconds timeout = seconds(60);
    /// The number of targets that one request may be sent to.
    unsigned most_attempts = 1;
    /// 0 is the most urgent.
    unsigned priority = 0;
    /// Open to callers without a key.
    bool is_public = false;
    /// The time within which an answer, or the first event of a stream, is worth all; zero if that
    /// isn't said.
    microseconds first_answer_aim{};
    /// The longest pause between events of a stream that is still in time; zero if any is.
    microseconds longest_pause{};
    /// Where its requests may be.
    allowed_regions regions;
    /// True if something stands there that names no regions: nobody knows what it was to allow.
    bool regions_unreadable = false;
};

/// What a service's targets bear while they are cold: after a start, or whenever they turn cold.
struct target_warmup {
    /// How long a target stays cold after a start.
    microseconds length{};
    /// The requests that a cold one bears in a second, from all entries together; zero if it makes
    /// no difference.
    double requests_per_second = 0.0;

    friend bool operator==(const target_warmup&, const target_warmup&) = default;
};

/// A set of targets that are alike.
struct gateway_service {
    std::string name;
    /// Connections that one target takes from all entries together.
    std::size_t most_connections = 64;
    /// Given if the targets are model engines.
    std::optional<engine_shape> engine;
    target_warmup warmup;
};

/// A client account, its keys and its prepaid budget.
struct gateway_account {
    std::string name;
    std::vector<std::string> keys;
    unsigned priority = 0;
    /// No budget means that nothing is counted.
    std::optional<tokens> prepaid;
    /// Where its requests may be.
    allowed_regions regions;
    /// True if something stands there that names no regions: nobody knows what it was to allow.
    bool regions_unreadable = false;
};

/// What callers may send.
struct gateway_limits {
    std::size_t most_header_bytes = 32U * 1024U;
    std::size_t most_body_bytes = 4U * 1024U * 1024U;
    microseconds head_timeout = seconds(5);
    microseconds idle_timeout = seconds(60);
};

/// Everything that operators set for a gateway, as one version.
struct gateway_configuration {
    std::uint64_t version = 0;
    std::vector<gateway_route> routes;
    std::vector<gateway_service> services;
    std::vector<gateway_account> accounts;
    gateway_limits limits;
};

/// The places of the limits that couldn't be read.
std::vector<std::string> unreadable_limits(const gateway_configuration& configuration);

}  // namespace wrenswitch
