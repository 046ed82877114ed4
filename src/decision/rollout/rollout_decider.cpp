#include "wrenswitch/decision/rollout/rollout_decider.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {
namespace {

/// The time of an order that gives none: what the judge needs to know a usual service's version.
constexpr microseconds usual_duration = seconds(20);

/// Before the deadline, the end needs so long: runs that can't go on elsewhere take up to some 2 s,
/// the last reports of that half a second, the append and what operators read of it half a second,
/// and the order was heard of up to half a second late.
constexpr microseconds moving_takes = milliseconds(3500);

/// A process whose last report is older than this isn't heard of; more if reports are rarer.
constexpr microseconds fresh_for = seconds(2);
constexpr int fresh_periods = 3;

/// A member that is not heard of for so long is out of touch: its caller's connections, its view of
/// the targets and the log are no better than its way to the decider.
constexpr microseconds out_of_touch_after = seconds(3);

/// A process that hasn't decided for so long was frozen, or another decided meanwhile.
constexpr microseconds longest_pause = seconds(1);

/// A process that takes a roll-out over waits for the reports of the others for so long before it
/// says anything, so that it doesn't take a move back for want of evidence.
constexpr microseconds gathering = seconds(1);
constexpr int gathering_periods = 2;

/// A report that comes so soon after the move began may be older than the word of it.
constexpr microseconds word_takes = milliseconds(100);

/// How often the log is told of the time that has passed.
constexpr microseconds checkpoint_every = seconds(2);

/// An owner that hasn't written for so long decides no more: half as long again as its checkpoints
/// are apart.
constexpr microseconds owner_lost_after = seconds(3);

/// The end isn't written before this part of the order's time is left: from it on nothing bounds
/// what the new version gets, and entries use nine tenths of what it may have, which is a tenth. In
/// less than 120 ms the log and what operators read of it aren't written for certain (with 60 ms
/// they were at 6.000 s of 6, three processes on one machine): for orders under 12 s that is more
/// than the part that is left, up to 50 requests at 800 a second and 6 s.
constexpr int earliest_end_parts = 100;
constexpr microseconds least_for_end = milliseconds(120);

/// Summing up a few hundred reports takes about a millisecond.
constexpr microseconds judge_every = milliseconds(200);

/// The old targets are ended only if the new ones are at least this share of them: fewer are still
/// being started, or have died.
constexpr double least_new_targets = 0.5;

/// A list that names only targets of the new version must do so for as long as one that was lost
/// from it takes to be listed again.
constexpr microseconds alone_for = seconds(3);

std::string text_of(incarnation_id process) {
    return std::to_string(raw(process));
}

}  // namespace

rollout_decider::rollout_decider(instant now, incarnation_id own, rollout_order order,
                                 double exposed_share, judge_hook judge)
    : own_(own),
      order_(std::move(order)),
      judge_(std::move(judge)),
      duration_(order_.duration > microseconds(0) ? order_.duration : usual_duration),
      plan_(duration_, exposed_share, order_.number),
      began_(now) {}

void rollout_decider::take(instant now, incarnation_id process, const rollout_report& report,
                           rollout_evidence evidence) {
    if (report.order != order_.number || report.service != order_.service) {
        return;
    }
    began_ = std::min(began_, now - report.known_for);
    reports_.insert_or_assign(process, process_report{now, report, std::move(evidence)});
}

void rollout_decider::recorded(instant now, const rollout_record& record) {
    if (record.order > order_.number) {
        superseded_ = true;
        return;
    }
    if (record.order < order_.number || record == record_) {
        return;
    }
    began_ = std::min(began_, now - record.elapsed);
    record_ = record;
    record_came_ = now;
    may_complete_ = false;
}

bool rollout_decider::is_fresh(const process_report& heard, instant now,
                               microseconds report_period) const {
    return now - heard.came <= std::max(fresh_for, fresh_periods * report_period);
}

rollout_sums rollout_decider::sums(instant now, microseconds report_period) const {
    rollout_sums sums;
    sums.reporters = reports_.size();
    for (const auto& [process, heard] : reports_) {
        sums.evidence.add(heard.evidence);
        sums.reached += heard.report.reached;
        sums.exposed += heard.report.exposed;
        if (is_fresh(heard, now, report_period)) {
            sums.greatest_age = std::max(sums.greatest_age, now - heard.came);
        } else {
            sums.stale += 1;
        }
    }
    return sums;
}

void rollout_decider::begin_if_new(instant now) {
    const bool goes_on = last_decided_ && now - *last_decided_ <= longest_pause;
    last_decided_ = now;
    if (!goes_on) {
        deciding_since_ = now;
        moving_since_.reset();
        only_new_since_.reset();
        taken_over_ = record_ && !is_owner();
        claimed_ = is_owner();
    }
}

/// True while the reports of others may be missing that another decider had.
bool rollout_decider::gathers(instant now, microseconds report_period) const {
    return taken_over_ &&
           now - deciding_since_ < std::max(gathering, gathering_periods * report_period);
}

void rollout_decider::judge(instant now, const rollout_surroundings& around) {
    if (last_judged_ && now - *last_judged_ < judge_every) {
        return;
    }
    last_judged_ = now;
    const double stress = plan_.highest_load(elapsed(now), around.old_targets, around.new_targets);
    verdict_ = judge_(sums(now, around.report_period).evidence, stress);
    if (verdict_.opinion == rollout_opinion::bad) {
        roll_back(verdict_.reason);
    }
}

/// A version that was found bad stays so for this process, whatever comes later.
void rollout_decider::roll_back(const std::string& reason) {
    if (ending_ != rollout_state::rolled_back) {
        ending_ = rollout_state::rolled_back;
        reason_ = reason;
    }
}

rollout_decision rollout_decider::decide(instant now, const rollout_surroundings& around) {
    begin_if_new(now);
    rollout_decision decision;
    if (superseded_) {
        return decision;
    }
    const bool final = record_ && record_->state != rollout_state::running;
    if (!final) {
        for (const auto& [process, heard] : reports_) {
            if (heard.report.found_bad) {
                roll_back("found bad by process " + text_of(process));
            }
        }
        judge(now, around);
    }
    const rollout_phase phase = phase_of(now, around);
    decision.verdict = verdict_;
    if (final) {
        decision.stand = stand_at(now, phase, around);
        return decision;
    }
    settle(now, phase, around, decision);
    if (may_say(now, phase, around.report_period)) {
        decision.stand = stand_at(now, phase, around);
    }
    decision.wanted = wanted(now);
    return decision;
}

rollout_phase rollout_decider::phase_of(instant now, const rollout_surroundings& around) {
    if (record_ && record_->state == rollout_state::completed) {
        return rollout_phase::completed;
    }
    if (record_ && record_->state == rollout_state::rolled_back) {
        return rollout_phase::rolled_back;
    }
    const bool stopped = ending_ == rollout_state::rolled_back;
    if (!record_ || stopped || around.new_targets == 0) {
        moving_since_.reset();
        return rollout_phase::waiting;
    }
    if (!is_owner()) {
        moving_since_.reset();
        return rollout_phase::canary;
    }
    note_moving(now, around);
    return moving_since_ ? rollout_phase::moving : rollout_phase::canary;
}

/// A version that is held for bad may be stopped by anyone. For the rest one process speaks, once
/// it has gathered what its predecessor knew, and it takes no move back while its end may still
/// come.
bool rollout_decider::may_say(instant now, rollout_phase phase, microseconds report_period) const {
    if (!record_ || ending_ == rollout_state::rolled_back) {
        return true;
    }
    const bool turns_back = may_complete_ && phase != rollout_phase::moving;
    return is_owner() && !turns_back && !gathers(now, report_period);
}

/// Looks whether the roll-out is complete. That may be taken back while the log doesn't have it: a
/// process that wasn't heard of may be again, and send to old targets.
void rollout_decider::settle(instant now, rollout_phase phase, const rollout_surroundings& around,
                             rollout_decision& decision) {
    if (ending_ == rollout_state::rolled_back) {
        return;
    }
    const bool alone = is_served_by_new_alone(now, around);
    const bool may_end = left(now) <= std::max(duration_ / earliest_end_parts, least_for_end) &&
                         verdict_.opinion == rollout_opinion::good;
    const bool moved =
        phase == rollout_phase::moving && has_moved(now, around, decision.unreached) && may_end;
    const bool complete = is_owner() && (alone || moved);
    ending_.reset();
    if (complete) {
        may_complete_ = true;
        ending_ = rollout_state::completed;
        reason_ = alone ? "every listed target has the version" : verdict_.reason;
    }
}

/// The order names what is in force: no process that is known of has sent a request to another
/// version since it heard of the order, and none is listed.
bool rollout_decider::is_served_by_new_alone(instant now, const rollout_surroundings& around) {
    const bool alone = around.old_targets == 0 && around.new_targets > 0;
    if (!alone) {
        only_new_since_.reset();
        return false;
    }
    only_new_since_ = only_new_since_.value_or(now);
    const bool was_served = std::any_of(reports_.begin(), reports_.end(), [](const auto& heard) {
        return heard.second.evidence.of_old_version().sent > 0;
    });
    return !was_served && now - *only_new_since_ >= alone_for;
}

void rollout_decider::note_moving(instant now, const rollout_surroundings& around) {
    const bool enough = static_cast<double>(around.new_targets) >=
                        least_new_targets * static_cast<double>(around.old_targets);
    const microseconds takes = std::min(moving_takes, duration_ / 2);
    const bool due = left(now) <= takes;
    const bool good = verdict_.opinion == rollout_opinion::good;
    if (!good) {
        // What came since, or what was lost with other processes' reports, leaves it in doubt.
        moving_since_.reset();
    }
    if (!moving_since_ && good && due && enough && !gathers(now, around.report_period)) {
        moving_since_ = now;
    }
}

/// True if a process says that it has moved, and that can't be of a move before the present one.
bool rollout_decider::says_moved(instant now, const process_report& heard) const {
    return heard.report.moved && heard.came - moving_since_.value_or(now) >= word_takes;
}

/// True once nothing goes to the old targets any more, as far as can be known: every process that
/// is heard of has moved, and no member has been out of touch for too short a time to be certain.
bool rollout_decider::has_moved(instant now, const rollout_surroundings& around,
                                std::vector<incarnation_id>& unreached) const {
    std::size_t moved = 0;
    for (const auto& [process, heard] : reports_) {
        if (!is_fresh(heard, now, around.report_period)) {
            continue;
        }
        if (!says_moved(now, heard)) {
            return false;
        }
        moved += 1;
    }
    bool is_settled = true;
    for (const incarnation_id member : around.members) {
        const auto heard = reports_.find(member);
        const bool known = heard != reports_.end();
        if (known && (says_moved(now, heard->second) ||
                      is_fresh(heard->second, now, around.report_period))) {
            continue;
        }
        unreached.push_back(member);
        const instant last = known ? heard->second.came : instant{};
        const instant since = std::max({last, deciding_since_, *moving_since_});
        is_settled = is_settled && now - since >= out_of_touch_after;
    }
    return moved > 0 && is_settled;
}

/// A process that begins to decide may take the roll-out over at once. One whose roll-out was taken
/// over waits until the other no longer writes.
bool rollout_decider::may_claim(instant now) const {
    return !is_owner() && (!claimed_ || now - record_came_ >= owner_lost_after);
}

std::optional<rollout_record> rollout_decider::wanted(instant now) {
    rollout_record record{order_.service, order_.number, order_.version, rollout_state::running,
                          elapsed(now),   own_,          "ordered"};
    if (ending_) {
        record.state = *ending_;
        record.reason = reason_;
        return record;
    }
    if (!record_) {
        claimed_ = true;
        return record;
    }
    if (may_claim(now)) {
        claimed_ = true;
        record_came_ = now;
        record.reason = "taken over";
        return record;
    }
    if (may_complete_) {
        record.reason = "not complete after all";
        return record;
    }
    if (is_owner() && record.elapsed - record_->elapsed >= checkpoint_every) {
        record.reason = "time has passed";
        return record;
    }
    return std::nullopt;
}

rollout_stand rollout_decider::stand_at(instant now, rollout_phase phase,
                                        const rollout_surroundings& around) const {
    rollout_stand stand{order_.service, order_.number, order_.version, phase, 0.0, 0, 0, left(now)};
    stand.held_for_bad = ending_ == rollout_state::rolled_back;
    if (phase == rollout_phase::canary) {
        const canary_step step = plan_.at(elapsed(now), around.old_targets, around.new_targets);
        stand.canary_part = step.part;
        stand.group_size = step.group_size;
        stand.group_seed = step.group_seed;
    }
    if (phase == rollout_phase::moving || phase == rollout_phase::completed) {
        stand.canary_part = 1.0;
    }
    return stand;
}

}  // namespace wrenswitch
