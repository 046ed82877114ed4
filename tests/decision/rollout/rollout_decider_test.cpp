#include "wrenswitch/decision/rollout/rollout_decider.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr double share = 0.09;
constexpr std::uint64_t number = 5;

/// One decider among processes that report every 250 ms, with a log that takes what is wanted.
struct rollout_decider_fixture {
    instant now{seconds(100)};
    rollout_order order{"llm", "v2", seconds(20), number};
    incarnation_id own{1};
    std::vector<incarnation_id> members{incarnation_id{1}, incarnation_id{2}, incarnation_id{3}};
    std::size_t old_targets = 10;
    std::size_t new_targets = 10;
    rollout_opinion opinion = rollout_opinion::undecided;
    double stress = -1.0;
    /// Whether the log takes what is wanted.
    bool log_answers = true;
    std::optional<rollout_record> in_log;
    unsigned appended = 0;
    instant order_known = now;
    std::map<incarnation_id, bool> moved;
    std::vector<incarnation_id> silent;
    rollout_decision last;
    rollout_decider decider = make(own);

    rollout_decider make(incarnation_id process) {
        return {now, process, order, share, [this](const rollout_evidence&, double highest) {
                    stress = highest;
                    return rollout_verdict{
                        opinion, opinion == rollout_opinion::bad ? "too many bad" : "well"};
                }};
    }

    rollout_report report_of(incarnation_id process) const {
        rollout_report report;
        report.service = "llm";
        report.order = number;
        report.known_for = now - order_known;
        const auto found = moved.find(process);
        report.moved = found != moved.end() && found->second;
        report.reached = 100;
        report.exposed = 3;
        return report;
    }

    static rollout_evidence evidence(std::uint64_t to_old, std::uint64_t to_new) {
        rollout_evidence made;
        made.counts[{"r", ""}].sent = to_old;
        made.counts[{"r", "t1"}].sent = to_new;
        return made;
    }

    rollout_phase decide(rollout_decider& by) {
        if (in_log) {
            by.recorded(now, *in_log);
        }
        last = by.decide(now, {old_targets, new_targets, members, milliseconds(250)});
        if (last.wanted && log_answers) {
            in_log = last.wanted;
            appended += 1;
        }
        return last.stand ? last.stand->phase : rollout_phase::waiting;
    }

    microseconds period = milliseconds(250);

    /// Lets time pass, in which all report and the decider decides.
    rollout_phase pass(microseconds length) {
        const instant end = now + length;
        rollout_phase phase = rollout_phase::waiting;
        while (now < end) {
            now += period;
            for (const incarnation_id member : members) {
                if (std::find(silent.begin(), silent.end(), member) == silent.end()) {
                    decider.take(now, member, report_of(member), evidence(50, 3));
                }
            }
            phase = decide(decider);
        }
        return phase;
    }

    void all_moved() {
        for (const incarnation_id member : members) {
            moved[member] = true;
        }
    }

    rollout_state state() const { return in_log->state; }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_decider_test, rollout_decider_fixture)

BOOST_AUTO_TEST_CASE(order_whose_version_has_no_target_waits_and_is_shown_as_running) {
    new_targets = 0;
    BOOST_TEST((pass(seconds(30)) == rollout_phase::waiting));
    BOOST_TEST((state() == rollout_state::running));
    new_targets = 10;
    BOOST_TEST((pass(seconds(1)) == rollout_phase::canary));
}

BOOST_AUTO_TEST_CASE(canary_begins_only_once_the_log_has_the_order) {
    log_answers = false;
    BOOST_TEST((pass(seconds(3)) == rollout_phase::waiting));
    log_answers = true;
    BOOST_TEST((pass(seconds(1)) == rollout_phase::canary));
    BOOST_TEST(last.stand->canary_part > 0.0);
    BOOST_TEST(last.stand->group_size >= 2U);
}

BOOST_AUTO_TEST_CASE(good_version_is_moved_to_near_the_deadline_and_completed_before_it) {
    opinion = rollout_opinion::good;
    BOOST_TEST((pass(seconds(16)) == rollout_phase::canary));
    BOOST_TEST((pass(milliseconds(750)) == rollout_phase::moving));
    BOOST_TEST(last.stand->group_size == 0U);
    BOOST_TEST((pass(milliseconds(500)) == rollout_phase::moving));
    all_moved();
    period = milliseconds(50);
    // What the version gets isn't bounded any more from its end on, so that it comes late.
    BOOST_TEST((pass(milliseconds(2500)) == rollout_phase::moving));
    BOOST_TEST((state() == rollout_state::running));
    pass(milliseconds(200));
    BOOST_TEST((state() == rollout_state::completed));
    BOOST_TEST((last.stand->phase == rollout_phase::completed));
    BOOST_TEST((last.stand->left > milliseconds(0)));
    BOOST_TEST((last.stand->left <= milliseconds(200)));
    BOOST_TEST(in_log->reason == "well");
}

BOOST_AUTO_TEST_CASE(short_order_leaves_half_of_its_time_to_the_canary) {
    order.duration = seconds(4);
    decider = make(own);
    opinion = rollout_opinion::good;
    BOOST_TEST((pass(milliseconds(1750)) == rollout_phase::canary));
    BOOST_TEST((pass(milliseconds(500)) == rollout_phase::moving));
}

BOOST_AUTO_TEST_CASE(order_without_a_duration_takes_as_long_as_the_judge_needs) {
    order.duration = microseconds(0);
    decider = make(own);
    opinion = rollout_opinion::good;
    BOOST_TEST((pass(seconds(16)) == rollout_phase::canary));
    BOOST_TEST((pass(seconds(1)) == rollout_phase::moving));
}

BOOST_AUTO_TEST_CASE(undecided_version_stays_a_canary_behind_the_deadline_until_it_is_known) {
    BOOST_TEST((pass(seconds(40)) == rollout_phase::canary));
    BOOST_TEST((last.stand->left < -seconds(19)));
    opinion = rollout_opinion::good;
    BOOST_TEST((pass(milliseconds(500)) == rollout_phase::moving));
}

BOOST_AUTO_TEST_CASE(bad_version_gets_nothing_at_once_and_is_rolled_back) {
    pass(seconds(5));
    opinion = rollout_opinion::bad;
    BOOST_TEST((pass(milliseconds(250)) == rollout_phase::waiting));
    BOOST_TEST((state() == rollout_state::rolled_back));
    BOOST_TEST(in_log->reason == "too many bad");
    BOOST_TEST((pass(milliseconds(250)) == rollout_phase::rolled_back));
}

BOOST_AUTO_TEST_CASE(bad_version_is_rolled_back_also_while_it_is_moved_to_and_behind_the_deadline) {
    opinion = rollout_opinion::good;
    BOOST_TEST((pass(seconds(25)) == rollout_phase::moving));
    opinion = rollout_opinion::bad;
    pass(milliseconds(250));
    BOOST_TEST((state() == rollout_state::rolled_back));
}

BOOST_AUTO_TEST_CASE(version_found_bad_by_one_process_is_rolled_back) {
    pass(seconds(5));
    rollout_report report = report_of(members[1]);
    report.found_bad = true;
    decider.take(now, members[1], report, evidence(50, 3));
    decide(decider);
    BOOST_TEST((state() == rollout_state::rolled_back));
    BOOST_TEST(in_log->reason == "found bad by process 2");
}

BOOST_AUTO_TEST_CASE(store_that_is_dark_changes_no_state_and_stops_a_bad_version_all_the_same) {
    pass(seconds(2));
    log_answers = false;
    BOOST_TEST((pass(seconds(3)) == rollout_phase::canary));
    opinion = rollout_opinion::bad;
    BOOST_TEST((pass(seconds(3)) == rollout_phase::waiting));
    BOOST_TEST((state() == rollout_state::running));
    log_answers = true;
    pass(milliseconds(250));
    BOOST_TEST((state() == rollout_state::rolled_back));
}

BOOST_AUTO_TEST_CASE(version_found_bad_that_the_log_has_as_completed_is_completed) {
    pass(seconds(2));
    log_answers = false;
    opinion = rollout_opinion::bad;
    BOOST_TEST((pass(seconds(1)) == rollout_phase::waiting));
    in_log->state = rollout_state::completed;
    BOOST_TEST((pass(milliseconds(250)) == rollout_phase::completed));
    BOOST_TEST(!last.wanted.has_value());
}

BOOST_AUTO_TEST_CASE(completion_waits_for_every_process_that_is_heard_of) {
    opinion = rollout_opinion::good;
    all_moved();
    moved[members[2]] = false;
    BOOST_TEST((pass(seconds(30)) == rollout_phase::moving));
    BOOST_TEST((state() == rollout_state::running));
    BOOST_TEST(last.unreached.empty());
}

BOOST_AUTO_TEST_CASE(version_that_is_held_for_bad_is_told_so_while_the_log_is_silent) {
    pass(seconds(5));
    log_answers = false;
    opinion = rollout_opinion::bad;
    pass(milliseconds(500));
    BOOST_REQUIRE(last.stand.has_value());
    BOOST_TEST(last.stand->held_for_bad);
}

BOOST_AUTO_TEST_CASE(process_that_cannot_be_reached_delays_completion_by_a_bounded_time) {
    opinion = rollout_opinion::good;
    pass(seconds(17));
    BOOST_REQUIRE((last.stand->phase == rollout_phase::moving));
    all_moved();
    moved[members[2]] = false;
    silent = {members[2]};
    pass(seconds(2));
    BOOST_TEST((state() == rollout_state::running));
    pass(milliseconds(750));
    BOOST_REQUIRE(last.unreached.size() == 1U);
    BOOST_TEST((last.unreached.front() == members[2]));
    pass(milliseconds(500));
    BOOST_TEST((state() == rollout_state::completed));
}

BOOST_AUTO_TEST_CASE(member_that_was_lost_long_before_the_end_makes_nothing_late) {
    silent = {members[2]};
    opinion = rollout_opinion::good;
    all_moved();
    pass(seconds(20));
    BOOST_TEST((state() == rollout_state::completed));
}

BOOST_AUTO_TEST_CASE(version_that_is_no_longer_held_for_good_is_not_completed) {
    opinion = rollout_opinion::good;
    BOOST_TEST((pass(seconds(17)) == rollout_phase::moving));
    opinion = rollout_opinion::undecided;
    all_moved();
    BOOST_TEST((pass(seconds(10)) == rollout_phase::canary));
    BOOST_TEST((state() == rollout_state::running));
    opinion = rollout_opinion::good;
    BOOST_TEST((pass(seconds(2)) == rollout_phase::completed));
}

BOOST_AUTO_TEST_CASE(process_that_moved_and_fell_silent_is_not_waited_for) {
    opinion = rollout_opinion::good;
    pass(milliseconds(16'750));
    all_moved();
    moved[members[1]] = false;
    pass(milliseconds(500));
    silent = {members[2]};
    pass(milliseconds(2500));
    BOOST_TEST((state() == rollout_state::running));
    moved[members[1]] = true;
    pass(milliseconds(250));
    BOOST_TEST((state() == rollout_state::completed));
}

BOOST_AUTO_TEST_CASE(
    completion_that_the_log_does_not_have_is_taken_back_if_a_process_is_not_moved) {
    opinion = rollout_opinion::good;
    pass(seconds(20));
    all_moved();
    log_answers = false;
    pass(milliseconds(250));
    BOOST_REQUIRE(last.wanted.has_value());
    BOOST_TEST((last.wanted->state == rollout_state::completed));
    moved[members[0]] = false;
    pass(milliseconds(250));
    BOOST_REQUIRE(last.wanted.has_value());
    BOOST_TEST((last.wanted->state == rollout_state::running));
}

BOOST_AUTO_TEST_CASE(moves_that_were_reported_before_the_present_one_began_do_not_count) {
    opinion = rollout_opinion::good;
    pass(seconds(20));
    all_moved();
    new_targets = 0;
    BOOST_REQUIRE((pass(milliseconds(250)) == rollout_phase::waiting));
    new_targets = 10;
    BOOST_TEST((decide(decider) == rollout_phase::moving));
    now += milliseconds(200);
    decide(decider);
    BOOST_TEST((state() == rollout_state::running));
    pass(milliseconds(250));
    BOOST_TEST((state() == rollout_state::completed));
}

BOOST_AUTO_TEST_CASE(move_is_not_taken_back_while_its_end_may_still_come) {
    opinion = rollout_opinion::good;
    pass(seconds(20));
    all_moved();
    log_answers = false;
    pass(milliseconds(250));
    BOOST_REQUIRE((last.wanted->state == rollout_state::completed));
    new_targets = 0;
    pass(milliseconds(250));
    BOOST_TEST(!last.stand.has_value());
    BOOST_TEST((last.wanted->state == rollout_state::running));
    log_answers = true;
    pass(milliseconds(250));
    BOOST_TEST((pass(milliseconds(250)) == rollout_phase::waiting));
    BOOST_TEST(last.stand.has_value());
}

BOOST_AUTO_TEST_CASE(nothing_is_completed_on_no_reports) {
    opinion = rollout_opinion::good;
    all_moved();
    silent = members;
    BOOST_TEST((pass(seconds(40)) == rollout_phase::moving));
    BOOST_TEST((state() == rollout_state::running));
}

BOOST_AUTO_TEST_CASE(order_for_the_version_in_force_is_completed_without_a_move) {
    old_targets = 0;
    const auto nothing_to_old = [&] {
        for (const incarnation_id member : members) {
            decider.take(now, member, report_of(member), evidence(0, 20));
        }
        decide(decider);
    };
    nothing_to_old();
    BOOST_TEST((state() == rollout_state::running));
    for (int step = 0; step < 14; ++step) {
        now += milliseconds(250);
        nothing_to_old();
    }
    BOOST_TEST((state() == rollout_state::completed));
    BOOST_TEST(in_log->reason == "every listed target has the version");
}

BOOST_AUTO_TEST_CASE(old_targets_that_all_crash_do_not_complete_an_unproved_version) {
    pass(seconds(3));
    old_targets = 0;
    BOOST_TEST((pass(seconds(30)) == rollout_phase::canary));
    BOOST_TEST((state() == rollout_state::running));
}

BOOST_AUTO_TEST_CASE(version_whose_targets_are_lost_is_not_moved_to) {
    opinion = rollout_opinion::good;
    pass(seconds(17));
    BOOST_REQUIRE((last.stand->phase == rollout_phase::moving));
    all_moved();
    new_targets = 0;
    BOOST_TEST((pass(seconds(5)) == rollout_phase::waiting));
    BOOST_TEST((state() == rollout_state::running));
    // Few of them are no more than a canary.
    new_targets = 4;
    BOOST_TEST((pass(seconds(5)) == rollout_phase::canary));
    new_targets = 5;
    BOOST_TEST((pass(seconds(1)) == rollout_phase::completed));
}

BOOST_AUTO_TEST_CASE(elapsed_time_is_the_longest_that_anyone_knows_of) {
    rollout_report report = report_of(members[1]);
    report.known_for = seconds(8);
    decider.take(now, members[1], report, {});
    now += seconds(1);
    decide(decider);
    BOOST_TEST((last.stand->left == seconds(11)));
    rollout_record record = *in_log;
    record.elapsed = seconds(15);
    decider.recorded(now, record);
    now += milliseconds(500);
    BOOST_TEST((decider.elapsed(now) == milliseconds(15'500)));
    // A later record that knows of less takes nothing back.
    record.elapsed = seconds(1);
    decider.recorded(now, record);
    BOOST_TEST((decider.elapsed(now) == milliseconds(15'500)));
}

BOOST_AUTO_TEST_CASE(time_that_passed_stands_in_the_log_every_two_seconds) {
    pass(seconds(10));
    BOOST_TEST(appended >= 5U);
    BOOST_TEST(appended <= 6U);
    BOOST_TEST((in_log->elapsed >= seconds(8)));
}

BOOST_AUTO_TEST_CASE(order_goes_on_where_the_log_says_after_a_loss_of_everything) {
    pass(seconds(10));
    rollout_record left = *in_log;
    now += seconds(7);
    order_known = now;
    members = {incarnation_id{11}, incarnation_id{12}};
    own = members[0];
    decider = make(own);
    pass(seconds(2));
    BOOST_TEST((decider.elapsed(now) >= left.elapsed + milliseconds(1750)));
    BOOST_TEST((last.stand->phase == rollout_phase::canary));
}

BOOST_AUTO_TEST_CASE(successor_gathers_reports_before_it_says_anything_and_owns_the_record) {
    opinion = rollout_opinion::good;
    pass(seconds(19));
    BOOST_REQUIRE((last.stand->phase == rollout_phase::moving));
    decider = make(members[1]);
    now += milliseconds(250);
    decide(decider);
    BOOST_TEST(!last.stand.has_value());
    BOOST_TEST((in_log->decider == members[1]));
    BOOST_TEST((pass(seconds(1)) == rollout_phase::moving));
    all_moved();
    pass(milliseconds(250));
    BOOST_TEST((state() == rollout_state::completed));
}

BOOST_AUTO_TEST_CASE(decider_whose_roll_out_was_taken_over_completes_nothing) {
    opinion = rollout_opinion::good;
    pass(seconds(17));
    all_moved();
    rollout_decider successor = make(members[1]);
    decide(successor);
    BOOST_REQUIRE((in_log->decider == members[1]));
    pass(seconds(2));
    BOOST_TEST((state() == rollout_state::running));
    // Once the other no longer writes it takes the roll-out back.
    pass(seconds(3));
    BOOST_TEST((state() == rollout_state::completed));
    BOOST_TEST((in_log->decider == own));
}

BOOST_AUTO_TEST_CASE(decider_that_froze_completes_only_on_reports_of_the_present) {
    opinion = rollout_opinion::good;
    pass(seconds(17));
    all_moved();
    pass(microseconds(0));
    for (const incarnation_id member : members) {
        decider.take(now, member, report_of(member), evidence(50, 3));
    }
    // It sleeps; meanwhile another told the entries that it is a canary after all.
    now += seconds(10);
    moved.clear();
    silent = {members[1], members[2]};
    moved[members[0]] = true;
    decide(decider);
    BOOST_TEST((state() == rollout_state::running));
    silent.clear();
    pass(seconds(4));
    BOOST_TEST((state() == rollout_state::running));
}

BOOST_AUTO_TEST_CASE(later_order_ends_an_earlier_ones_decider) {
    pass(seconds(2));
    in_log->order = number + 1;
    decide(decider);
    BOOST_TEST(!last.stand.has_value());
    BOOST_TEST(!last.wanted.has_value());
}

BOOST_AUTO_TEST_CASE(record_of_an_earlier_order_counts_as_none) {
    in_log = rollout_record{"llm",       number - 1, "v2", rollout_state::rolled_back,
                            seconds(20), own,        "bad"};
    BOOST_TEST((pass(seconds(1)) == rollout_phase::canary));
    BOOST_TEST(in_log->order == number);
    BOOST_TEST((decider.elapsed(now) <= seconds(1)));
}

BOOST_AUTO_TEST_CASE(report_that_comes_twice_or_for_another_order_counts_once) {
    decider.take(now, members[0], report_of(members[0]), evidence(50, 3));
    decider.take(now, members[0], report_of(members[0]), evidence(50, 3));
    rollout_report other = report_of(members[1]);
    other.order = number - 1;
    other.found_bad = true;
    decider.take(now, members[1], other, evidence(9, 9));
    const rollout_sums sums = decider.sums(now, milliseconds(250));
    BOOST_TEST(sums.reached == 100U);
    BOOST_TEST(sums.evidence.of_old_version().sent == 50U);
    decide(decider);
    BOOST_TEST((state() == rollout_state::running));
}

BOOST_AUTO_TEST_CASE(judge_is_told_how_high_the_load_was) {
    pass(seconds(5));
    BOOST_TEST(stress < 1.0);
    pass(seconds(10));
    BOOST_TEST(stress > 1.0);
}

BOOST_AUTO_TEST_SUITE_END()
