#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/decision/rollout/canary_plan.hpp"
#include "wrenswitch/decision/rollout/rollout_directive.hpp"
#include "wrenswitch/decision/rollout/rollout_evaluator.hpp"
#include "wrenswitch/decision/rollout/rollout_evidence.hpp"
#include "wrenswitch/decision/rollout/rollout_order.hpp"

namespace wrenswitch {

/// The state of the fleet that a rollout_decider needs for a decision.
struct rollout_context {
    /// The number of listed targets of the service with old versions and with the new one. Both are
    /// zero while the list of targets is unknown.
    std::size_t old_targets = 0;
    std::size_t new_targets = 0;
    /// The processes in the member directory.
    std::span<const incarnation_id> members;
    /// The interval between two reports of one process.
    microseconds report_period{};
};

/// The outcome of one decision.
struct rollout_decision {
    /// The instruction to the entries; empty while the decider doesn't know enough to give one.
    std::optional<rollout_directive> directive;
    /// The record to append to the rollout log, if any.
    std::optional<rollout_record> record_to_append;
    /// The latest evaluation of the new version.
    rollout_evaluation evaluation;
    /// Members without a fresh report that haven't reported moving off the old targets.
    std::vector<incarnation_id> unreachable;
};

/// The sums of the reports received for one rollout.
struct rollout_totals {
    rollout_evidence evidence;
    std::uint64_t reached = 0;
    std::uint64_t exposed = 0;
    std::size_t reporters = 0;
    /// The age of the oldest fresh report, and the number of reporters whose report is no longer
    /// fresh.
    microseconds max_report_age{};
    std::size_t stale_reporters = 0;
};

/// Decides the rollout of one service from the reports of all entries. All its state can be rebuilt
/// by another process from the reports and the rollout log; only the log makes a final state final.
/// Until then a version evaluated as bad only loses its traffic, which is reversible.
class rollout_decider {
public:
    using evaluate_hook =
        std::function<rollout_evaluation(const rollout_evidence&, double load_ratio)>;

    /// `exposed_share` is the share of the service's requests that entries may send to the new
    /// version.
    rollout_decider(instant now, incarnation_id own, rollout_order order, double exposed_share,
                    evaluate_hook evaluate);

    const rollout_order& order() const { return order_; }

    /// Replaces the previous report of a process. Ignores reports for another order.
    void record_report(instant now, incarnation_id process, const rollout_report& report,
                       rollout_evidence evidence);

    /// Requests a rollback regardless of the evaluation.
    void request_rollback(const std::string& reason) { roll_back(reason); }

    /// Applies the newest record of this service from the rollout log.
    void apply_record(instant now, const rollout_record& record);

    /// To be called several times a second, by the deciding process only. After a gap it starts
    /// over like a new decider. Only the process that wrote the newest log record directs how the
    /// version is used and completes the rollout. A process that takes over first appends a record
    /// of its own, so that conditional appends of its predecessor that are still in flight fail.
    rollout_decision decide(instant now, const rollout_context& context);

    /// A lower bound of the time since the order was given.
    microseconds elapsed(instant now) const { return now - order_time_; }

    /// The duration of the order, or the default if it has none.
    microseconds duration() const { return duration_; }

    rollout_totals totals(instant now, microseconds report_period) const;

private:
    struct received_report {
        instant received_at{};
        rollout_report report;
        rollout_evidence evidence;
    };

    void reset_after_pause(instant now);
    bool is_collecting_reports(instant now, microseconds report_period) const;
    void evaluate(instant now, const rollout_context& context);
    void roll_back(const std::string& reason);
    rollout_phase update_phase(instant now, const rollout_context& context);
    void update_moving(instant now, const rollout_context& context);
    bool is_new_version_alone(instant now, const rollout_context& context);
    void update_completion(instant now, rollout_phase phase, const rollout_context& context,
                           rollout_decision& decision);
    bool may_send_directive(instant now, rollout_phase phase, microseconds report_period) const;
    bool has_reported_move(instant now, const received_report& entry) const;
    bool is_owner() const { return record_ && record_->decider == own_; }
    bool may_take_over(instant now) const;
    bool has_everyone_moved(instant now, const rollout_context& context,
                            std::vector<incarnation_id>& unreachable) const;
    bool is_fresh(const received_report& entry, instant now, microseconds report_period) const;
    microseconds remaining(instant now) const { return duration_ - elapsed(now); }
    std::optional<rollout_record> next_record(instant now);
    rollout_directive directive_at(instant now, rollout_phase phase,
                                   const rollout_context& context) const;

    incarnation_id own_;
    rollout_order order_;
    evaluate_hook evaluate_;
    microseconds duration_;
    canary_plan plan_;
    /// The latest instant at which the order can have been given.
    instant order_time_;
    std::map<incarnation_id, received_report> reports_;
    /// The newest log record of this order, and whether the log has one of a later order.
    std::optional<rollout_record> record_;
    bool superseded_ = false;
    instant record_received_at_{};
    /// The start of the current uninterrupted period of decisions.
    instant deciding_since_{};
    /// True if another process was the decider when this period began.
    bool took_over_ = false;
    /// True once this process has tried to append its own record in this period.
    bool takeover_attempted_ = false;
    std::optional<instant> last_decided_;
    std::optional<instant> last_evaluated_;
    rollout_evaluation evaluation_;
    /// The start of the moving phase; empty outside of it.
    std::optional<instant> moving_since_;
    /// Since when only targets of the new version have been listed.
    std::optional<instant> only_new_since_;
    /// The final state to be logged, and the reason for it.
    std::optional<rollout_state> final_state_;
    std::string final_reason_;
    /// True from the first attempt to log completion until the log is known to hold a later record.
    /// Meanwhile the completion may still be appended.
    bool completion_pending_ = false;
};

}  // namespace wrenswitch
