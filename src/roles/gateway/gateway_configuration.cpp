// The part of gateway that applies the configuration, orders to evacuate failure domains and
// changed settings.

#include <algorithm>
#include <span>
#include <utility>

#include "roles/gateway/gateway.hpp"
#include "roles/gateway/gateway_wiring.hpp"
#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// How many unreadable limits of one configuration are logged individually; all are counted.
constexpr std::size_t max_logged_limits = 5;

}  // namespace

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
    warn_of_large_bodies(current);
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

/// Bodies that the operator allows and for which there is no memory even alone are always refused.
void gateway::warn_of_large_bodies(const gateway_configuration& current) const {
    const std::size_t most = caller_memory_.pool()->max_claim_bytes();
    if (current.limits.max_body_bytes > most) {
        log_event(log_level::error, "body_limit_exceeds_memory",
                  {{"version", std::to_string(current.version)},
                   {"limit_bytes", std::to_string(current.limits.max_body_bytes)},
                   {"memory_bytes", std::to_string(most)}});
    }
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

void gateway::apply_configuration() {
    services_of_routes_.apply(monotonic_now(), configuration_.current());
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
    tokens_->set_settings(make_token_exchange_settings(settings_));
    settings_.drain = read->drain;
    settings_.grants = read->grants;
    grants_->set_policy(read->grants);
    log_event(log_level::information, "settings_reloaded",
              {{"needs_restart", needs_restart ? "yes" : "no"}});
}

ingress_limits gateway::current_limits() const {
    const gateway_limits& limits = configuration_.current().limits;
    return {limits.max_header_bytes, limits.max_body_bytes, limits.header_timeout,
            limits.idle_timeout};
}

const engine_profile* gateway::engine_profile_of(const std::string& service) const {
    const gateway_service* known = configuration_.find_service(service);
    return known == nullptr || !known->engine ? nullptr : &*known->engine;
}

}  // namespace wrenswitch
