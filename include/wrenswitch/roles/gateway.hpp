#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/findings.hpp"
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

/// The names and formats in which a platform speaks to a gateway. It holds no decision: everything
/// here is how something is called or written.
struct gateway_dialect {
    /// Names of headers.
    std::string request_id;
    std::string deadline_ms;
    std::string key;
    std::string account;
    std::string expected_target;
    std::string last_event;
    std::string urgency;
    /// Names the address of another engine, from which a prompt's memory is copied.
    std::string copy_from;
    std::string not_run;
    std::string load;
    /// Headers that only the gateway may set: dropped from what callers send.
    std::vector<std::string> set_by_gateway;
    /// Headers that a proper request has once at the most.
    std::vector<std::string> given_once;
    /// Headers that are passed on even if a caller's Connection header names them.
    std::vector<std::string> always_passed;
    /// What a request says of its prompt. Without a prompt all is zero.
    std::function<result<prompt_profile>(const message_head&)> read_prompt;
    /// What a target says of itself with an answer.
    std::function<target_signals(const message_head&)> read_signals;

    /// The keyed logs, and the key under which the configuration stands.
    std::string configuration_log;
    std::string configuration_key;
    std::string target_log;
    std::string grant_log;
    std::string member_log;
    /// The fleet's own log of roll-outs, and the one in which operators read where they stand.
    std::string rollout_log;
    std::string status_log;
    /// The fleet's own log of targets that ended under requests.
    std::string suspect_log;
    std::function<result<gateway_configuration>(std::string_view)> read_configuration;
    std::function<result<listed_target>(std::string_view id, std::string_view value)> read_target;
    /// The failure domain that the operator wants emptied while a record of the configuration's log
    /// stands, by its key; nothing if the key means something else.
    std::function<std::optional<std::string>(std::string_view key)> emptied_domain;
    /// An error if such a record's value can't be read.
    std::function<result<void>(std::string_view value)> read_emptied;
    /// The service whose roll-out a record of the configuration's log orders, by its key; nothing
    /// if the key means something else.
    std::function<std::optional<std::string>(std::string_view key)> ordered_service;
    /// An order from such a record, whose offset is its number.
    std::function<result<rollout_order>(std::string_view service, std::string_view value,
                                        std::uint64_t number)>
        read_order;
    /// The record of the status log that tells operators where a roll-out stands.
    std::function<keyed_record(const rollout_record& record)> write_status;
    /// The keyed log behind a channel to the platform's service.
    std::function<std::unique_ptr<keyed_log>(service_channel&, const keyed_log_timeouts&)> make_log;
    /// A cheap call that shows whether the service answers.
    std::function<http_request()> probe;
    /// The path at which the platform asks whether the gateway takes connections.
    std::string ready_path;
};

/// What a gateway is told in its settings file.
struct gateway_settings {
    std::string host;
    std::string failure_domain;
    /// The regions of the deployment's failure domains, this host's own among them. Without any,
    /// requests that are bound to regions are refused.
    region_table regions;
    /// What the way to another region and back is taken for until it is measured.
    microseconds far_round_trip = milliseconds(40);
    http_address listen;
    /// Where readiness and metrics are served.
    http_address admin;
    /// A further port for metrics; zero if there is none.
    std::uint16_t metrics_port = 0;
    http_address service;
    message_bus_settings bus;
    /// Where other entries reach this one, if that isn't the bus's own endpoint.
    std::string member_endpoint;
    /// The port at which a relay listens beside an engine's target; zero if there are none.
    std::uint16_t relay_port = 0;
    /// What this process may use, in processor cores. Larger entries are homes of more accounts.
    double capacity = 1.0;
    /// What this host's link carries each way; zero if that isn't known.
    double link_bytes_per_second = 0.0;
    /// How a planned stop goes.
    drain_plan drain;
    /// The share of a service's requests that a version may get which isn't proved.
    double exposed_share = 0.1;
    /// Retries as a share of first tries, for each service and over all entries, and the time over
    /// which they are counted.
    double retry_share = 0.1;
    microseconds retry_window = seconds(10);
    /// What may come beyond the share in a window, over all entries. No entry spends of it, since
    /// none knows for certain with how many others it shares it: it is left for retries that are
    /// held up on their way, and shown for alerts.
    double retry_slack = 20.0;
    /// How long a request waits for tokens before it is refused.
    microseconds token_wait = milliseconds(800);
    /// The same, if the tokens would have to come from other hosts.
    microseconds short_token_wait = milliseconds(120);
    /// When a request that was refused for want of tokens may come back while the log is away.
    microseconds until_log = seconds(2);
    /// The shortest time in which an engine makes a token of one answer.
    microseconds least_time_per_token = milliseconds(4);
    /// The longest time that a token is planned for when a process is about to stop.
    microseconds most_time_per_token = milliseconds(12);
    grant_policy_settings grants;
    /// Requests whose lines are written each second: of those that were served, and as many of
    /// those that failed.
    unsigned log_requests_per_second = 20;
    /// The share of served requests that are told.
    unsigned log_served_percent = 5;
};

/// Reads a gateway's settings. Nothing if there are findings.
std::optional<gateway_settings> read_gateway_settings(std::string_view text, findings& problems);

/// Runs a gateway until it is told to stop, by the settings in a file and with changes of it taken
/// up while it runs. `text` is the file's present text. Returns the exit code.
int run_gateway(const std::string& path, const std::string& text, const gateway_dialect& dialect);

}  // namespace wrenswitch
