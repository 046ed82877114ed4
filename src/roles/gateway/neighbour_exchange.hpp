#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "roles/gateway/rate_limited_log.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"
#include "wrenswitch/decision/membership/neighbour_table.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// Exchanges load reports with the other gateways of the failure domain. Delivery isn't guaranteed:
/// a report is repeated every period, and one that is not renewed ages out.
class neighbour_exchange {
public:
    struct hooks {
        /// Makes the content of a report; host, incarnation and number are filled in.
        std::function<neighbour_report(instant)> make_report;
        /// A neighbour has changed its state or reports demand that is 50 % higher.
        std::function<void()> on_early_report;
    };

    /// All references must outlive the exchange.
    neighbour_exchange(message_bus& bus, const token_allocator_selector& members,
                       std::string failure_domain, incarnation_id process, rate_limited_log& events,
                       metrics& counters, hooks callbacks);

    /// Sends a report at the next tick because the state has changed, but no more than one per
    /// 250 ms.
    void request_state_report() { state_report_requested_ = true; }

    /// Sends a report early if an account's demand has risen by half since the last one.
    void check_demand(instant now);

    /// Sends what is due. To be called often.
    void tick(instant now);

    /// Handles a message. False if it isn't of a kind that the exchange handles.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

    /// False while a process that has just started waits for the reports that it asked for.
    bool is_settled() const { return settled_; }

    /// The hosts of the failure domain, as listed.
    std::vector<std::string> hosts() const;

    const neighbour_table& table() const { return table_; }

    /// True if a report shows that an account's demand is at least 50 % higher than in another.
    static bool shows_more_demand(const neighbour_report& before, const neighbour_report& after);

private:
    /// True if a requested early report may be sent now, which ends the request.
    static bool take_early(instant now, bool& requested, instant& last);
    neighbour_report make_report(instant now);
    void broadcast(instant now);
    void ask_neighbours(instant now);
    void refuse(std::string_view host, std::string_view reason);

    message_bus& bus_;
    const token_allocator_selector& members_;
    std::string failure_domain_;
    incarnation_id process_;
    rate_limited_log& events_;
    metrics& counters_;
    hooks hooks_;
    neighbour_table table_;
    std::uint64_t number_ = 0;
    /// Two limits, so that reports of demand don't delay an announcement.
    bool state_report_requested_ = false;
    instant last_state_report_{};
    bool demand_report_requested_ = false;
    instant last_demand_report_{};
    /// The last report that went to all neighbours.
    neighbour_report last_sent_;
    instant next_report_{};
    bool settled_ = false;
    std::optional<instant> started_;
    std::optional<instant> first_asked_;
    std::set<std::string> asked_;
};

}  // namespace wrenswitch
