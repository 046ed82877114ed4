// The part of gateway that serves the admin port and the port of the metrics.

#include <utility>

#include "roles/gateway/gateway.hpp"
#include "roles/shared/http_status.hpp"
#include "wrenswitch/core/log.hpp"

namespace wrenswitch {

result<void> gateway::open_admin() {
    http_server_settings admin;
    admin.address = settings_.admin.host;
    admin.port = settings_.admin.port;
    auto server = http_server::start(
        loop_, admin, [this](const http_exchange_pointer& exchange) { serve_admin(exchange); },
        caller_memory_.pool());
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
        loop_, settings, [this](const http_exchange_pointer& exchange) { serve_admin(exchange); },
        caller_memory_.pool());
    if (!server) {
        log_event(log_level::warning, "metrics_port_taken", {{"reason", server.error().message}});
        return;
    }
    metrics_server_ = std::move(server.value());
}

/// True if the gateway is ready, as far as that doesn't depend on its link.
bool gateway::is_open() {
    return !stopping_ && missing_parts().empty();
}

/// What the gateway lacks to serve requests.
std::vector<std::string_view> gateway::missing_parts() {
    std::vector<std::string_view> missing;
    const auto require = [&missing](bool is_there, std::string_view name) {
        if (!is_there) {
            missing.push_back(name);
        }
    };
    require(configuration_.is_loaded(), "configuration");
    require(ledger_->live(), "grants");
    require(target_follower_->live(), "targets");
    require(suspects_->ready(), "suspects");
    require(version_log_->live(), "versions");
    require(!is_isolated(), "contact");
    return missing;
}

void gateway::watch_start(instant now) {
    if (!start_watch_.is_starting() || stopping_) {
        return;
    }
    std::vector<std::string_view> missing = missing_parts();
    if (!admission_.accepts_callers()) {
        missing.emplace_back("room_for_callers");
    }
    start_watch_.update(now, missing);
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

}  // namespace wrenswitch
