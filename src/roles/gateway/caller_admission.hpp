#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "roles/gateway/account_labels.hpp"
#include "roles/gateway/neighbour_exchange.hpp"
#include "roles/gateway/rate_limited_log.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/gateway/link_congestion_detector.hpp"
#include "wrenswitch/decision/membership/account_activity.hpp"
#include "wrenswitch/decision/membership/shedding_budget.hpp"
#include "wrenswitch/decision/membership/step_back_policy.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/ingress_server.hpp"

namespace wrenswitch {

/// Decides whether the gateway accepts callers, as far as that depends on its link: it is not ready
/// while it has stepped back from an account that does not fit its link, and for some seconds after
/// its link was saturated. The latter is withheld while step backs leave no budget for it. Does
/// nothing while the bandwidth of the link is unknown.
class caller_admission {
public:
    struct hooks {
        /// The accounts with the most offered bytes per second.
        std::function<std::vector<account_demand>(instant, std::size_t)> top_accounts;
        /// False while the gateway is not ready for another reason.
        std::function<bool()> is_open;
    };

    /// All references must outlive the object.
    caller_admission(event_loop& loop, const link_congestion_settings& link, std::string own_host,
                     rate_limited_log& events, metrics& counters, hooks callbacks);

    /// Starts the exchange of reports with the failure domain's other gateways.
    void open_exchange(message_bus& bus, const token_allocator_selector& members,
                       const std::string& failure_domain, incarnation_id process);

    /// Sets the server whose connections are closed.
    void set_server(ingress_server& server);

    /// Records that an account has sent a request.
    void record_request(instant now, std::string_view account);

    /// Samples the link and decides anew when that is due. To be called every 20 ms.
    void update(instant now);

    /// Handles a message. False if it isn't of a kind that is handled here.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

    /// False while the platform should send callers to other gateways.
    bool accepts_callers() const;

    const link_congestion_detector& link() const { return link_; }

    /// Sets the gauges of the link.
    void export_gauges() const;

private:
    void sample_link(instant now);
    void sample_traffic(instant now);
    std::string account_to_shed(instant now) const;
    void record_withheld(instant now);
    void begin_shedding(instant now);
    void end_shedding();
    void log_shedding(std::string_view event, const std::string& account) const;
    bool is_evaluation_due(instant now) const;
    void evaluate(instant now);
    void apply(const step_back_change& change);
    void update_closed_accounts(instant now);
    neighbour_report make_report() const;
    entry_state reported_state() const;

    event_loop& loop_;
    double bandwidth_;
    rate_limited_log& events_;
    metrics& counters_;
    hooks hooks_;
    link_congestion_detector link_;
    account_activity activity_;
    step_back_policy policy_;
    std::unique_ptr<neighbour_exchange> exchange_;
    ingress_server* server_ = nullptr;
    shedding_budget shedding_budget_;
    account_labels closed_labels_;
    instant next_evaluation_{};
    /// The own traffic in bytes per second, decaying over a second.
    instant last_sample_{};
    traffic_counts last_traffic_;
    double received_per_second_ = 0.0;
    double sent_per_second_ = 0.0;
    /// The account whose connections are closed while callers are shed; empty if it is all.
    std::string shed_account_;
    /// The accounts whose connections are being closed.
    std::vector<std::string> closed_accounts_;
};

}  // namespace wrenswitch
