#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "roles/gateway/caller_admission.hpp"
#include "roles/gateway/held_response.hpp"
#include "roles/gateway/link_sharing.hpp"
#include "roles/gateway/placement_exchange.hpp"
#include "roles/gateway/rate_limited_log.hpp"
#include "roles/gateway/rollout_gates.hpp"
#include "roles/gateway/service_retry_budgets.hpp"
#include "roles/gateway/signal_exchange.hpp"
#include "roles/gateway/stream_exchange.hpp"
#include "roles/gateway/suspect_exchange.hpp"
#include "roles/gateway/target_crash_detector.hpp"
#include "roles/gateway/token_exchange.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/gateway/active_configuration.hpp"
#include "wrenswitch/decision/gateway/link_congestion_detector.hpp"
#include "wrenswitch/decision/gateway/overload_detector.hpp"
#include "wrenswitch/decision/gateway/priority_tracker.hpp"
#include "wrenswitch/decision/gateway/response_time_tracker.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/grants/grant_holder.hpp"
#include "wrenswitch/decision/streams/route_services.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/upstream_pool.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

class forwarded_request;

/// The state and services that all requests of one gateway share.
struct gateway_context {
    event_loop& loop;
    const gateway_settings& settings;
    const gateway_dialect& dialect;
    active_configuration& configuration;
    target_pool& targets;
    response_time_tracker& plain_response_times;
    const overload_detector& overload;
    const link_congestion_detector& link;
    caller_admission& admission;
    link_sharing& sharing;
    grant_holder& grants;
    token_exchange& tokens;
    placement_exchange& placements;
    rollout_gates& rollouts;
    service_retry_budgets& retries;
    suspect_exchange& suspects;
    target_crash_detector& crashes;
    signal_exchange& signals;
    stream_exchange& streams;
    const route_services& services_of_routes;
    priority_tracker& priorities;
    random_source& random;
    metrics& counters;
    rate_limited_log& log;
    /// The histogram of the times between events of streams. It is kept here to save a lookup for
    /// each of thousands of events a second.
    histogram_metric& event_gaps;
    /// False until the ledger of grants has been read once.
    std::function<bool()> grants_loaded;
    /// True while the log of grants is reachable.
    std::function<bool()> grant_log_reachable;
    /// Formats the position up to which the ledger of grants was read and the age of that read, for
    /// logs.
    std::function<std::string()> describe_ledger;
    /// Records that a response of an engine arrived.
    std::function<void()> record_engine_contact;
    /// Records that a connection attempt to an engine got no response.
    std::function<void(const std::string& target)> record_unresponsive_target;
    /// True if this process reaches no other process.
    std::function<bool()> is_isolated;
    /// The connection pool of a target.
    std::function<upstream_pool&(const gateway_target&)> pool_of;
    /// The present versions of a service at which no resumable stream may begin yet.
    std::function<version_set(const std::string& service)> unrecorded_versions;
    /// Holds responses until they are complete.
    response_memory& responses;
    /// The requests that have not ended.
    std::unordered_set<std::shared_ptr<forwarded_request>> active_requests;
    /// When the last request arrived.
    instant last_request_at{};
    /// When the planned shutdown began, if it has.
    std::optional<instant> stopping_since;
};

}  // namespace wrenswitch
