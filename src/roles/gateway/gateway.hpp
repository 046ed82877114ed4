#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "roles/gateway/caller_admission.hpp"
#include "roles/gateway/forwarded_request.hpp"
#include "roles/gateway/gateway_context.hpp"
#include "roles/gateway/gateway_rollouts.hpp"
#include "roles/gateway/link_sharing.hpp"
#include "roles/gateway/loop_lag_monitor.hpp"
#include "roles/gateway/rate_limited_log.hpp"
#include "roles/gateway/signal_exchange.hpp"
#include "roles/gateway/start_watch.hpp"
#include "roles/gateway/stream_exchange.hpp"
#include "roles/gateway/suspect_exchange.hpp"
#include "roles/gateway/target_crash_detector.hpp"
#include "roles/gateway/target_list.hpp"
#include "roles/shared/caller_memory.hpp"
#include "wrenswitch/decision/gateway/isolation_detector.hpp"
#include "wrenswitch/decision/gateway/region_outage_detector.hpp"
#include "wrenswitch/decision/gateway/response_time_tracker.hpp"
#include "wrenswitch/decision/streams/route_services.hpp"
#include "wrenswitch/drivers/grant_ledger.hpp"
#include "wrenswitch/drivers/http_server.hpp"
#include "wrenswitch/drivers/ingress_server.hpp"
#include "wrenswitch/drivers/member_directory.hpp"
#include "wrenswitch/drivers/shared_log.hpp"
#include "wrenswitch/drivers/version_log.hpp"

namespace wrenswitch {

/// The gateway process: it follows the platform's logs, holds the token grants of this host, and
/// forwards requests of callers to targets.
class gateway {
public:
    gateway(event_loop& loop, const gateway_settings& settings, const gateway_dialect& dialect);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Binds all addresses and starts to follow the logs. Returns an error if an address cannot be
    /// bound.
    result<void> start();

    /// Applies the new text of the settings file.
    void reload(const std::string& text);

    /// Starts a planned shutdown: the gateway becomes not ready, drains its connections and returns
    /// its grants, then the event loop ends.
    void begin_stop();

private:
    result<void> open_bus();
    void open_logs();
    void open_exchanges();
    void open_streams();
    bool writes_version(std::string_view key) const;
    bool is_version_log_current() const;
    void update_version_log();
    version_set unrecorded_versions(const std::string& service) const;
    bool is_target_list_current() const;
    void apply_target_record(const keyed_record& record);
    result<void> open_ingress();
    result<void> open_admin();
    void open_metrics();
    /// Refuses a request because the memory for what callers send is short.
    head_decision refuse_for_shortage(const message_head& head);
    ingress_options make_ingress_options();
    ingress_limits current_limits() const;
    bool is_open();
    std::vector<std::string_view> missing_parts();
    void watch_start(instant now);
    void serve_admin(const http_exchange_pointer& exchange);

    void configuration_changed(const keyed_record& record);
    void warn_of_large_bodies(const gateway_configuration& current) const;
    void apply_evacuation_record(const std::string& failure_domain, const keyed_record& record);
    gateway_rollouts::hooks rollout_hooks();
    rollout_target_counts count_targets(const rollout_order& order);
    void on_orders_read();
    void on_targets_read();
    void apply_configuration();
    void open_suspects();
    void abort_quarantined(const digest& fingerprint);
    void on_coordinator_unresponsive(const std::string& host, bool others_answered);
    void on_coordinator_responded(const std::string& host);
    void on_peer_unresponsive(const std::string& peer);
    bool is_isolated();
    void update_isolation();
    void update_region_outages();
    const engine_profile* engine_profile_of(const std::string& service) const;
    std::vector<std::string> relay_endpoints() const;
    upstream_pool& pool_of(const gateway_target& target);

    std::vector<grant_record> compose_grants();
    std::string describe_ledger() const;
    void grants_changed();
    void tick();
    void check_shutdown();
    bool is_work_done() const;
    void end_remaining_requests();
    void log_stop_end(microseconds since) const;

    event_loop& loop_;
    gateway_settings settings_;
    const gateway_dialect& dialect_;
    metrics metrics_;
    caller_memory caller_memory_;
    random_source random_;
    incarnation_id incarnation_;
    rate_limited_log rate_limited_log_;

    std::unique_ptr<message_bus> bus_;
    arrival_watch arrivals_;
    std::unique_ptr<service_channel> direct_channel_;
    std::unique_ptr<relayed_channel> channel_;
    std::unique_ptr<keyed_log> log_;
    std::unique_ptr<shared_log> shared_log_;
    std::unique_ptr<keyed_follower> configuration_follower_;
    std::unique_ptr<keyed_follower> target_follower_;
    std::unique_ptr<grant_ledger> ledger_;
    std::unique_ptr<grant_holder> grants_;
    std::unique_ptr<token_wait_queue> waiters_;
    std::unique_ptr<member_directory> members_;
    token_allocator_selector allocators_;
    region_outage_detector region_outages_;
    std::unique_ptr<token_exchange> tokens_;

    active_configuration configuration_;
    target_pool targets_;
    target_list target_list_;
    response_time_tracker plain_response_times_;
    priority_tracker priorities_;
    engine_coordinators coordinators_;
    loop_lag_monitor lag_monitor_;
    caller_admission admission_;
    std::unique_ptr<link_sharing> sharing_;
    std::unique_ptr<placement_coordinator> desk_;
    std::unique_ptr<placement_exchange> placements_;
    gateway_rollouts rollouts_;
    service_retry_budgets retries_;
    std::unique_ptr<suspect_exchange> suspects_;
    target_crash_detector crashes_;
    std::unique_ptr<signal_exchange> signals_;
    std::unique_ptr<stream_exchange> streams_;
    std::unique_ptr<version_log> version_log_;
    route_services services_of_routes_;
    isolation_detector isolation_;
    bool was_isolated_ = false;
    start_watch start_watch_;
    /// True while targets of a new version are held back until the rollout orders have been read.
    bool waits_for_orders_ = false;
    bool grant_log_reachable_ = true;
    std::map<std::string, std::unique_ptr<upstream_pool>> pools_;
    response_memory response_memory_{max_held_response_bytes};
    std::unique_ptr<gateway_context> context_;

    std::unique_ptr<ingress_server> ingress_;
    std::unique_ptr<http_server> admin_;
    std::unique_ptr<http_server> metrics_server_;
    std::unique_ptr<timer> ticker_;
    bool stopping_ = false;
    instant stop_began_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
