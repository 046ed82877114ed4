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
#include "wrenswitch/decision/rollout/rollout_evidence.hpp"
#include "wrenswitch/decision/rollout/rollout_judge.hpp"
#include "wrenswitch/decision/rollout/rollout_order.hpp"
#include "wrenswitch/decision/rollout/rollout_stand.hpp"

namespace wrenswitch {

/// What a decider of roll-outs is told of the fleet when it decides.
struct rollout_surroundings {
    /// How many targets of the service are listed, of the old versions and of the new one. Both are
    /// zero while the list isn't known.
    std::size_t old_targets = 0;
    std::size_t new_targets = 0;
    /// The processes that the directory of members names.
    std::span<const incarnation_id> members;
    /// How far apart the reports of one process are.
    microseconds report_period{};
};

/// What a decider wants at one time.
struct rollout_decision {
    /// The word to the entries; nothing while the decider doesn't know enough to say anything.
    std::optional<rollout_stand> stand;
    /// What the log of roll-outs should hold.
    std::optional<rollout_record> wanted;
    /// What is held of the version.
    rollout_verdict verdict;
    /// Members that aren't heard of and haven't moved.
    std::vector<incarnation_id> unreached;
};

/// What came of a roll-out so far, as the reports tell it.
struct rollout_sums {
    rollout_evidence evidence;
    std::uint64_t reached = 0;
    std::uint64_t exposed = 0;
    std::size_t reporters = 0;
    /// How old the oldest of the reports is that count as fresh, and how many are older.
    microseconds greatest_age{};
    std::size_t stale = 0;
};

/// Decides one service's roll-out by the reports of all entries. It holds nothing that another
/// process couldn't find again from the reports and the log: the final states are the log's alone.
/// Until the log has one, a version that is held for bad gets nothing, which can still be undone.
class rollout_decider {
public:
    using judge_hook = std::function<rollout_verdict(const rollout_evidence&, double stress)>;

    /// `exposed_share` is the share of the service's requests that entries may send to the new
    /// version.
    rollout_decider(instant now, incarnation_id own, rollout_order order, double exposed_share,
                    judge_hook judge);

    const rollout_order& order() const { return order_; }

    /// Takes the newest report of a process, in place of its former one. One for another order is
    /// ignored.
    void take(instant now, incarnation_id process, const rollout_report& report,
              rollout_evidence evidence);

    /// Wants the roll-out rolled back, whatever the answers are.
    void stop(const std::string& reason) { roll_back(reason); }

    /// What the log of roll-outs holds of the service.
    void recorded(instant now, const rollout_record& record);

    /// To be asked several times a second by the process that decides, and only by it. After a
    /// pause it takes itself for one that has just begun. Only the process that wrote the log's
    /// newest record says how the version is used, and completes; one that takes over writes itself
    /// there first, so that what its predecessor still has under way loses its condition.
    rollout_decision decide(instant now, const rollout_surroundings& around);

    /// How much of the order's time has certainly passed.
    microseconds elapsed(instant now) const { return now - began_; }

    /// The time that the order gives.
    microseconds duration() const { return duration_; }

    rollout_sums sums(instant now, microseconds report_period) const;

private:
    struct process_report {
        instant came{};
        rollout_report report;
        rollout_evidence evidence;
    };

    void begin_if_new(instant now);
    bool gathers(instant now, microseconds report_period) const;
    void judge(instant now, const rollout_surroundings& around);
    void roll_back(const std::string& reason);
    rollout_phase phase_of(instant now, const rollout_surroundings& around);
    void note_moving(instant now, const rollout_surroundings& around);
    bool is_served_by_new_alone(instant now, const rollout_surroundings& around);
    void settle(instant now, rollout_phase phase, const rollout_surroundings& around,
                rollout_decision& decision);
    bool may_say(instant now, rollout_phase phase, microseconds report_period) const;
    bool says_moved(instant now, const process_report& heard) const;
    bool is_owner() const { return record_ && record_->decider == own_; }
    bool may_claim(instant now) const;
    bool has_moved(instant now, const rollout_surroundings& around,
                   std::vector<incarnation_id>& unreached) const;
    bool is_fresh(const process_report& heard, instant now, microseconds report_period) const;
    microseconds left(instant now) const { return duration_ - elapsed(now); }
    std::optional<rollout_record> wanted(instant now);
    rollout_stand stand_at(instant now, rollout_phase phase,
                           const rollout_surroundings& around) const;

    incarnation_id own_;
    rollout_order order_;
    judge_hook judge_;
    microseconds duration_;
    canary_plan plan_;
    /// The latest instant at which the order can have been given.
    instant began_;
    std::map<incarnation_id, process_report> reports_;
    /// What the log holds of this order, and whether it holds a later one.
    std::optional<rollout_record> record_;
    bool superseded_ = false;
    instant record_came_{};
    /// Since when this process decides without a pause, and when it last did.
    instant deciding_since_{};
    /// True if another process decided before.
    bool taken_over_ = false;
    /// True once this process has tried to write itself into the log since it began to decide.
    bool claimed_ = false;
    std::optional<instant> last_decided_;
    std::optional<instant> last_judged_;
    rollout_verdict verdict_;
    /// Since when the version is moved to; nothing if it isn't.
    std::optional<instant> moving_since_;
    /// Since when only targets of the new version are listed.
    std::optional<instant> only_new_since_;
    /// The final state that is wanted, and why.
    std::optional<rollout_state> ending_;
    std::string reason_;
    /// True from the moment that completion was wanted until the log is known to hold a later
    /// record: so long it may still get it.
    bool may_complete_ = false;
};

}  // namespace wrenswitch
