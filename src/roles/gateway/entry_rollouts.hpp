#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/rollout/rollout_gate.hpp"
#include "wrenswitch/decision/rollout/rollout_table.hpp"

namespace wrenswitch {

/// All roll-outs as this entry carries them out: one gate for each service with an order. A service
/// without one costs a look-up in an empty map.
class entry_rollouts {
public:
    entry_rollouts(double exposed_share, metrics& counters);

    /// The versions of earlier orders of the service that get nothing under this one.
    version_set excluded_by(const rollout_order& order) const;

    /// The operator ordered a roll-out, or changed the order. `in_force` says that all targets of
    /// the service were of the version before. True if it is news.
    bool ordered(instant now, const rollout_order& order, bool in_force = false);

    /// The order was withdrawn: as if it were rolled back.
    void withdrawn(instant now, std::string_view service);

    /// What the log of roll-outs holds of a service.
    void recorded(instant now, const rollout_record& record);

    /// The decider's word.
    void told(instant now, const rollout_directive& stand);

    /// The gate of a service, or null if it isn't rolled out.
    rollout_gate* gate_of(std::string_view service);

    /// The orders that this process knows, newest of each service.
    std::vector<rollout_order> orders() const;

    /// What the decider is to be told of each roll-out that hasn't ended.
    struct told_evidence {
        rollout_report report;
        const rollout_evidence& evidence;
        rollout_phase phase = rollout_phase::waiting;
    };
    std::vector<told_evidence> reports(instant now) const;

    /// Brings the gauges up to date, and says what was found.
    void observe(instant now);

private:
    void tell_found_bad(instant now, const rollout_gate& gate);
    void tell_phase(instant now, const rollout_gate& gate, std::string_view cause) const;
    void apply_record(instant now, rollout_gate& gate, const rollout_record& record) const;

    double exposed_share_;
    metrics& counters_;
    std::map<std::string, rollout_gate, std::less<>> gates_;
    /// The orders of which was told that their version was found bad here.
    std::map<std::string, std::uint64_t, std::less<>> told_bad_;
    /// The log's records, which may come before the orders that they are of.
    rollout_table records_;
};

}  // namespace wrenswitch
