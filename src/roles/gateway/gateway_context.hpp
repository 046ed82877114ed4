#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "roles/gateway/entry_rollouts.hpp"
#include "roles/gateway/event_log.hpp"
#include "roles/gateway/placement_exchange.hpp"
#include "roles/gateway/service_retries.hpp"
#include "roles/gateway/signal_exchange.hpp"
#include "roles/gateway/suspect_exchange.hpp"
#include "roles/gateway/target_ends.hpp"
#include "roles/gateway/token_exchange.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/gateway/answer_times.hpp"
#include "wrenswitch/decision/gateway/configuration_view.hpp"
#include "wrenswitch/decision/gateway/link_watch.hpp"
#include "wrenswitch/decision/gateway/overload_watch.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/gateway/urgency_watch.hpp"
#include "wrenswitch/decision/grants/grant_holder.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/upstream_pool.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

class forwarded_request;

/// What the requests of one gateway share.
struct gateway_context {
    event_loop& loop;
    const gateway_settings& settings;
    const gateway_dialect& dialect;
    active_configuration& configuration;
    target_pool& targets;
    response_time_tracker& plain_answers;
    const overload_detector& overload;
    const link_congestion_detector& link;
    grant_holder& grants;
    token_exchange& tokens;
    placement_exchange& placements;
    entry_rollouts& rollouts;
    service_retries& retries;
    suspect_exchange& suspects;
    target_ends& ends;
    signal_exchange& signals;
    priority_tracker& urgencies;
    random_source& random;
    metrics& counters;
    event_log& events;
    /// The times between events of streams. Thousands come each second, so that it isn't looked up.
    histogram_metric& pauses;
    /// False until the ledger of grants was read once.
    std::function<bool()> grants_known;
    /// True while the log of grants answers.
    std::function<bool()> log_answers;
    /// How far the ledger of grants was read and how old that is, for logs.
    std::function<std::string()> describe_ledger;
    /// Takes in that something came from an engine.
    std::function<void()> heard;
    /// Takes in that an engine can't be connected to and says nothing.
    std::function<void(const std::string& target)> target_silent;
    /// True if this process reaches nobody.
    std::function<bool()> isolated;
    /// The connections to a target.
    std::function<upstream_pool&(const gateway_target&)> pool_of;
    /// Requests under way.
    std::unordered_set<std::shared_ptr<forwarded_request>> requests;
    /// When the last request came.
    instant last_request{};
    /// Set once a planned stop began.
    std::optional<instant> stopping_since;
};

}  // namespace wrenswitch
