#include "roles/shared/process_settings.hpp"
#include "wrenswitch/core/settings_reader.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {
namespace {

constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_drain_ms = 3'600'000;
constexpr std::int64_t max_wait_ms = 60'000;
constexpr std::int64_t max_tokens = 1'000'000'000;
constexpr std::int64_t max_percent = 100;
constexpr std::int64_t max_log_lines = 1'000'000;
constexpr double max_cores = 10'000.0;
constexpr double max_slack = 10'000.0;
constexpr double min_window_s = 0.1;
constexpr double max_window_s = 3600.0;
constexpr double max_link_mbps = 1e6;

milliseconds read_ms(settings_reader& reader, std::string_view name, microseconds fallback,
                     std::int64_t max_ms) {
    const auto default_ms = std::chrono::duration_cast<milliseconds>(fallback).count();
    return milliseconds(reader.integer_or(name, default_ms, 0, max_ms));
}

grant_policy_settings read_grants(settings_reader& reader) {
    grant_policy_settings policy;
    policy.horizon = read_ms(reader, "grant_horizon_ms", policy.horizon, max_wait_ms);
    policy.max_held_share = reader.number_or("grant_held_share", policy.max_held_share, 0.0, 1.0);
    policy.initial_draw = reader.integer_or("grant_first_draw", policy.initial_draw, 0, max_tokens);
    return policy;
}

/// Reads the region of each failure domain. A failure domain without a region gets no request that
/// is restricted to regions. Settings that name regions but none for this host's own failure domain
/// are an error, since all its callers would lose access to their own region.
region_table read_regions(settings_reader& reader, const std::string& own_domain,
                          findings& problems) {
    region_table regions;
    for (const auto& [failure_domain, region] : reader.text_table_or_empty("regions")) {
        regions.add(failure_domain, region);
    }
    if (!regions.empty() && regions.region_of(own_domain).empty()) {
        problems.add("/regions", "no region for this host's failure domain \"" + own_domain + "\"",
                     "a region for each failure domain");
    }
    return regions;
}

}  // namespace

std::optional<gateway_settings> read_gateway_settings(std::string_view text, findings& problems) {
    settings_reader reader = settings_reader::parse(text, problems);
    gateway_settings settings;
    settings.host = reader.text("host");
    settings.failure_domain = reader.text("failure_domain");
    settings.regions = read_regions(reader, settings.failure_domain, problems);
    settings.remote_round_trip =
        read_ms(reader, "far_round_trip_ms", settings.remote_round_trip, max_wait_ms);
    settings.listen = read_address(reader, "listen", problems);
    settings.admin = read_address(reader, "admin", problems);
    settings.service = read_address(reader, "service", problems);
    settings.bus.endpoint = reader.text("bus_endpoint");
    settings.member_endpoint = reader.text_or("member_endpoint", "");
    settings.relay_port =
        static_cast<std::uint16_t>(reader.integer_or("relay_port", 0, 0, max_port));
    settings.metrics_port =
        static_cast<std::uint16_t>(reader.integer_or("metrics_port", 0, 0, max_port));
    settings.drain.max_duration =
        read_ms(reader, "longest_drain_ms", settings.drain.max_duration, max_drain_ms);
    settings.drain.grace_period =
        read_ms(reader, "listen_after_stop_ms", settings.drain.grace_period, max_drain_ms);
    settings.target_drain = read_ms(reader, "target_drain_ms", settings.target_drain, max_drain_ms);
    settings.capacity = reader.number_or("capacity", settings.capacity, 0.0, max_cores);
    constexpr double bytes_per_megabit = 1e6 / 8.0;
    settings.link_bytes_per_second =
        bytes_per_megabit * reader.number_or("link_mbps", 0.0, 0.0, max_link_mbps);
    settings.shares_link = reader.boolean_or("share_link", settings.shares_link);
    settings.exposed_share = reader.number_or("exposed_share", settings.exposed_share, 0.0, 1.0);
    settings.retry_share = reader.number_or("retry_share", settings.retry_share, 0.0, 1.0);
    settings.retry_slack = reader.number_or("retry_slack", settings.retry_slack, 0.0, max_slack);
    settings.retry_window = from_seconds(reader.number_or(
        "retry_window_s", as_seconds(settings.retry_window), min_window_s, max_window_s));
    settings.token_wait = read_ms(reader, "token_wait_ms", settings.token_wait, max_wait_ms);
    settings.short_token_wait =
        read_ms(reader, "short_token_wait_ms", settings.short_token_wait, max_wait_ms);
    settings.min_time_per_token = std::max<microseconds>(
        milliseconds(1),
        read_ms(reader, "least_ms_per_token", settings.min_time_per_token, max_wait_ms));
    settings.log_requests_per_second = static_cast<unsigned>(reader.integer_or(
        "log_requests_per_second", settings.log_requests_per_second, 0, max_log_lines));
    settings.log_served_percent = static_cast<unsigned>(
        reader.integer_or("log_served_percent", settings.log_served_percent, 0, max_percent));
    settings.grants = read_grants(reader);
    settings.limits = read_process_limits(reader);
    settings.bus.max_message_bytes = max_message_bytes(settings.limits);
    reader.finish();
    return problems.empty() ? std::optional(std::move(settings)) : std::nullopt;
}

}  // namespace wrenswitch
