#include "roles/gateway/gateway.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <utility>

#include "roles/gateway/http_status.hpp"
#include "roles/gateway/relay_selection.hpp"
#include "wrenswitch/core/exit_codes.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/drivers/log_call_counts.hpp"
#include "wrenswitch/drivers/settings_watch.hpp"

namespace wrenswitch {
namespace {

/// How often tokens are drawn ahead of need and expired state is removed.
constexpr microseconds tick_period = milliseconds(250);

/// Every target renews its entry in the list about once a second, so the list is read in pages.
constexpr microseconds target_read_pause = milliseconds(250);

/// How long a target missing from a restored store is kept. Running targets rewrite their entries
/// within two seconds of the store's return.
constexpr microseconds lost_target_timeout = seconds(3);

/// How often a stopping gateway checks whether it can exit.
constexpr microseconds shutdown_poll_period = milliseconds(50);

/// The share of the link that pages of logs for other gateways may use.
constexpr double shared_reads_link_share = 0.25;

/// How many gateways are expected to share the connections of a target.
constexpr std::size_t connection_sharers = 6;

/// The number of gateways is assumed to be at least this, since some may not have joined yet.
constexpr std::size_t min_gateway_count = 4;

/// How many unreadable limits of one configuration are logged individually; all are counted.
constexpr std::size_t max_logged_limits = 5;

target_pool_settings pool_settings(const gateway_settings& settings,
                                   const token_allocator_selector& members) {
    target_pool_settings pool;
    pool.failure_domain = settings.failure_domain;
    pool.regions = settings.regions;
    pool.far_round_trip = settings.remote_round_trip;
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

link_congestion_settings link_settings(const gateway_settings& settings) {
    link_congestion_settings link;
    link.bytes_per_second = settings.link_bytes_per_second;
    link.is_shared = settings.shares_link;
    if (settings.shares_link) {
        link.shed_delay = shared_link_shed_delay;
    }
    return link;
}

shared_log_settings sharing_settings(const gateway_settings& settings, std::string member_log) {
    shared_log_settings sharing;
    sharing.member_log = std::move(member_log);
    sharing.own_host = settings.host;
    sharing.failure_domain = settings.failure_domain;
    sharing.server.bytes_per_second = settings.link_bytes_per_second * shared_reads_link_share;
    return sharing;
}

/// Creates a hook that logs when a log becomes unreachable or reachable again.
std::function<void(bool)> reachable_hook(const std::string& log) {
    return [log](bool reachable) {
        log_event(reachable ? log_level::information : log_level::warning,
                  reachable ? "log_regained" : "log_lost", {{"log", log}});
    };
}

token_exchange_settings exchange_settings(const gateway_settings& settings) {
    token_exchange_settings exchange;
    exchange.wait_timeout = settings.token_wait;
    exchange.short_wait_timeout = settings.short_token_wait;
    return exchange;
}

}  // namespace

gateway::gateway(event_loop& loop, const gateway_settings& settings, const gateway_dialect& dialect)
    : loop_(loop),
      settings_(settings),
      dialect_(dialect),
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
      crashes_(loop, targets_, metrics_,
               {[this](const target_incarnation& incarnation, std::span<const digest> requests) {
                   suspects_->record_crash(incarnation, requests);
               }}) {
    metrics_.gauge("gateway_retry_share") = settings.retry_share;
    metrics_.gauge("gateway_retry_slack") = settings.retry_slack;
}

gateway::~gateway() {
    *alive_ = false;
}

result<void> gateway::start() {
    if (result<void> opened = open_bus(); !opened) {
        return opened;
    }
    open_logs();
    open_exchanges();
    open_suspects();
    if (result<void> opened = open_servers(); !opened) {
        return opened;
    }
    configuration_follower_->start();
    target_follower_->start();
    suspects_->start();
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

result<void> gateway::open_bus() {
    result<std::unique_ptr<message_bus>> opened = message_bus::open(loop_, settings_.bus);
    if (!opened) {
        return opened.error();
    }
    bus_ = std::move(opened.value());
    bus_->on_message([this](const message_origin& origin, const wire::Envelope& message) {
        if (message.has_relay_reply()) {
            channel_->on_reply(message);
        } else if (!placements_->on_message(origin, message) &&
                   !shared_log_->on_message(origin, message) &&
                   !rollouts_.on_message(origin, message) &&
                   !suspects_->on_message(origin, message) &&
                   !signals_->on_message(origin, message) &&
                   !admission_.on_message(origin, message)) {
            tokens_->on_message(origin, message);
        }
    });
    bus_->on_undelivered([this](const std::string&, const wire::Envelope& message) {
        tokens_->on_undelivered(message);
    });
    return outcome::success();
}

void gateway::open_logs() {
    direct_channel_ = make_direct_channel(loop_, settings_.service, arrivals_);
    channel_ = std::make_unique<relayed_channel>(
        loop_, *direct_channel_, *bus_, [this] { return relay_endpoints(); }, dialect_.make_probe,
        arrivals_, metrics_, relayed_channel_settings{});
    log_ = dialect_.make_log(*channel_, keyed_log_timeouts{},
                             [this](const keyed_log_call& call) { count_call(metrics_, call); });
    shared_log_ = std::make_unique<shared_log>(loop_, *log_, *bus_, allocators_, metrics_,
                                               sharing_settings(settings_, dialect_.member_log));
    configuration_follower_ = std::make_unique<keyed_follower>(
        loop_, *shared_log_,
        keyed_follower_settings{.log = dialect_.configuration_log, .only_newest = true},
        keyed_follower_hooks{[this](const keyed_record& record) { configuration_changed(record); },
                             [this] { on_orders_read(); },
                             reachable_hook(dialect_.configuration_log)});
    target_follower_ = std::make_unique<keyed_follower>(
        loop_, *shared_log_,
        keyed_follower_settings{.log = dialect_.target_log,
                                .pause = target_read_pause,
                                .lost_key_timeout = lost_target_timeout},
        keyed_follower_hooks{
            [this](const keyed_record& record) { target_list_.apply(monotonic_now(), record); },
            [] {}, reachable_hook(dialect_.target_log)});
    ledger_ = std::make_unique<grant_ledger>(
        loop_, *shared_log_, dialect_.grant_log, metrics_,
        grant_ledger_hooks{
            [this] { return compose_grants(); }, [this] { grants_changed(); },
            [this] { grants_->on_append_resolved(); },
            [this, log_reachability = reachable_hook(dialect_.grant_log)](bool reachable) {
                grant_log_reachable_ = reachable;
                log_reachability(reachable);
            },
            settings_.host});
    grants_ = std::make_unique<grant_holder>(settings_.host, incarnation_, settings_.grants,
                                             ledger_->table());
    waiters_ = std::make_unique<token_wait_queue>(*grants_);
}

void gateway::open_exchanges() {
    const std::string& endpoint =
        settings_.member_endpoint.empty() ? bus_->endpoint() : settings_.member_endpoint;
    const cluster_member own{settings_.host,
                             incarnation_,
                             endpoint,
                             settings_.capacity,
                             settings_.failure_domain,
                             std::string(settings_.regions.region_of(settings_.failure_domain)),
                             {},
                             true};
    members_ = std::make_unique<member_directory>(
        loop_, *shared_log_, dialect_.member_log, own,
        member_directory_hooks{
            [this](const cluster_member& member) {
                allocators_.apply(member);
                rate_limited_log_.log_list_change(
                    "member_joined", {{"host", member.host},
                                      {"incarnation", std::to_string(raw(member.process))},
                                      {"endpoint", member.endpoint}});
            },
            [this](const std::string& host) {
                allocators_.remove(host);
                rate_limited_log_.log_list_change("member_left", {{"host", host}});
            },
            reachable_hook(dialect_.member_log)},
        settings_.regions.has_multiple_regions());
    tokens_ = std::make_unique<token_exchange>(
        loop_, *bus_, allocators_, *grants_, *waiters_, metrics_, exchange_settings(settings_),
        token_exchange::hooks{
            [this] { ledger_->append_if_due(); }, [this] { return ledger_->live() && !stopping_; },
            [this] { return grant_log_reachable_; }, [this] { return admission_.link().is_full(); },
            [this](const std::string& host) { on_peer_unresponsive(host); }});
    desk_ = std::make_unique<placement_coordinator>(targets_, coordinators_, metrics_,
                                                    &rate_limited_log_);
    placements_ = std::make_unique<placement_exchange>(
        loop_, *bus_, targets_, coordinators_, *desk_, metrics_,
        placement_exchange::hooks{
            [this](const std::string& service) { return engine_profile_of(service); },
            [this](const std::string& host, bool others_answered) {
                on_coordinator_unresponsive(host, others_answered);
            },
            [this](const std::string& host) { on_coordinator_responded(host); },
            [this](const cluster_member& coordinator) {
                return allocators_.round_trip(coordinator);
            },
            [this](const cluster_member& coordinator, microseconds duration) {
                allocators_.record_round_trip(coordinator, duration);
            }});
    signals_ = std::make_unique<signal_exchange>(loop_, *bus_, allocators_, targets_,
                                                 rate_limited_log_, metrics_);
    rollouts_.open(loop_, *shared_log_, *bus_, allocators_, incarnation_);
    admission_.open_exchange(*bus_, allocators_, settings_.failure_domain, incarnation_);
    grants_->set_draw_ahead_filter([this](const std::string& account) {
        return allocators_.is_allocator(monotonic_now(), account);
    });
}

void gateway::open_suspects() {
    suspects_ = std::make_unique<suspect_exchange>(
        loop_, *shared_log_, dialect_.suspect_log, *bus_, allocators_, metrics_,
        suspect_exchange::hooks{[this](const digest& request) { abort_quarantined(request); },
                                reachable_hook(dialect_.suspect_log)});
}

void gateway::abort_quarantined(const digest& request) {
    const std::vector<std::shared_ptr<forwarded_request>> requests(
        context_->active_requests.begin(), context_->active_requests.end());
    for (const std::shared_ptr<forwarded_request>& each : requests) {
        each->abort_if_quarantined(request);
    }
}

result<void> gateway::open_servers() {
    sharing_ = std::make_unique<link_sharing>(link_sharing::parts{
        loop_, settings_, dialect_, configuration_, metrics_, rate_limited_log_, [this] {
            return link_bytes{bus_->bytes_received(), bus_->bytes_sent()};
        }});
    context_ = std::make_unique<gateway_context>(gateway_context{
        loop_,
        settings_,
        dialect_,
        configuration_,
        targets_,
        plain_response_times_,
        lag_monitor_.overload(),
        admission_.link(),
        admission_,
        *sharing_,
        *grants_,
        *tokens_,
        *placements_,
        rollouts_.gates(),
        retries_,
        *suspects_,
        crashes_,
        *signals_,
        priorities_,
        random_,
        metrics_,
        rate_limited_log_,
        metrics_.histogram("gateway_pause_ms"),
        [this] { return ledger_->live(); },
        [this] { return grant_log_reachable_; },
        [this] { return describe_ledger(); },
        [this] { isolation_.record_contact(monotonic_now()); },
        [this](const std::string& target) { on_peer_unresponsive(target); },
        [this] { return is_isolated(); },
        [this](const gateway_target& target) -> upstream_pool& { return pool_of(target); },
        {},
        {},
        std::nullopt});
    auto ingress = ingress_server::start(
        loop_, settings_.listen.host, settings_.listen.port, [this] { return current_limits(); },
        [this](const ingress_exchange_pointer& exchange) {
            std::make_shared<forwarded_request>(*context_, exchange)->start();
        },
        sharing_->make_ingress_options());
    if (!ingress) {
        return ingress.error();
    }
    ingress_ = std::move(ingress.value());
    admission_.set_server(*ingress_);
    http_server_settings admin;
    admin.address = settings_.admin.host;
    admin.port = settings_.admin.port;
    auto server = http_server::start(
        loop_, admin, [this](const http_exchange_pointer& exchange) { serve_admin(exchange); });
    if (!server) {
        return server.error();
    }
    admin_ = std::move(server.value());
    open_metrics();
    return outcome::success();
}

/// Serves the metrics on a separate port as well, for scrapers that can't be configured to use the
/// admin port. The gateway works without it if the port is taken.
void gateway::open_metrics() {
    if (settings_.metrics_port == 0) {
        return;
    }
    http_server_settings settings;
    settings.address = settings_.admin.host;
    settings.port = settings_.metrics_port;
    auto server = http_server::start(
        loop_, settings, [this](const http_exchange_pointer& exchange) { serve_admin(exchange); });
    if (!server) {
        log_event(log_level::warning, "metrics_port_taken", {{"reason", server.error().message}});
        return;
    }
    metrics_server_ = std::move(server.value());
}

ingress_limits gateway::current_limits() const {
    const gateway_limits& limits = configuration_.current().limits;
    return {limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout,
            limits.idle_timeout};
}

/// True if the gateway is ready, as far as that doesn't depend on its link.
bool gateway::is_open() {
    return !stopping_ && configuration_.is_loaded() && ledger_->live() &&
           target_follower_->live() && suspects_->ready() && !is_isolated();
}

void gateway::serve_admin(const http_exchange_pointer& exchange) {
    if (exchange->path() == dialect_.ready_path) {
        const bool is_ready = is_open() && admission_.accepts_callers();
        exchange->reply(is_ready ? status_ok : status_unavailable, {}, is_ready ? "ready\n" : "\n");
        return;
    }
    if (exchange->path() == "/metrics") {
        metrics_.gauge("gateway_requests_under_way") =
            static_cast<double>(context_->active_requests.size());
        metrics_.gauge("gateway_refused_share") = lag_monitor_.overload().refused_share();
        metrics_.gauge("gateway_connections") = static_cast<double>(ingress_->connections());
        admission_.export_gauges();
        exchange->reply(status_ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                        metrics_.to_prometheus_text());
        return;
    }
    exchange->reply(status_not_found, {}, "");
}

/// Handles an order to evacuate a failure domain, or its withdrawal. A record that can't be read
/// leaves the previous state in force.
void gateway::apply_evacuation_record(const std::string& failure_domain,
                                      const keyed_record& record) {
    if (record.value) {
        if (const result<void> read = dialect_.read_evacuation(*record.value); !read) {
            metrics_.counter("gateway_emptied_records_unreadable_total") += 1;
            log_event(log_level::error, "failure_domain_record_unreadable",
                      {{"failure_domain", failure_domain},
                       {"offset", std::to_string(record.offset)},
                       {"reason", read.error().message}});
            return;
        }
    }
    const bool emptied = record.value.has_value();
    if (!targets_.set_evacuated(monotonic_now(), failure_domain, emptied)) {
        return;
    }
    const std::vector<gateway_target> listed = targets_.listed();
    const auto count = std::count_if(listed.begin(), listed.end(), [&](const gateway_target& each) {
        return each.failure_domain == failure_domain;
    });
    log_event(log_level::information, emptied ? "failure_domain_emptied" : "failure_domain_back",
              {{"failure_domain", failure_domain},
               {"offset", std::to_string(record.offset)},
               {"targets", std::to_string(count)}});
}

void gateway::configuration_changed(const keyed_record& record) {
    if (const auto emptied = dialect_.evacuated_domain(record.key)) {
        apply_evacuation_record(*emptied, record);
        return;
    }
    if (rollouts_.on_configuration_record(monotonic_now(), record) ||
        record.key != dialect_.configuration_key || !record.value) {
        return;
    }
    result<gateway_configuration> read = dialect_.read_configuration(*record.value);
    if (!read) {
        metrics_.counter("gateway_configurations_unreadable_total") += 1;
        log_event(log_level::error, "configuration_unreadable",
                  {{"offset", std::to_string(record.offset)}, {"reason", read.error().message}});
        return;
    }
    if (!configuration_.apply(std::move(read.value()))) {
        return;
    }
    apply_configuration();
    const gateway_configuration& current = configuration_.current();
    const std::vector<std::string> unreadable = unreadable_region_limits(current);
    metrics_.counter("gateway_limits_unreadable_total") += unreadable.size();
    for (const std::string& place :
         std::span(unreadable).first(std::min(max_logged_limits, unreadable.size()))) {
        log_event(log_level::error, "limit_unreadable",
                  {{"version", std::to_string(current.version)}, {"place", place}});
    }
    log_event(log_level::information, "configuration_applied",
              {{"version", std::to_string(current.version)},
               {"bytes", std::to_string(record.value->size())},
               {"routes", std::to_string(current.routes.size())},
               {"accounts", std::to_string(current.accounts.size())}});
}

void gateway::apply_configuration() {
    for (const gateway_service& service : configuration_.current().services) {
        targets_.set_warmup(monotonic_now(), service.name, service.warmup);
    }
    for (const gateway_account& account : configuration_.current().accounts) {
        if (account.prepaid_tokens) {
            grants_->set_limit(account.name, *account.prepaid_tokens);
        }
    }
    ledger_->append_if_due();
    waiters_->serve(monotonic_now());
}

/// A coordinator may also be an allocator, and one that is unresponsive in one role is so in the
/// other. A gateway that lags took 37 to 86 coordinators for lost within ten seconds because it had
/// not read their replies.
void gateway::on_coordinator_unresponsive(const std::string& host, bool others_answered) {
    if (others_answered && !admission_.link().is_full() &&
        allocators_.record_failure(monotonic_now(), host)) {
        log_event(log_level::warning, "engine_keeper_lost", {{"keeper", host}});
    }
    on_peer_unresponsive(host);
}

void gateway::on_coordinator_responded(const std::string& host) {
    if (allocators_.record_answer(host)) {
        log_event(log_level::information, "engine_keeper_regained", {{"keeper", host}});
    }
}

void gateway::on_peer_unresponsive(const std::string& peer) {
    isolation_.record_unresponsive(peer);
    update_isolation();
}

bool gateway::is_isolated() {
    // A reply that saturates the link delays all others, so a partial reply also shows that the
    // service can be reached.
    isolation_.record_contact(std::max({ledger_->last_answer(), target_follower_->last_answer(),
                                        configuration_follower_->last_answer(),
                                        arrivals_.last_piece().value_or(instant{})}));
    return isolation_.is_isolated(monotonic_now());
}

/// Handles a change of isolation. An isolated gateway refuses the requests that wait for other
/// processes, so that the callers can use another gateway, and its readiness removes it from the
/// platform's load balancer.
void gateway::update_isolation() {
    const std::size_t unresponsive = isolation_.unresponsive_peers();
    const bool isolated_now = is_isolated();
    if (isolated_now) {
        tokens_->refuse_waiting();
    }
    if (isolated_now == std::exchange(was_isolated_, isolated_now)) {
        return;
    }
    const microseconds silence = monotonic_now() - isolation_.last_contact();
    log_event(
        log_level::warning, isolated_now ? "isolated" : "reaches_others",
        {{"silent_peers", std::to_string(unresponsive)}, {"last_heard_ms", millis_text(silence)}});
}

void gateway::update_region_outages() {
    for (const region_status_change& change :
         region_outages_.update(monotonic_now(), allocators_.call_counts())) {
        if (change.unreachable) {
            metrics_.counter("gateway_regions_cut_off_total") += 1;
        }
        log_event(log_level::warning, change.unreachable ? "region_cut_off" : "region_back",
                  {{"region", change.region},
                   {"silent", std::to_string(change.unresponsive)},
                   {"members", std::to_string(change.members)},
                   {"since_ms", millis_text(change.duration)}});
    }
    metrics_.gauge("gateway_regions_cut_off") =
        static_cast<double>(region_outages_.unreachable_count());
}

const engine_profile* gateway::engine_profile_of(const std::string& service) const {
    const gateway_service* known = configuration_.find_service(service);
    return known == nullptr || !known->engine ? nullptr : &*known->engine;
}

std::vector<std::string> gateway::relay_endpoints() const {
    return select_relays(settings_, configuration_, targets_.listed());
}

upstream_pool& gateway::pool_of(const gateway_target& target) {
    std::unique_ptr<upstream_pool>& pool = pools_[target.id];
    if (!pool) {
        const result<http_address> address = http_address::parse(target.address);
        const gateway_service* service = configuration_.find_service(target.service);
        upstream_pool_settings settings;
        if (service != nullptr) {
            settings.most_connections =
                std::max<std::size_t>(4, service->max_connections / connection_sharers);
        }
        pool = std::make_unique<upstream_pool>(loop_, address ? address.value() : http_address{},
                                               settings);
    }
    return *pool;
}

std::vector<grant_record> gateway::compose_grants() {
    std::vector<grant_record> records = grants_->compose_records(monotonic_now());
    for (const grant_record& record : records) {
        const grant before = ledger_->table().find(record.key);
        rate_limited_log_.log_routine(
            "grant_asked",
            {{"account", record.key.account},
             {"at", std::to_string(ledger_->position())},
             {"change", std::to_string(record.value.granted - before.granted)},
             {"granted_here", std::to_string(record.value.granted)},
             {"spent_here", std::to_string(record.value.spent)},
             {"granted", std::to_string(ledger_->table().granted(record.key.account))},
             {"limit", std::to_string(grants_->limit(record.key.account))},
             {"reserved", std::to_string(grants_->reserved(record.key.account))},
             {"wanted", std::to_string(record.value.wanted)}});
    }
    return records;
}

std::string gateway::describe_ledger() const {
    const auto age =
        std::chrono::duration_cast<milliseconds>(monotonic_now() - ledger_->last_answer());
    return std::to_string(ledger_->position()) + "/" + std::to_string(age.count()) + "ms";
}

void gateway::grants_changed() {
    waiters_->serve(monotonic_now());
    if (grants_->needs_immediate_draw()) {
        ledger_->append_if_due();
    }
}

void gateway::tick() {
    const instant now = monotonic_now();
    flush_log();
    metrics_.counter("log_lines_unread_total") = dropped_log_lines();
    metrics_.gauge("store_generation") = static_cast<double>(log_->generation());
    grants_->set_append_latency(ledger_->append_time());
    update_isolation();
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
    suspects_->tick(now);
    targets_.refresh_gateway_count(now);
    rollouts_.tick(now);
    for (const std::string& id : targets_.expire_unlisted(now)) {
        pools_.erase(id);
    }
}

void gateway::begin_stop() {
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_began_ = monotonic_now();
    context_->stopping_since = stop_began_;
    log_event(
        log_level::information, "gateway_stopping",
        {{"host", settings_.host}, {"requests", std::to_string(context_->active_requests.size())}});
    ingress_->begin_drain();
    members_->leave();
    check_shutdown();
}

void gateway::check_shutdown() {
    const instant now = monotonic_now();
    const microseconds since = now - stop_began_;
    const std::size_t requests = context_->active_requests.size();
    const bool can_exit =
        settings_.drain.can_exit(since, requests, now - context_->last_request_at);
    if (can_exit || !settings_.drain.accepts_connections(since)) {
        ingress_->stop_listening();
    }
    if (can_exit) {
        grants_->set_draining(true);
        ledger_->append_if_due();
    }
    const bool overdue = since + settings_.drain.completion_margin > settings_.drain.max_duration;
    if (overdue || (can_exit && requests == 0 && grants_->all_returned())) {
        loop_.stop();
        return;
    }
    loop_.call_after(shutdown_poll_period, [this, alive = alive_] {
        if (*alive) {
            check_shutdown();
        }
    });
}

/// Applies the settings that may change while the process runs. Addresses, names and regions need a
/// restart.
void gateway::reload(const std::string& text) {
    findings problems;
    std::optional<gateway_settings> read = read_gateway_settings(text, problems);
    if (!read) {
        log_event(log_level::error, "settings_refused", {{"findings", problems.to_text()}});
        return;
    }
    const bool needs_restart = read->listen.to_text() != settings_.listen.to_text() ||
                               read->admin.to_text() != settings_.admin.to_text() ||
                               read->service.to_text() != settings_.service.to_text() ||
                               read->host != settings_.host || read->regions != settings_.regions;
    settings_.token_wait = read->token_wait;
    settings_.short_token_wait = read->short_token_wait;
    tokens_->set_settings(exchange_settings(settings_));
    settings_.drain = read->drain;
    settings_.grants = read->grants;
    grants_->set_policy(read->grants);
    log_event(log_level::information, "settings_reloaded",
              {{"needs_restart", needs_restart ? "yes" : "no"}});
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
