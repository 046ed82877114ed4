#include "wrenswitch/decision/rollout/rollout_decider.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {
namespace {

/// For orders without a duration: the time the evaluation of a version takes for a typical service.
constexpr microseconds default_duration = seconds(20);

/// The time to complete before the deadline: up to about 2 s for attempts that can't be retried
/// elsewhere, half a second for the last reports about them, half a second for the log append and
/// until operators can read it, and up to half a second by which the order was learned late.
constexpr microseconds moving_time = milliseconds(3500);

/// A process whose last report is older than this counts as unreachable; longer if the report
/// interval is long.
constexpr microseconds report_lifetime = seconds(2);
constexpr int report_lifetime_periods = 3;

/// A member without a report for this long is treated as cut off: its client connections, its view
/// of the targets and its log are no better reachable than the decider.
constexpr microseconds unreachable_after = seconds(3);

/// A process that hasn't decided for longer was suspended, or another one decided in the meantime.
constexpr microseconds max_decision_gap = seconds(1);

/// A process that takes over a rollout collects the reports of the others for this long before it
/// sends directives, so that missing evidence doesn't make it revert the moving phase.
constexpr microseconds report_collection_time = seconds(1);
constexpr int report_collection_periods = 2;

/// A report that arrives this soon after the moving phase began may have been sent before the
/// directive arrived.
constexpr microseconds directive_delay = milliseconds(100);

/// How often the elapsed time is written to the log.
constexpr microseconds checkpoint_interval = seconds(2);

/// An owner that hasn't written for this long no longer decides: 1.5 times its checkpoint interval.
constexpr microseconds owner_timeout = seconds(3);

/// Completion isn't logged before this fraction of the order's duration is left: afterwards the
/// traffic of the new version is unbounded, and entries use nine tenths of the allowed share, which
/// leaves a tenth. In less than 120 ms the append and its publication to operators don't reliably
/// finish (with 60 ms they finished at 6.000 s of 6 with three processes on one machine). For
/// orders under 12 s that is more than the fraction: up to 50 requests at 800 requests/s and 6 s.
constexpr int completion_window_divisor = 100;
constexpr microseconds min_completion_window = milliseconds(120);

/// Adding up a few hundred reports takes about a millisecond.
constexpr microseconds evaluation_interval = milliseconds(200);

/// The minimum ratio of new to old targets for stopping the old ones: with fewer, the new ones are
/// still starting or have crashed.
constexpr double min_new_target_ratio = 0.5;

/// A list with only new targets must persist for as long as a target that was dropped from the list
/// takes to be listed again.
constexpr microseconds alone_confirmation_time = seconds(3);

std::string to_text(incarnation_id process) {
    return std::to_string(raw(process));
}

}  // namespace

rollout_decider::rollout_decider(instant now, incarnation_id own, rollout_order order,
                                 double exposed_share, evaluate_hook evaluate)
    : own_(own),
      order_(std::move(order)),
      evaluate_(std::move(evaluate)),
      duration_(order_.duration > microseconds(0) ? order_.duration : default_duration),
      plan_(duration_, exposed_share, order_.number),
      order_time_(now) {}

void rollout_decider::record_report(instant now, incarnation_id process,
                                    const rollout_report& report, rollout_evidence evidence) {
    if (report.order != order_.number || report.service != order_.service) {
        return;
    }
    order_time_ = std::min(order_time_, now - report.known_for);
    reports_.insert_or_assign(process, received_report{now, report, std::move(evidence)});
}

void rollout_decider::apply_record(instant now, const rollout_record& record) {
    if (record.order > order_.number) {
        superseded_ = true;
        return;
    }
    if (record.order < order_.number || record == record_) {
        return;
    }
    order_time_ = std::min(order_time_, now - record.elapsed);
    record_ = record;
    record_received_at_ = now;
    completion_pending_ = false;
}

bool rollout_decider::is_fresh(const received_report& entry, instant now,
                               microseconds report_period) const {
    return now - entry.received_at <=
           std::max(report_lifetime, report_lifetime_periods * report_period);
}

rollout_totals rollout_decider::totals(instant now, microseconds report_period) const {
    rollout_totals totals;
    totals.reporters = reports_.size();
    for (const auto& [process, entry] : reports_) {
        totals.evidence.add(entry.evidence);
        totals.reached += entry.report.reached;
        totals.exposed += entry.report.exposed;
        if (is_fresh(entry, now, report_period)) {
            totals.max_report_age = std::max(totals.max_report_age, now - entry.received_at);
        } else {
            totals.stale_reporters += 1;
        }
    }
    return totals;
}

void rollout_decider::reset_after_pause(instant now) {
    const bool is_continuous = last_decided_ && now - *last_decided_ <= max_decision_gap;
    last_decided_ = now;
    if (!is_continuous) {
        deciding_since_ = now;
        moving_since_.reset();
        only_new_since_.reset();
        took_over_ = record_ && !is_owner();
        takeover_attempted_ = is_owner();
    }
}

/// True while reports that a previous decider had may still be missing.
bool rollout_decider::is_collecting_reports(instant now, microseconds report_period) const {
    return took_over_ &&
           now - deciding_since_ <
               std::max(report_collection_time, report_collection_periods * report_period);
}

void rollout_decider::evaluate(instant now, const rollout_context& context) {
    if (last_evaluated_ && now - *last_evaluated_ < evaluation_interval) {
        return;
    }
    last_evaluated_ = now;
    const double load_ratio =
        plan_.peak_load(elapsed(now), context.old_targets, context.new_targets);
    evaluation_ = evaluate_(totals(now, context.report_period).evidence, load_ratio);
    if (evaluation_.result == evaluation_result::bad) {
        roll_back(evaluation_.reason);
    }
}

/// A version found to be bad stays so for this process.
void rollout_decider::roll_back(const std::string& reason) {
    if (final_state_ != rollout_state::rolled_back) {
        final_state_ = rollout_state::rolled_back;
        final_reason_ = reason;
    }
}

rollout_decision rollout_decider::decide(instant now, const rollout_context& context) {
    reset_after_pause(now);
    rollout_decision decision;
    if (superseded_) {
        return decision;
    }
    const bool final = record_ && record_->state != rollout_state::running;
    if (!final) {
        for (const auto& [process, entry] : reports_) {
            if (entry.report.found_bad) {
                roll_back("found bad by process " + to_text(process));
            }
        }
        evaluate(now, context);
    }
    const rollout_phase phase = update_phase(now, context);
    decision.evaluation = evaluation_;
    if (final) {
        decision.directive = directive_at(now, phase, context);
        return decision;
    }
    update_completion(now, phase, context, decision);
    if (may_send_directive(now, phase, context.report_period)) {
        decision.directive = directive_at(now, phase, context);
    }
    decision.record_to_append = next_record(now);
    return decision;
}

rollout_phase rollout_decider::update_phase(instant now, const rollout_context& context) {
    if (record_ && record_->state == rollout_state::completed) {
        return rollout_phase::completed;
    }
    if (record_ && record_->state == rollout_state::rolled_back) {
        return rollout_phase::rolled_back;
    }
    const bool rolling_back = final_state_ == rollout_state::rolled_back;
    if (!record_ || rolling_back || context.new_targets == 0) {
        moving_since_.reset();
        return rollout_phase::waiting;
    }
    if (!is_owner()) {
        moving_since_.reset();
        return rollout_phase::canary;
    }
    update_moving(now, context);
    return moving_since_ ? rollout_phase::moving : rollout_phase::canary;
}

/// Any process may stop a bad version. Otherwise only the owner sends directives, once it has
/// collected the reports that its predecessor had, and it doesn't revert the moving phase while a
/// completion may still be appended.
bool rollout_decider::may_send_directive(instant now, rollout_phase phase,
                                         microseconds report_period) const {
    if (!record_ || final_state_ == rollout_state::rolled_back) {
        return true;
    }
    const bool would_revert = completion_pending_ && phase != rollout_phase::moving;
    return is_owner() && !would_revert && !is_collecting_reports(now, report_period);
}

/// Checks whether the rollout is complete. That can be withdrawn until it is logged, since an
/// unreachable process may come back and send requests to old targets.
void rollout_decider::update_completion(instant now, rollout_phase phase,
                                        const rollout_context& context,
                                        rollout_decision& decision) {
    if (final_state_ == rollout_state::rolled_back) {
        return;
    }
    const bool new_version_alone = is_new_version_alone(now, context);
    const bool completion_allowed =
        remaining(now) <= std::max(duration_ / completion_window_divisor, min_completion_window) &&
        evaluation_.result == evaluation_result::good;
    const bool moved = phase == rollout_phase::moving &&
                       has_everyone_moved(now, context, decision.unreachable) && completion_allowed;
    const bool complete = is_owner() && (new_version_alone || moved);
    final_state_.reset();
    if (complete) {
        completion_pending_ = true;
        final_state_ = rollout_state::completed;
        final_reason_ =
            new_version_alone ? "every listed target has the version" : evaluation_.reason;
    }
}

/// True if the order names the version that is already deployed: only its targets are listed, and
/// no known process has sent a request to another version since it learned of the order.
bool rollout_decider::is_new_version_alone(instant now, const rollout_context& context) {
    const bool new_version_alone = context.old_targets == 0 && context.new_targets > 0;
    if (!new_version_alone) {
        only_new_since_.reset();
        return false;
    }
    only_new_since_ = only_new_since_.value_or(now);
    const bool old_version_used = std::any_of(
        reports_.begin(), reports_.end(),
        [](const auto& entry) { return entry.second.evidence.of_old_version().sent > 0; });
    return !old_version_used && now - *only_new_since_ >= alone_confirmation_time;
}

void rollout_decider::update_moving(instant now, const rollout_context& context) {
    const bool enough_targets = static_cast<double>(context.new_targets) >=
                                min_new_target_ratio * static_cast<double>(context.old_targets);
    const microseconds required = std::min(moving_time, duration_ / 2);
    const bool due = remaining(now) <= required;
    const bool good = evaluation_.result == evaluation_result::good;
    if (!good) {
        // Newer evidence, or the loss of other processes' reports, leaves the version in doubt.
        moving_since_.reset();
    }
    if (!moving_since_ && good && due && enough_targets &&
        !is_collecting_reports(now, context.report_period)) {
        moving_since_ = now;
    }
}

/// True if a process reported having moved, and the report can't be about an earlier moving phase.
bool rollout_decider::has_reported_move(instant now, const received_report& entry) const {
    return entry.report.moved && entry.received_at - moving_since_.value_or(now) >= directive_delay;
}

/// True once nothing goes to the old targets any more, as far as can be known: every process with a
/// fresh report has moved, and every other member has been unreachable for long enough.
bool rollout_decider::has_everyone_moved(instant now, const rollout_context& context,
                                         std::vector<incarnation_id>& unreachable) const {
    std::size_t moved = 0;
    for (const auto& [process, entry] : reports_) {
        if (!is_fresh(entry, now, context.report_period)) {
            continue;
        }
        if (!has_reported_move(now, entry)) {
            return false;
        }
        moved += 1;
    }
    bool members_settled = true;
    for (const incarnation_id member : context.members) {
        const auto entry = reports_.find(member);
        const bool known = entry != reports_.end();
        if (known && (has_reported_move(now, entry->second) ||
                      is_fresh(entry->second, now, context.report_period))) {
            continue;
        }
        unreachable.push_back(member);
        const instant last_report = known ? entry->second.received_at : instant{};
        const instant since = std::max({last_report, deciding_since_, *moving_since_});
        members_settled = members_settled && now - since >= unreachable_after;
    }
    return moved > 0 && members_settled;
}

/// A process that starts deciding may take over at once. One that lost ownership waits until the
/// other one has stopped writing.
bool rollout_decider::may_take_over(instant now) const {
    return !is_owner() && (!takeover_attempted_ || now - record_received_at_ >= owner_timeout);
}

std::optional<rollout_record> rollout_decider::next_record(instant now) {
    rollout_record record{order_.service, order_.number, order_.version, rollout_state::running,
                          elapsed(now),   own_,          "ordered"};
    if (final_state_) {
        record.state = *final_state_;
        record.reason = final_reason_;
        return record;
    }
    if (!record_) {
        takeover_attempted_ = true;
        return record;
    }
    if (may_take_over(now)) {
        takeover_attempted_ = true;
        record_received_at_ = now;
        record.reason = "taken over";
        return record;
    }
    if (completion_pending_) {
        record.reason = "not complete after all";
        return record;
    }
    if (is_owner() && record.elapsed - record_->elapsed >= checkpoint_interval) {
        record.reason = "time has passed";
        return record;
    }
    return std::nullopt;
}

rollout_directive rollout_decider::directive_at(instant now, rollout_phase phase,
                                                const rollout_context& context) const {
    rollout_directive directive{order_.service, order_.number, order_.version, phase, 0.0, 0, 0,
                                remaining(now)};
    directive.version_bad = final_state_ == rollout_state::rolled_back;
    if (phase == rollout_phase::canary) {
        const canary_step step = plan_.at(elapsed(now), context.old_targets, context.new_targets);
        directive.canary_fraction = step.budget_fraction;
        directive.group_size = step.group_size;
        directive.group_seed = step.group_seed;
    }
    if (phase == rollout_phase::moving || phase == rollout_phase::completed) {
        directive.canary_fraction = 1.0;
    }
    return directive;
}

}  // namespace wrenswitch
