#include "wrenswitch/decision/rollout/rollout_decider.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr double exposed_share = 0.09;
constexpr std::uint64_t order_number = 5;

/// One decider among processes that report every 250 ms, with a log that appends its records.
struct rollout_decider_fixture {
    instant now{seconds(100)};
    rollout_order order{"llm", "v2", seconds(20), order_number};
    incarnation_id own{1};
    std::vector<incarnation_id> members{incarnation_id{1}, incarnation_id{2}, incarnation_id{3}};
    std::size_t old_targets = 10;
    std::size_t new_targets = 10;
    evaluation_result result = evaluation_result::undecided;
    double load_ratio = -1.0;
    /// Whether appends to the log succeed.
    bool log_available = true;
    std::optional<rollout_record> logged_record;
    unsigned append_count = 0;
    instant order_known_since = now;
    std::map<incarnation_id, bool> moved;
    std::vector<incarnation_id> silent_members;
    rollout_decision last_decision;
    rollout_decider decider = make(own);

    rollout_decider make(incarnation_id process) {
        return {now, process, order, exposed_share, [this](const rollout_evidence&, double ratio) {
                    load_ratio = ratio;
                    return rollout_evaluation{
                        result, result == evaluation_result::bad ? "too many bad" : "well"};
                }};
    }

    rollout_report report_of(incarnation_id process) const {
        rollout_report report;
        report.service = "llm";
        report.order = order_number;
        report.known_for = now - order_known_since;
        const auto found = moved.find(process);
        report.moved = found != moved.end() && found->second;
        report.reached = 100;
        report.exposed = 3;
        return report;
    }

    static rollout_evidence evidence(std::uint64_t to_old, std::uint64_t to_new) {
        rollout_evidence sent_evidence;
        sent_evidence.counts[{"r", ""}].sent = to_old;
        sent_evidence.counts[{"r", "t1"}].sent = to_new;
        return sent_evidence;
    }

    rollout_phase decide(rollout_decider& chosen) {
        if (logged_record) {
            chosen.apply_record(now, *logged_record);
        }
        last_decision = chosen.decide(now, {old_targets, new_targets, members, milliseconds(250)});
        if (last_decision.record_to_append && log_available) {
            logged_record = last_decision.record_to_append;
            append_count += 1;
        }
        return last_decision.directive ? last_decision.directive->phase : rollout_phase::waiting;
    }

    microseconds period = milliseconds(250);

    /// Advances the time, with reports from all members and a decision in each period.
    rollout_phase advance(microseconds length) {
        const instant end = now + length;
        rollout_phase phase = rollout_phase::waiting;
        while (now < end) {
            now += period;
            for (const incarnation_id member : members) {
                if (std::find(silent_members.begin(), silent_members.end(), member) ==
                    silent_members.end()) {
                    decider.record_report(now, member, report_of(member), evidence(50, 3));
                }
            }
            phase = decide(decider);
        }
        return phase;
    }

    void mark_all_moved() {
        for (const incarnation_id member : members) {
            moved[member] = true;
        }
    }

    rollout_state state() const { return logged_record->state; }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_decider_test, rollout_decider_fixture)

BOOST_AUTO_TEST_CASE(order_without_new_targets_waits_and_is_logged_as_running) {
    new_targets = 0;
    BOOST_TEST((advance(seconds(30)) == rollout_phase::waiting));
    BOOST_TEST((state() == rollout_state::running));
    new_targets = 10;
    BOOST_TEST((advance(seconds(1)) == rollout_phase::canary));
}

BOOST_AUTO_TEST_CASE(canary_starts_only_after_order_is_logged) {
    log_available = false;
    BOOST_TEST((advance(seconds(3)) == rollout_phase::waiting));
    log_available = true;
    BOOST_TEST((advance(seconds(1)) == rollout_phase::canary));
    BOOST_TEST(last_decision.directive->canary_fraction > 0.0);
    BOOST_TEST(last_decision.directive->group_size >= 2U);
}

BOOST_AUTO_TEST_CASE(good_version_moves_near_deadline_and_completes_before_it) {
    result = evaluation_result::good;
    BOOST_TEST((advance(seconds(16)) == rollout_phase::canary));
    BOOST_TEST((advance(milliseconds(750)) == rollout_phase::moving));
    BOOST_TEST(last_decision.directive->group_size == 0U);
    BOOST_TEST((advance(milliseconds(500)) == rollout_phase::moving));
    mark_all_moved();
    period = milliseconds(50);
    // The new version's traffic is unbounded after completion, so completion comes late.
    BOOST_TEST((advance(milliseconds(2500)) == rollout_phase::moving));
    BOOST_TEST((state() == rollout_state::running));
    advance(milliseconds(200));
    BOOST_TEST((state() == rollout_state::completed));
    BOOST_TEST((last_decision.directive->phase == rollout_phase::completed));
    BOOST_TEST((last_decision.directive->remaining > milliseconds(0)));
    BOOST_TEST((last_decision.directive->remaining <= milliseconds(200)));
    BOOST_TEST(logged_record->reason == "well");
}

BOOST_AUTO_TEST_CASE(short_order_keeps_half_of_its_duration_for_canary) {
    order.duration = seconds(4);
    decider = make(own);
    result = evaluation_result::good;
    BOOST_TEST((advance(milliseconds(1750)) == rollout_phase::canary));
    BOOST_TEST((advance(milliseconds(500)) == rollout_phase::moving));
}

BOOST_AUTO_TEST_CASE(order_without_duration_uses_default) {
    order.duration = microseconds(0);
    decider = make(own);
    result = evaluation_result::good;
    BOOST_TEST((advance(seconds(16)) == rollout_phase::canary));
    BOOST_TEST((advance(seconds(1)) == rollout_phase::moving));
}

BOOST_AUTO_TEST_CASE(undecided_version_stays_canary_past_deadline) {
    BOOST_TEST((advance(seconds(40)) == rollout_phase::canary));
    BOOST_TEST((last_decision.directive->remaining < -seconds(19)));
    result = evaluation_result::good;
    BOOST_TEST((advance(milliseconds(500)) == rollout_phase::moving));
}

BOOST_AUTO_TEST_CASE(bad_version_loses_traffic_at_once_and_is_rolled_back) {
    advance(seconds(5));
    result = evaluation_result::bad;
    BOOST_TEST((advance(milliseconds(250)) == rollout_phase::waiting));
    BOOST_TEST((state() == rollout_state::rolled_back));
    BOOST_TEST(logged_record->reason == "too many bad");
    BOOST_TEST((advance(milliseconds(250)) == rollout_phase::rolled_back));
}

BOOST_AUTO_TEST_CASE(bad_version_while_moving_past_deadline_is_rolled_back) {
    result = evaluation_result::good;
    BOOST_TEST((advance(seconds(25)) == rollout_phase::moving));
    result = evaluation_result::bad;
    advance(milliseconds(250));
    BOOST_TEST((state() == rollout_state::rolled_back));
}

BOOST_AUTO_TEST_CASE(version_found_bad_by_one_process_is_rolled_back) {
    advance(seconds(5));
    rollout_report report = report_of(members[1]);
    report.found_bad = true;
    decider.record_report(now, members[1], report, evidence(50, 3));
    decide(decider);
    BOOST_TEST((state() == rollout_state::rolled_back));
    BOOST_TEST(logged_record->reason == "found bad by process 2");
}

BOOST_AUTO_TEST_CASE(unavailable_log_keeps_state_and_still_stops_bad_version) {
    advance(seconds(2));
    log_available = false;
    BOOST_TEST((advance(seconds(3)) == rollout_phase::canary));
    result = evaluation_result::bad;
    BOOST_TEST((advance(seconds(3)) == rollout_phase::waiting));
    BOOST_TEST((state() == rollout_state::running));
    log_available = true;
    advance(milliseconds(250));
    BOOST_TEST((state() == rollout_state::rolled_back));
}

BOOST_AUTO_TEST_CASE(bad_version_logged_as_completed_stays_completed) {
    advance(seconds(2));
    log_available = false;
    result = evaluation_result::bad;
    BOOST_TEST((advance(seconds(1)) == rollout_phase::waiting));
    logged_record->state = rollout_state::completed;
    BOOST_TEST((advance(milliseconds(250)) == rollout_phase::completed));
    BOOST_TEST(!last_decision.record_to_append.has_value());
}

BOOST_AUTO_TEST_CASE(completion_waits_for_every_reporting_process) {
    result = evaluation_result::good;
    mark_all_moved();
    moved[members[2]] = false;
    BOOST_TEST((advance(seconds(30)) == rollout_phase::moving));
    BOOST_TEST((state() == rollout_state::running));
    BOOST_TEST(last_decision.unreachable.empty());
}

BOOST_AUTO_TEST_CASE(bad_version_is_announced_while_log_is_unavailable) {
    advance(seconds(5));
    log_available = false;
    result = evaluation_result::bad;
    advance(milliseconds(500));
    BOOST_REQUIRE(last_decision.directive.has_value());
    BOOST_TEST(last_decision.directive->version_bad);
}

BOOST_AUTO_TEST_CASE(unreachable_process_delays_completion_by_bounded_time) {
    result = evaluation_result::good;
    advance(seconds(17));
    BOOST_REQUIRE((last_decision.directive->phase == rollout_phase::moving));
    mark_all_moved();
    moved[members[2]] = false;
    silent_members = {members[2]};
    advance(seconds(2));
    BOOST_TEST((state() == rollout_state::running));
    advance(milliseconds(750));
    BOOST_REQUIRE(last_decision.unreachable.size() == 1U);
    BOOST_TEST((last_decision.unreachable.front() == members[2]));
    advance(milliseconds(500));
    BOOST_TEST((state() == rollout_state::completed));
}

BOOST_AUTO_TEST_CASE(member_lost_long_before_the_end_does_not_delay_completion) {
    silent_members = {members[2]};
    result = evaluation_result::good;
    mark_all_moved();
    advance(seconds(20));
    BOOST_TEST((state() == rollout_state::completed));
}

BOOST_AUTO_TEST_CASE(version_no_longer_good_is_not_completed) {
    result = evaluation_result::good;
    BOOST_TEST((advance(seconds(17)) == rollout_phase::moving));
    result = evaluation_result::undecided;
    mark_all_moved();
    BOOST_TEST((advance(seconds(10)) == rollout_phase::canary));
    BOOST_TEST((state() == rollout_state::running));
    result = evaluation_result::good;
    BOOST_TEST((advance(seconds(2)) == rollout_phase::completed));
}

BOOST_AUTO_TEST_CASE(silent_process_that_had_moved_does_not_delay_completion) {
    result = evaluation_result::good;
    advance(milliseconds(16'750));
    mark_all_moved();
    moved[members[1]] = false;
    advance(milliseconds(500));
    silent_members = {members[2]};
    advance(milliseconds(2500));
    BOOST_TEST((state() == rollout_state::running));
    moved[members[1]] = true;
    advance(milliseconds(250));
    BOOST_TEST((state() == rollout_state::completed));
}

BOOST_AUTO_TEST_CASE(unlogged_completion_is_withdrawn_if_a_process_has_not_moved) {
    result = evaluation_result::good;
    advance(seconds(20));
    mark_all_moved();
    log_available = false;
    advance(milliseconds(250));
    BOOST_REQUIRE(last_decision.record_to_append.has_value());
    BOOST_TEST((last_decision.record_to_append->state == rollout_state::completed));
    moved[members[0]] = false;
    advance(milliseconds(250));
    BOOST_REQUIRE(last_decision.record_to_append.has_value());
    BOOST_TEST((last_decision.record_to_append->state == rollout_state::running));
}

BOOST_AUTO_TEST_CASE(moves_reported_before_current_moving_phase_are_ignored) {
    result = evaluation_result::good;
    advance(seconds(20));
    mark_all_moved();
    new_targets = 0;
    BOOST_REQUIRE((advance(milliseconds(250)) == rollout_phase::waiting));
    new_targets = 10;
    BOOST_TEST((decide(decider) == rollout_phase::moving));
    now += milliseconds(200);
    decide(decider);
    BOOST_TEST((state() == rollout_state::running));
    advance(milliseconds(250));
    BOOST_TEST((state() == rollout_state::completed));
}

BOOST_AUTO_TEST_CASE(moving_phase_is_not_reverted_while_completion_is_pending) {
    result = evaluation_result::good;
    advance(seconds(20));
    mark_all_moved();
    log_available = false;
    advance(milliseconds(250));
    BOOST_REQUIRE((last_decision.record_to_append->state == rollout_state::completed));
    new_targets = 0;
    advance(milliseconds(250));
    BOOST_TEST(!last_decision.directive.has_value());
    BOOST_TEST((last_decision.record_to_append->state == rollout_state::running));
    log_available = true;
    advance(milliseconds(250));
    BOOST_TEST((advance(milliseconds(250)) == rollout_phase::waiting));
    BOOST_TEST(last_decision.directive.has_value());
}

BOOST_AUTO_TEST_CASE(missing_reports_prevent_completion) {
    result = evaluation_result::good;
    mark_all_moved();
    silent_members = members;
    BOOST_TEST((advance(seconds(40)) == rollout_phase::moving));
    BOOST_TEST((state() == rollout_state::running));
}

BOOST_AUTO_TEST_CASE(order_for_deployed_version_completes_without_moving) {
    old_targets = 0;
    const auto report_only_new_traffic = [&] {
        for (const incarnation_id member : members) {
            decider.record_report(now, member, report_of(member), evidence(0, 20));
        }
        decide(decider);
    };
    report_only_new_traffic();
    BOOST_TEST((state() == rollout_state::running));
    for (int step = 0; step < 14; ++step) {
        now += milliseconds(250);
        report_only_new_traffic();
    }
    BOOST_TEST((state() == rollout_state::completed));
    BOOST_TEST(logged_record->reason == "every listed target has the version");
}

BOOST_AUTO_TEST_CASE(crash_of_all_old_targets_does_not_complete_unproven_version) {
    advance(seconds(3));
    old_targets = 0;
    BOOST_TEST((advance(seconds(30)) == rollout_phase::canary));
    BOOST_TEST((state() == rollout_state::running));
}

BOOST_AUTO_TEST_CASE(version_with_lost_targets_does_not_move) {
    result = evaluation_result::good;
    advance(seconds(17));
    BOOST_REQUIRE((last_decision.directive->phase == rollout_phase::moving));
    mark_all_moved();
    new_targets = 0;
    BOOST_TEST((advance(seconds(5)) == rollout_phase::waiting));
    BOOST_TEST((state() == rollout_state::running));
    // With so few targets it stays a canary.
    new_targets = 4;
    BOOST_TEST((advance(seconds(5)) == rollout_phase::canary));
    new_targets = 5;
    BOOST_TEST((advance(seconds(1)) == rollout_phase::completed));
}

BOOST_AUTO_TEST_CASE(elapsed_time_is_the_longest_reported_by_any_source) {
    rollout_report report = report_of(members[1]);
    report.known_for = seconds(8);
    decider.record_report(now, members[1], report, {});
    now += seconds(1);
    decide(decider);
    BOOST_TEST((last_decision.directive->remaining == seconds(11)));
    rollout_record record = *logged_record;
    record.elapsed = seconds(15);
    decider.apply_record(now, record);
    now += milliseconds(500);
    BOOST_TEST((decider.elapsed(now) == milliseconds(15'500)));
    // A later record with less elapsed time doesn't reduce it.
    record.elapsed = seconds(1);
    decider.apply_record(now, record);
    BOOST_TEST((decider.elapsed(now) == milliseconds(15'500)));
}

BOOST_AUTO_TEST_CASE(elapsed_time_is_logged_every_two_seconds) {
    advance(seconds(10));
    BOOST_TEST(append_count >= 5U);
    BOOST_TEST(append_count <= 6U);
    BOOST_TEST((logged_record->elapsed >= seconds(8)));
}

BOOST_AUTO_TEST_CASE(order_resumes_from_logged_time_after_loss_of_all_processes) {
    advance(seconds(10));
    rollout_record saved = *logged_record;
    now += seconds(7);
    order_known_since = now;
    members = {incarnation_id{11}, incarnation_id{12}};
    own = members[0];
    decider = make(own);
    advance(seconds(2));
    BOOST_TEST((decider.elapsed(now) >= saved.elapsed + milliseconds(1750)));
    BOOST_TEST((last_decision.directive->phase == rollout_phase::canary));
}

BOOST_AUTO_TEST_CASE(successor_takes_over_record_and_collects_reports_before_directive) {
    result = evaluation_result::good;
    advance(seconds(19));
    BOOST_REQUIRE((last_decision.directive->phase == rollout_phase::moving));
    decider = make(members[1]);
    now += milliseconds(250);
    decide(decider);
    BOOST_TEST(!last_decision.directive.has_value());
    BOOST_TEST((logged_record->decider == members[1]));
    BOOST_TEST((advance(seconds(1)) == rollout_phase::moving));
    mark_all_moved();
    advance(milliseconds(250));
    BOOST_TEST((state() == rollout_state::completed));
}

BOOST_AUTO_TEST_CASE(replaced_decider_does_not_complete) {
    result = evaluation_result::good;
    advance(seconds(17));
    mark_all_moved();
    rollout_decider successor = make(members[1]);
    decide(successor);
    BOOST_REQUIRE((logged_record->decider == members[1]));
    advance(seconds(2));
    BOOST_TEST((state() == rollout_state::running));
    // It takes the rollout back once the other decider has stopped writing.
    advance(seconds(3));
    BOOST_TEST((state() == rollout_state::completed));
    BOOST_TEST((logged_record->decider == own));
}

BOOST_AUTO_TEST_CASE(decider_resuming_after_pause_ignores_old_reports) {
    result = evaluation_result::good;
    advance(seconds(17));
    mark_all_moved();
    advance(microseconds(0));
    for (const incarnation_id member : members) {
        decider.record_report(now, member, report_of(member), evidence(50, 3));
    }
    // While it is suspended another decider reverts the entries to the canary phase.
    now += seconds(10);
    moved.clear();
    silent_members = {members[1], members[2]};
    moved[members[0]] = true;
    decide(decider);
    BOOST_TEST((state() == rollout_state::running));
    silent_members.clear();
    advance(seconds(4));
    BOOST_TEST((state() == rollout_state::running));
}

BOOST_AUTO_TEST_CASE(later_order_silences_decider_of_earlier_one) {
    advance(seconds(2));
    logged_record->order = order_number + 1;
    decide(decider);
    BOOST_TEST(!last_decision.directive.has_value());
    BOOST_TEST(!last_decision.record_to_append.has_value());
}

BOOST_AUTO_TEST_CASE(record_of_earlier_order_is_ignored) {
    logged_record = rollout_record{
        "llm", order_number - 1, "v2", rollout_state::rolled_back, seconds(20), own, "bad"};
    BOOST_TEST((advance(seconds(1)) == rollout_phase::canary));
    BOOST_TEST(logged_record->order == order_number);
    BOOST_TEST((decider.elapsed(now) <= seconds(1)));
}

BOOST_AUTO_TEST_CASE(duplicate_report_counts_once_and_other_orders_report_not_at_all) {
    decider.record_report(now, members[0], report_of(members[0]), evidence(50, 3));
    decider.record_report(now, members[0], report_of(members[0]), evidence(50, 3));
    rollout_report other_report = report_of(members[1]);
    other_report.order = order_number - 1;
    other_report.found_bad = true;
    decider.record_report(now, members[1], other_report, evidence(9, 9));
    const rollout_totals totals = decider.totals(now, milliseconds(250));
    BOOST_TEST(totals.reached == 100U);
    BOOST_TEST(totals.evidence.of_old_version().sent == 50U);
    decide(decider);
    BOOST_TEST((state() == rollout_state::running));
}

BOOST_AUTO_TEST_CASE(evaluator_receives_peak_load) {
    advance(seconds(5));
    BOOST_TEST(load_ratio < 1.0);
    advance(seconds(10));
    BOOST_TEST(load_ratio > 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
