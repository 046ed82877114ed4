#include "roles/gateway/gateway.hpp"

#include <algorithm>

#include "wrenswitch/core/exit_codes.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/drivers/settings_watch.hpp"

namespace wrenswitch {
namespace {

/// How often tokens are drawn ahead of need and expired state is removed.
constexpr microseconds tick_period = milliseconds(250);

/// The number of gateways is assumed to be at least this, since some may not have joined yet.
constexpr std::size_t min_gateway_count = 4;

/// How much later than the store's acknowledgement this gateway, or another one before it, may read
/// that a target has left the list.
constexpr microseconds max_list_delay = milliseconds(400);

target_pool_settings pool_settings(const gateway_settings& settings,
                                   const token_allocator_selector& members) {
    target_pool_settings pool;
    pool.failure_domain = settings.failure_domain;
    pool.regions = settings.regions;
    pool.far_round_trip = settings.remote_round_trip;
    pool.unlisted_use = std::max(microseconds(0), settings.target_drain - max_list_delay);
    pool.gateway_count = [&members] {
        // The directory contains this gateway's own record once it has been read. As long as it is
        // empty, the number is unknown.
        const std::size_t known = members.members();
        return known == 0 ? 0 : std::max(min_gateway_count, known);
    };
    pool.peers.gateway_count = [&members] { return members.members(); };
    pool.peers.is_among_first = [&members](std::string_view target, std::size_t count) {
        const std::vector<cluster_member> first = members.ranked_members(target, count);
        return std::any_of(first.begin(), first.end(), [&members](const cluster_member& each) {
            return each.host == members.own_host();
        });
    };
    pool.peers.version = [&members] { return members.version(); };
    return pool;
}

token_allocator_settings make_allocator_settings(const gateway_settings& settings) {
    token_allocator_settings allocators;
    allocators.own_region = settings.regions.region_of(settings.failure_domain);
    allocators.remote_round_trip = settings.remote_round_trip;
    return allocators;
}

/// Looks up the region of an engine. Empty if there are not several regions.
engine_coordinators::region_lookup engine_regions(const gateway_settings& settings,
                                                  const target_pool& targets) {
    if (!settings.regions.has_multiple_regions()) {
        return {};
    }
    return [&targets](std::string_view engine) { return targets.region_of(engine); };
}

/// Link sharing needs up to half a second to answer a flood.
constexpr microseconds shared_link_shed_delay = seconds(1);

/// Tells how far a start came if the process stops or waits before it has started.
void log_opening(std::string_view part, const std::string& address) {
    log_event(log_level::information, "gateway_opening",
              {{"part", std::string(part)}, {"address", address}});
}

link_congestion_settings link_settings(const gateway_settings& settings) {
    link_congestion_settings link;
    link.bytes_per_second = settings.link_bytes_per_second;
    link.is_shared = settings.shares_link;
    if (settings.shares_link) {
        link.shed_delay = shared_link_shed_delay;
    }
    return link;
}

}  // namespace

gateway::gateway(event_loop& loop, const gateway_settings& settings, const gateway_dialect& dialect)
    : loop_(loop),
      settings_(settings),
      dialect_(dialect),
      caller_memory_(settings.limits, metrics_),
      incarnation_(random_.next_id<incarnation_id>()),
      rate_limited_log_(settings.log_requests_per_second, metrics_),
      allocators_(settings.host, make_allocator_settings(settings)),
      region_outages_(std::string(settings.regions.region_of(settings.failure_domain))),
      targets_(pool_settings(settings, allocators_), random_),
      target_list_(targets_, metrics_,
                   {dialect.read_target, [this](const std::string& id) { pools_.erase(id); },
                    [this](const std::string& id) { crashes_.on_unlisted(id); },
                    [this](const std::string& id) { crashes_.on_restarted(id); },
                    [this](std::string_view event, std::initializer_list<log_field> fields) {
                        rate_limited_log_.log_list_change(event, fields);
                    }}),
      coordinators_(allocators_, engine_regions(settings, targets_)),
      lag_monitor_(
          loop, [this] { return context_->active_requests.size(); },
          [this](instant now) {
              admission_.update(now);
              sharing_->observe(now);
          }),
      admission_(
          loop, link_settings(settings), settings.host, rate_limited_log_, metrics_,
          {[this](instant now, std::size_t count) { return sharing_->usage().top(now, count); },
           [this] { return is_open(); }}),
      rollouts_(dialect, settings.exposed_share, metrics_, rollout_hooks()),
      retries_(settings.retry_share, settings.retry_window, metrics_),
      crashes_(
          loop, targets_, metrics_,
          {[this](const target_incarnation& incarnation, std::span<const digest> fingerprints) {
               suspects_->record_crash(incarnation, fingerprints);
           },
           [this](const unconfirmed_response& response) {
               suspects_->record_confirmed(response);
           }}) {
    metrics_.gauge("gateway_retry_share") = settings.retry_share;
    metrics_.gauge("gateway_retry_slack") = settings.retry_slack;
}

gateway::~gateway() {
    *alive_ = false;
}

result<void> gateway::start() {
    log_opening("bus", settings_.bus.endpoint);
    if (result<void> opened = open_bus(); !opened) {
        return opened;
    }
    open_logs();
    open_exchanges();
    open_suspects();
    log_opening("listener", settings_.listen.to_text());
    if (result<void> opened = open_ingress(); !opened) {
        return opened;
    }
    log_opening("admin", settings_.admin.to_text());
    if (result<void> opened = open_admin(); !opened) {
        return opened;
    }
    configuration_follower_->start();
    target_follower_->start();
    suspects_->start();
    version_log_->start();
    ledger_->start();
    members_->start();
    ticker_ = loop_.call_every(tick_period, [this] { tick(); });
    lag_monitor_.start();
    log_event(log_level::information, "gateway_started",
              {{"host", settings_.host},
               {"incarnation", std::to_string(raw(incarnation_))},
               {"listen", settings_.listen.to_text()}});
    return outcome::success();
}

void gateway::tick() {
    const instant now = monotonic_now();
    flush_log();
    caller_memory_.tick(now);
    metrics_.counter("log_lines_unread_total") = dropped_log_lines();
    metrics_.gauge("store_generation") = static_cast<double>(log_->generation());
    grants_->set_append_latency(ledger_->append_time());
    update_isolation();
    watch_start(now);
    update_region_outages();
    tokens_->connect_to_allocators();
    tokens_->return_free_tokens(now);
    ledger_->append_if_due();
    waiters_->serve(now);
    desk_->drop_expired(now);
    retries_.tick(now);
    sharing_->tick(now);
    crashes_.tick(now);
    signals_->tick(now);
    streams_->tick(now);
    update_version_log();
    suspects_->tick(now);
    targets_.refresh_gateway_count(now);
    rollouts_.tick(now);
    for (const std::string& id : targets_.expire_unlisted(now)) {
        pools_.erase(id);
    }
}

int run_gateway(const std::string& path, const std::string& text, const gateway_dialect& dialect) {
    findings problems;
    const std::optional<gateway_settings> settings = read_gateway_settings(text, problems);
    if (!settings) {
        log_event(log_level::error, "settings_refused", {{"findings", problems.to_text()}});
        return exit_bad_settings;
    }
    event_loop loop;
    gateway process(loop, *settings, dialect);
    const result<void> started = process.start();
    if (!started) {
        log_event(log_level::error, "gateway_cannot_start", {{"reason", started.error().message}});
        return exit_unavailable;
    }
    const settings_watch watch(loop, path, text,
                               [&process](const std::string& changed) { process.reload(changed); });
    loop.on_stop_signal([&process] { process.begin_stop(); });
    loop.run();
    log_event(log_level::information, "gateway_stopped", {{"host", settings->host}});
    return exit_done;
}

}  // namespace wrenswitch
