#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "roles/gateway/rollout_codec.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"
#include "wrenswitch/decision/rollout/rollout_decider.hpp"
#include "wrenswitch/drivers/rollout_ledger.hpp"

namespace wrenswitch {

/// How many targets with the old and with the new version of a service are listed; both zero while
/// the target list isn't known.
struct rollout_target_counts {
    std::size_t old_version = 0;
    std::size_t new_version = 0;
};

/// The rollouts that this process decides, or would decide if the current decider were lost. Keeps
/// the latest reports on each and writes the decisions to the log.
class rollout_deciders {
public:
    struct hooks {
        std::function<rollout_target_counts(const rollout_order& order)> count_targets;
        rollout_decider::evaluate_hook evaluate;
        /// True if the operator has withdrawn this order.
        std::function<bool(const rollout_order& order)> is_withdrawn;
        /// The directive for a service changed its phase, which gateways must learn at once.
        std::function<void(const rollout_directive& directive)> phase_changed;
    };

    rollout_deciders(incarnation_id own, double exposed_share, rollout_ledger& ledger,
                     metrics& counters, hooks needs);

    /// Sets the current orders and drops the deciders of all others.
    void set_orders(instant now, std::span<const rollout_order> orders);

    /// Records a process's report. True if it may change the decision at once. A report on an order
    /// that isn't known here is dropped; the next one follows soon.
    bool record_report(instant now, process_report received);

    /// Decides all rollouts; called only in the process that is the decider.
    void decide(instant now, std::span<const cluster_member> members, microseconds report_period);

    /// The last directive for a service and order, or null if there is none.
    const rollout_directive* directive_of(std::string_view service, std::uint64_t order) const;

    /// The last directives of all services.
    std::vector<rollout_directive> directives() const;

    /// True while a rollout is in the moving phase, when it should be checked more often.
    bool has_moving() const;

private:
    struct service_state {
        rollout_decider decider;
        std::optional<rollout_directive> directive;
        /// The final state that was last logged as wanted.
        std::optional<rollout_state> logged_end;
        instant gauges_set_at{};
    };

    void decide_one(instant now, service_state& state, std::span<const cluster_member> members,
                    microseconds report_period);
    void publish(const rollout_order& order);
    void set_gauges(service_state& state, const rollout_totals& totals);
    void log_decision(instant now, service_state& state, const rollout_decision& decision,
                      std::span<const cluster_member> members, microseconds report_period);

    incarnation_id own_;
    double exposed_share_;
    rollout_ledger& ledger_;
    metrics& counters_;
    hooks hooks_;
    std::map<std::string, service_state, std::less<>> services_;
};

}  // namespace wrenswitch
