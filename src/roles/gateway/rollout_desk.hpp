#pragma once

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "roles/gateway/rollout_codec.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/grants/token_homes.hpp"
#include "wrenswitch/decision/rollout/rollout_decider.hpp"
#include "wrenswitch/drivers/rollout_ledger.hpp"

namespace wrenswitch {

/// How many targets of the old and of the new version a service has listed; zero of both while the
/// list isn't known.
struct rollout_target_numbers {
    std::size_t old_version = 0;
    std::size_t new_version = 0;
};

/// The roll-outs that a process decides, or would decide if the one that does were lost: the newest
/// reports of each, and what the log should hold of them.
class rollout_desk {
public:
    struct hooks {
        std::function<rollout_target_numbers(const rollout_order& order)> targets_of;
        rollout_decider::evaluate_hook judge;
        /// True if the operator has taken this order back.
        std::function<bool(const rollout_order& order)> is_withdrawn;
        /// The word on a service changed in what entries must know at once.
        std::function<void(const rollout_directive& stand)> phase_changed;
    };

    rollout_desk(incarnation_id own, double exposed_share, rollout_ledger& ledger,
                 metrics& counters, hooks needs);

    /// The orders that stand. Deciders of others are dropped.
    void keep_orders(instant now, std::span<const rollout_order> orders);

    /// Takes a process's report. True if it may change what is decided at once. One for an order
    /// that this process hasn't heard of is dropped; the next comes soon.
    bool take(instant now, told_rollout told);

    /// Decides all roll-outs; only the process that decides calls it.
    void decide(instant now, std::span<const cluster_member> members, microseconds report_period);

    /// The word on a service as it was last decided here.
    const rollout_directive* stand_of(std::string_view service, std::uint64_t order) const;

    /// The words that were decided last.
    std::vector<rollout_directive> stands() const;

    /// True while an end is near, so that it pays to look often.
    bool is_moving() const;

private:
    struct service_desk {
        rollout_decider decider;
        std::optional<rollout_directive> stand;
        /// The end that was told of in the log of lines.
        std::optional<rollout_state> told_end;
        instant gauges_set{};
    };

    void decide_one(instant now, service_desk& desk, std::span<const cluster_member> members,
                    microseconds report_period);
    void publish(const rollout_order& order);
    void set_gauges(service_desk& desk, const rollout_totals& sums);
    void note(instant now, service_desk& desk, const rollout_decision& decision,
              std::span<const cluster_member> members, microseconds report_period);

    incarnation_id own_;
    double exposed_share_;
    rollout_ledger& ledger_;
    metrics& counters_;
    hooks hooks_;
    std::map<std::string, service_desk, std::less<>> services_;
};

}  // namespace wrenswitch
