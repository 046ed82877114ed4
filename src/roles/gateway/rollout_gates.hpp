#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/rollout/rollout_gate.hpp"
#include "wrenswitch/decision/rollout/rollout_table.hpp"

namespace wrenswitch {

/// The rollouts that this gateway carries out: one rollout_gate for each service with an order. A
/// service without an order costs a lookup in an empty map.
class rollout_gates {
public:
    rollout_gates(double exposed_share, metrics& counters);

    /// The versions of the service's earlier orders that get no requests under this order.
    version_set excluded_by(const rollout_order& order) const;

    /// The operator ordered a rollout or changed the order. `already_deployed` is true if all
    /// targets of the service ran the version before the order. Returns true if the order is new.
    bool on_order(instant now, const rollout_order& order, bool already_deployed = false);

    /// The order was withdrawn, which has the effect of a rollback.
    void on_withdrawal(instant now, std::string_view service);

    /// Applies a record of the rollout log.
    void on_record(instant now, const rollout_record& record);

    /// Applies a directive of the decider.
    void on_directive(instant now, const rollout_directive& directive);

    /// The gate of a service, or null if it has no order.
    rollout_gate* gate_of(std::string_view service);

    /// The newest order of each service that this process knows.
    std::vector<rollout_order> orders() const;

    /// This process's report on a rollout that hasn't ended, for the decider.
    struct local_report {
        rollout_report report;
        const rollout_evidence& evidence;
        rollout_phase phase = rollout_phase::waiting;
    };
    std::vector<local_report> reports(instant now) const;

    /// Updates the gauges and logs versions that were found bad.
    void update_metrics(instant now);

private:
    void log_found_bad(instant now, const rollout_gate& gate);
    void log_phase(instant now, const rollout_gate& gate, std::string_view cause) const;
    void apply_record(instant now, rollout_gate& gate, const rollout_record& record) const;

    double exposed_share_;
    metrics& counters_;
    std::map<std::string, rollout_gate, std::less<>> gates_;
    /// For each service, the order whose version was logged as found bad here.
    std::map<std::string, std::uint64_t, std::less<>> logged_bad_;
    /// Records of the rollout log, which may arrive before their orders.
    rollout_table records_;
};

}  // namespace wrenswitch
