#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/findings.hpp"
#include "wrenswitch/core/process_limits.hpp"
#include "wrenswitch/decision/gateway/drain_plan.hpp"
#include "wrenswitch/decision/gateway/gateway_configuration.hpp"
#include "wrenswitch/decision/gateway/region_table.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/decision/gateway/target_signals.hpp"
#include "wrenswitch/decision/grants/grant_holder.hpp"
#include "wrenswitch/decision/rollout/rollout_order.hpp"
#include "wrenswitch/drivers/http_client.hpp"
#include "wrenswitch/drivers/keyed_log.hpp"
#include "wrenswitch/drivers/message_bus.hpp"
#include "wrenswitch/drivers/message_head.hpp"
#include "wrenswitch/drivers/service_channel.hpp"

namespace wrenswitch {

/// Maps a platform's protocol to the gateway: header names, log names and the functions that parse
/// and write its formats. It contains no policy.
struct gateway_dialect {
    /// Names of HTTP headers. `key` carries the caller's API key, `account` the client account.
    std::string request_id;
    std::string deadline_ms;
    std::string key;
    std::string account;
    std::string expected_target;
    std::string last_event;
    /// Set by a caller that resumes a stream: the request whose response brought its first event.
    std::string resumed_request;
    std::string priority;
    /// Carries the address of another engine from which a prompt's prefix cache is copied.
    std::string copy_from;
    /// Set by a target that did not execute the request.
    std::string not_run;
    /// Carries a target's load report.
    std::string load;
    /// Headers that only the gateway may set. They are removed from callers' requests.
    std::vector<std::string> reserved_headers;
    /// Headers that a valid request has at most once.
    std::vector<std::string> single_value_headers;
    /// Headers that are forwarded even if a caller's Connection header lists them.
    std::vector<std::string> always_forwarded_headers;
    /// Parses the prompt's properties from a request's headers. All are zero without a prompt.
    std::function<result<prompt_profile>(const message_head&)> read_prompt;
    /// Parses the load and state that a target reports in the headers of a response.
    std::function<target_signals(const message_head&)> read_signals;

    /// Names of the keyed logs, and the key of the configuration record.
    std::string configuration_log;
    std::string configuration_key;
    std::string target_log;
    std::string grant_log;
    std::string member_log;
    /// The gateways' log of rollouts, and the log in which operators read rollout status.
    std::string rollout_log;
    std::string status_log;
    /// The gateways' log of targets that crashed while executing requests.
    std::string suspect_log;
    /// The gateways' log of the versions that targets have had of late.
    std::string version_log;
    std::function<result<gateway_configuration>(std::string_view)> read_configuration;
    std::function<result<listed_target>(std::string_view id, std::string_view value)> read_target;
    /// The failure domain that the operator evacuates with a record of the configuration log,
    /// taken from the record's key. The evacuation lasts as long as the record exists. Nothing if
    /// the key does not denote an evacuation.
    std::function<std::optional<std::string>(std::string_view key)> evacuated_domain;
    /// Validates the value of an evacuation record. Returns an error if it cannot be parsed.
    std::function<result<void>(std::string_view value)> read_evacuation;
    /// The service whose rollout the operator orders with a record of the configuration log, taken
    /// from the record's key. Nothing if the key does not denote a rollout.
    std::function<std::optional<std::string>(std::string_view key)> rollout_service;
    /// Parses the value of a rollout record. `number` is the record's offset and identifies the
    /// order.
    std::function<result<rollout_order>(std::string_view service, std::string_view value,
                                        std::uint64_t number)>
        read_order;
    /// Makes the record of the status log that shows operators a rollout's state.
    std::function<keyed_record(const rollout_record& record)> write_status;
    /// Opens the keyed log that is reached over a channel to the platform's service.
    /// The hook is told of each call.
    std::function<std::unique_ptr<keyed_log>(service_channel&, const keyed_log_timeouts&,
                                             keyed_log_call_hook)>
        make_log;
    /// Makes a cheap request that checks whether the service responds.
    std::function<http_request()> make_probe;
    /// The path of the readiness check.
    std::string ready_path;
};

/// The settings of a gateway, read from its settings file.
struct gateway_settings {
    std::string host;
    std::string failure_domain;
    /// The regions of the deployment's failure domains, including that of this host. If empty,
    /// requests that are restricted to regions are refused.
    region_table regions;
    /// The assumed round-trip time to another region until one is measured.
    microseconds remote_round_trip = milliseconds(40);
    http_address listen;
    /// The address that serves readiness and metrics.
    http_address admin;
    /// An additional port for metrics; zero disables it.
    std::uint16_t metrics_port = 0;
    http_address service;
    message_bus_settings bus;
    /// The endpoint at which other gateways reach this one. Empty if it is the bus endpoint.
    std::string member_endpoint;
    /// The port of the relay on each engine target's host; zero if no relays are deployed.
    std::uint16_t relay_port = 0;
    /// The CPU cores that this process may use. A gateway with more of them allocates the token
    /// budgets of more accounts.
    double capacity = 1.0;
    /// The capacity of this host's network link in each direction; zero if unknown.
    double link_bytes_per_second = 0.0;
    /// True if requests are held or refused by account when the link is used to more than half.
    bool shares_link = false;
    /// The timing of a graceful shutdown.
    drain_plan drain;
    /// How long a target that leaves still takes requests, from the moment at which the platform
    /// acknowledges its leaving.
    microseconds target_drain = seconds(2);
    /// The share of a service's requests that may go to a version still under evaluation.
    double exposed_share = 0.1;
    /// The retry budget of each service over all gateways, as a ratio of retries to first attempts,
    /// and the window over which both are counted.
    double retry_share = 0.1;
    microseconds retry_window = seconds(10);
    /// The number of retries by which all gateways together may exceed the budget in one window.
    /// No gateway spends it, because none knows for certain how many others share it. It allows
    /// for retries that are delayed in transit and is exported for alerts.
    double retry_slack = 20.0;
    /// How long a request waits for budget tokens before it is refused.
    microseconds token_wait = milliseconds(800);
    /// How long it waits if the tokens would have to come from other hosts.
    microseconds short_token_wait = milliseconds(120);
    /// The Retry-After of requests that are refused for lack of tokens while the log is
    /// unavailable.
    microseconds log_outage_retry_after = seconds(2);
    /// The shortest time in which an engine generates one token of a response. Bounds the tokens
    /// charged for output that an interrupted attempt may have produced unseen.
    microseconds min_time_per_token = milliseconds(4);
    grant_policy_settings grants;
    /// The maximum number of requests logged per second. Served and failed requests are limited
    /// separately.
    unsigned log_requests_per_second = 20;
    /// The percentage of served requests that are sampled for the log.
    unsigned log_served_percent = 5;
    process_limits limits;
};

/// Parses a gateway's settings from JSON. Returns nothing if there are findings.
std::optional<gateway_settings> read_gateway_settings(std::string_view text, findings& problems);

/// Runs a gateway until it receives a stop signal. Changes of the settings file at `path` are
/// applied while it runs; `text` is the file's current content. Returns the exit code of the
/// process.
int run_gateway(const std::string& path, const std::string& text, const gateway_dialect& dialect);

}  // namespace wrenswitch
