// The part of gateway that opens the bus, the logs, the exchanges with other processes and the
// listener of callers.

#include "roles/gateway/gateway_wiring.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <utility>

#include "roles/gateway/caller_response.hpp"
#include "roles/gateway/gateway.hpp"
#include "roles/gateway/relay_selection.hpp"
#include "roles/gateway/request_trace.hpp"
#include "roles/gateway/retry_after.hpp"
#include "roles/shared/http_status.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/drivers/log_call_counts.hpp"

namespace wrenswitch {
namespace {

/// Every target renews its entry in the list about once a second, so the list is read in pages.
constexpr microseconds target_read_pause = milliseconds(250);

/// How long a target missing from a restored store is kept. Running targets rewrite their entries
/// within two seconds of the store's return.
constexpr microseconds lost_target_timeout = seconds(3);

/// A list of targets that was read longer ago may lack new targets. Reads are held open for up to a
/// second.
constexpr microseconds max_list_age = seconds(2);

/// The share of the link that pages of logs for other gateways may use.
constexpr double shared_reads_link_share = 0.25;

/// How many gateways are expected to share the connections of a target.
constexpr std::size_t connection_sharers = 6;

shared_log_settings sharing_settings(const gateway_settings& settings, std::string member_log) {
    shared_log_settings sharing;
    sharing.member_log = std::move(member_log);
    sharing.own_host = settings.host;
    sharing.failure_domain = settings.failure_domain;
    sharing.server.bytes_per_second = settings.link_bytes_per_second * shared_reads_link_share;
    return sharing;
}

}  // namespace

std::function<void(bool)> make_reachable_hook(const std::string& log) {
    return [log](bool reachable) {
        log_event(reachable ? log_level::information : log_level::warning,
                  reachable ? "log_regained" : "log_lost", {{"log", log}});
    };
}

token_exchange_settings make_token_exchange_settings(const gateway_settings& settings) {
    token_exchange_settings exchange;
    exchange.wait_timeout = settings.token_wait;
    exchange.short_wait_timeout = settings.short_token_wait;
    return exchange;
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
                   !streams_->on_message(origin, message) &&
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
                             make_reachable_hook(dialect_.configuration_log)});
    target_follower_ = std::make_unique<keyed_follower>(
        loop_, *shared_log_,
        keyed_follower_settings{.log = dialect_.target_log,
                                .pause = target_read_pause,
                                .lost_key_timeout = lost_target_timeout},
        keyed_follower_hooks{
            [this](const keyed_record& record) { apply_target_record(record); },
            [this] { on_targets_read(); },
            make_reachable_hook(dialect_.target_log),
            {},
            [this](const std::string& id) { target_list_.remove_lost(monotonic_now(), id); }});
    ledger_ = std::make_unique<grant_ledger>(
        loop_, *shared_log_, dialect_.grant_log, metrics_,
        grant_ledger_hooks{
            [this] { return compose_grants(); }, [this] { grants_changed(); },
            [this] { grants_->on_append_resolved(); },
            [this, log_reachability = make_reachable_hook(dialect_.grant_log)](bool reachable) {
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
            make_reachable_hook(dialect_.member_log)},
        settings_.regions.has_multiple_regions());
    tokens_ = std::make_unique<token_exchange>(
        loop_, *bus_, allocators_, *grants_, *waiters_, metrics_,
        make_token_exchange_settings(settings_),
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
    open_streams();
    rollouts_.open(loop_, *shared_log_, *bus_, allocators_, incarnation_);
    admission_.open_exchange(*bus_, allocators_, settings_.failure_domain, incarnation_);
    grants_->set_draw_ahead_filter([this](const std::string& account) {
        return allocators_.is_allocator(monotonic_now(), account);
    });
}

void gateway::open_streams() {
    streams_ = std::make_unique<stream_exchange>(
        loop_, *bus_, allocators_, settings_.failure_domain,
        std::string(settings_.regions.region_of(settings_.failure_domain)), metrics_,
        stream_exchange::hooks{
            [this](std::string_view service) { return targets_.versions_of(service); },
            [this] { return is_target_list_current() && is_version_log_current(); },
            [this](std::string_view service) { return version_log_->covers(service); },
            [this] { return relays_in_region(settings_, configuration_, targets_.listed()); }});
    version_log_ = std::make_unique<version_log>(
        loop_, *shared_log_, dialect_.version_log,
        version_log::hooks{[this](const std::string& service, const std::string& version) {
                               streams_->note_version(monotonic_now(), service, version);
                           },
                           [this](std::string_view key) { return writes_version(key); },
                           [this](const std::string& service, const std::string& version) {
                               return targets_.versions_of(service).contains(version);
                           },
                           [this] { update_version_log(); }});
}

void gateway::update_version_log() {
    version_log_->update(monotonic_now(), streams_->versions(), is_target_list_current());
}

/// The present versions of a service that aren't in the version log. A stream that began at one of
/// them couldn't be told from one of another version after a loss of all entries.
version_set gateway::unrecorded_versions(const std::string& service) const {
    version_set versions = targets_.versions_of(service);
    std::erase_if(versions, [this, &service](const std::string& version) {
        return version_log_->contains(service, version);
    });
    return versions;
}

bool gateway::is_target_list_current() const {
    return monotonic_now() - target_follower_->last_answer() <= max_list_age;
}

bool gateway::is_version_log_current() const {
    return monotonic_now() - version_log_->last_answer() <= max_list_age;
}

/// Two entries write each record of a version, so that one of them may be lost. An entry that knows
/// no others yet doesn't wait for them.
bool gateway::writes_version(std::string_view key) const {
    constexpr std::size_t writers = 2;
    if (allocators_.members() == 0) {
        return true;
    }
    const std::vector<cluster_member> first = allocators_.ranked_members(key, writers);
    return std::any_of(first.begin(), first.end(),
                       [this](const cluster_member& each) { return each.host == settings_.host; });
}

/// Applies a record of the list of targets. A target that left the list had its version until now.
void gateway::apply_target_record(const keyed_record& record) {
    const instant now = monotonic_now();
    target_list_.apply(now, record);
    if (const gateway_target* target = targets_.find(record.key)) {
        streams_->note_version(now, target->service, target->version);
    }
}

void gateway::open_suspects() {
    suspects_ = std::make_unique<suspect_exchange>(
        loop_, *shared_log_, dialect_.suspect_log, *bus_, allocators_, metrics_,
        suspect_exchange::hooks{
            [this](const digest& fingerprint) { abort_quarantined(fingerprint); },
            make_reachable_hook(dialect_.suspect_log)});
}

result<void> gateway::open_ingress() {
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
        *streams_,
        services_of_routes_,
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
        [this](const std::string& service) { return unrecorded_versions(service); },
        response_memory_,
        {},
        {},
        std::nullopt});
    auto ingress = ingress_server::start(
        loop_, settings_.listen.host, settings_.listen.port, [this] { return current_limits(); },
        [this](const ingress_exchange_pointer& exchange) {
            std::make_shared<forwarded_request>(*context_, exchange)->start();
        },
        make_ingress_options());
    if (!ingress) {
        return ingress.error();
    }
    ingress_ = std::move(ingress.value());
    admission_.set_server(*ingress_);
    return outcome::success();
}

ingress_options gateway::make_ingress_options() {
    ingress_options options = sharing_->make_ingress_options();
    options.intake = caller_memory_.pool();
    options.refuse_for_shortage = [this](const message_head& head) {
        return refuse_for_shortage(head);
    };
    return options;
}

/// Counts and logs the request as one of the gateway, since it never becomes one.
head_decision gateway::refuse_for_shortage(const message_head& head) {
    constexpr std::string_view reason = "caller_memory";
    const instant now = monotonic_now();
    metrics_.counter("gateway_requests_total") += 1;
    metrics_.counter("gateway_outcome_caller_memory_total") += 1;
    const std::string id(head.header(dialect_.request_id));
    request_trace trace;
    trace.begin(id, now);
    trace.add(now, "request_ended",
              {{"outcome", std::string(reason)},
               {"status", std::to_string(status_unavailable)},
               {"announced_bytes", std::to_string(head.content_length.value_or(0))},
               {"memory_bytes", std::to_string(caller_memory_.pool()->used_bytes())},
               {"retry_after_ms", millis_text(memory_retry_after)}});
    rate_limited_log_.log_head_refusal(trace);
    std::vector<http_header> headers{{"Retry-After", retry_after_text(memory_retry_after)}};
    if (!id.empty()) {
        headers.push_back({dialect_.request_id, id});
    }
    return {head_action::refuse, status_unavailable, std::move(headers),
            std::string(reason) + "\n"};
}

void gateway::abort_quarantined(const digest& fingerprint) {
    const std::vector<std::shared_ptr<forwarded_request>> requests(
        context_->active_requests.begin(), context_->active_requests.end());
    for (const std::shared_ptr<forwarded_request>& each : requests) {
        each->abort_if_quarantined(fingerprint);
    }
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

}  // namespace wrenswitch
