#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "roles/gateway/account_labels.hpp"
#include "roles/gateway/rate_limited_log.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/gateway/active_configuration.hpp"
#include "wrenswitch/decision/ingress/account_usage.hpp"
#include "wrenswitch/decision/ingress/link_peak_history.hpp"
#include "wrenswitch/decision/ingress/link_scheduler.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/ingress_server.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

/// Shares this entry's link among client accounts: estimates what each request takes, asks the
/// scheduler, holds or refuses requests on their heads, and keeps the figures of accounts. Without
/// the setting `share_link` it only keeps the figures, and nothing if the bandwidth is unknown. See
/// docs/design/link-sharing.md.
class link_sharing {
public:
    struct parts {
        event_loop& loop;
        const gateway_settings& settings;
        const gateway_dialect& dialect;
        const active_configuration& configuration;
        metrics& counters;
        rate_limited_log& log;
        /// The bytes of messages between hosts.
        std::function<link_bytes()> bus_bytes;
    };

    explicit link_sharing(parts used);
    ~link_sharing();
    link_sharing(const link_sharing&) = delete;
    link_sharing& operator=(const link_sharing&) = delete;

    /// The options of the callers' server.
    ingress_options make_ingress_options();

    /// Takes a sample of the link's use. To be called several times in 100 ms.
    void observe(instant now);

    /// Updates the gauges of accounts.
    void tick(instant now);

    /// Learns the size of a response.
    void record_response(std::string_view route, std::size_t bytes);

    void record_late(instant now, std::string_view account);

    /// True if a request whose attempt could not be sent must not be resent: the entry's own link
    /// is saturated, so that the next attempt would be lost like the first.
    bool is_resend_futile() const;

    /// The time after which the account's share is free.
    microseconds retry_after(instant now, std::string_view account, unsigned priority);

    /// Adds the account's share, its backlog and the link's utilization to a trace.
    void trace_state(instant now, request_trace& trace, std::string_view event,
                     std::string_view account, microseconds waited) const;

    /// The highest use of the link since a request began to wait. Nothing if it was never above
    /// half of the bandwidth, or if that is unknown.
    std::optional<link_peak> peak_since(instant now, instant begun);

    /// Adds the fields `link_share`, `link_account` and `link_account_share` to those of a line.
    static void append_peak(std::vector<log_field>& fields, const link_peak& peak);

    const account_usage& usage() const { return usage_; }

private:
    /// A request as far as its head tells.
    struct head_summary {
        std::string id;
        std::string account;
        std::string route;
        std::size_t head_bytes = 0;
        link_request request;
    };

    struct held_request {
        head_summary head;
        std::shared_ptr<waiting_head> wait;
        instant since{};
    };

    /// Moving averages of a route's requests and responses.
    struct route_sizes {
        double body = 0.0;
        double response = 0.0;
    };

    head_decision on_head(const message_head& head, const std::shared_ptr<waiting_head>& wait);
    std::optional<head_summary> summarize(const message_head& head);
    double estimate_bytes(const message_head& head, const std::string& route);
    head_decision refuse(instant now, const head_summary& head, instant since,
                         microseconds retry_after);
    void resolve();
    void schedule_resolve(instant now);
    void trace_refusal(instant now, request_trace& trace, const head_summary& head, instant since,
                       microseconds retry_after);

    parts parts_;
    account_usage usage_;
    link_scheduler scheduler_;
    link_peak_history peaks_;
    std::map<std::uint64_t, held_request> held_;
    std::map<std::string, route_sizes, std::less<>> sizes_;
    std::uint64_t refused_bytes_ = 0;
    account_labels labels_;
    std::vector<std::string> top_labels_;
    /// When the next resolve() is due, if it is scheduled.
    std::optional<instant> resolve_due_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
