#include "wrenswitch/decision/suspects/part_suspect_table.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

#include "wrenswitch/decision/suspects/request_fingerprint.hpp"

namespace {

using namespace wrenswitch;

const instant now{seconds(50'000)};
const digest guilty = fingerprint_of_part(1);
const digest sound = fingerprint_of_part(2);

target_incarnation incarnation(int number) {
    return {"t" + std::to_string(number), 1};
}

struct part_suspect_table_fixture {
    part_suspect_table table;

    void crash_under(const digest& part, int first_target, int count, instant at = now) {
        for (int number = first_target; number < first_target + count; ++number) {
            table.add(at, {part, incarnation(number), 0}, at);
        }
    }

    /// Crashes one after the other, a second apart. The last one is at the given instant.
    void crash_in_turn(const digest& part, int first_target, int count, instant last = now) {
        for (int number = 0; number < count; ++number) {
            crash_under(part, first_target + number, 1, last - seconds(count - 1 - number));
        }
    }

    suspicion suspicion_at(instant at, const digest& part) {
        table.quarantine_due(at);
        return table.suspicion_of(at, part);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(part_suspect_table_test, part_suspect_table_fixture)

BOOST_AUTO_TEST_CASE(part_is_suspected_from_second_crash_and_quarantined_after_third) {
    crash_under(guilty, 0, 1, now - seconds(2));
    BOOST_TEST((suspicion_at(now - seconds(2), guilty) == suspicion::none));
    crash_under(guilty, 1, 1, now - seconds(1));
    BOOST_TEST((suspicion_at(now - seconds(1), guilty) == suspicion::suspected));
    crash_under(guilty, 2, 1);
    BOOST_TEST((suspicion_at(now + milliseconds(699), guilty) == suspicion::suspected));
    BOOST_TEST((suspicion_at(now + milliseconds(700), guilty) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(simultaneous_crashes_count_as_one_up_to_the_fifth) {
    crash_under(guilty, 0, 2, now);
    crash_under(guilty, 2, 2, now + milliseconds(300));
    BOOST_TEST((suspicion_at(now + seconds(9), guilty) == suspicion::suspected));
    crash_under(guilty, 4, 1, now + milliseconds(300));
    BOOST_TEST((suspicion_at(now + milliseconds(300), guilty) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(crashes_that_go_on_without_pause_count_as_successive) {
    for (int number = 0; number < 20; ++number) {
        crash_under(guilty, number, 1, now + milliseconds(100 * number));
    }
    table.record_survival(guilty, now - seconds(1));
    BOOST_TEST((suspicion_at(now + milliseconds(2399), guilty) == suspicion::none));
    BOOST_TEST((suspicion_at(now + milliseconds(2400), guilty) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(five_crashes_quarantine_a_part_at_once) {
    crash_under(guilty, 0, 5);
    BOOST_TEST((suspicion_at(now, guilty) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(crashes_that_are_learnt_of_at_once_count_by_when_they_happened) {
    for (int number = 0; number < 3; ++number) {
        table.add(now, {guilty, incarnation(number), 0}, now - seconds(9 - number));
        table.add(now, {sound, incarnation(number), 0}, now - seconds(9));
    }
    BOOST_TEST((suspicion_at(now, guilty) == suspicion::quarantined));
    BOOST_TEST((suspicion_at(now, sound) != suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(parts_with_the_same_crashes_are_quarantined_together) {
    crash_under(guilty, 0, 5);
    crash_under(sound, 0, 5);
    BOOST_TEST((suspicion_at(now, guilty) == suspicion::quarantined));
    BOOST_TEST((suspicion_at(now, sound) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(crash_counts_once_however_often_it_is_reported) {
    for (int report = 0; report < 6; ++report) {
        crash_under(guilty, 0, 1);
    }
    BOOST_TEST(table.record_of(guilty).crashes == 1U);
    BOOST_TEST((suspicion_at(now + seconds(1), guilty) == suspicion::none));
}

BOOST_AUTO_TEST_CASE(survivor_removes_the_crashes_known_before_it_began_to_write) {
    crash_under(guilty, 0, 3);
    crash_under(guilty, 3, 1, now + seconds(2));
    BOOST_TEST(table.record_survival(guilty, now + seconds(1)).size() == 3U);
    BOOST_TEST(table.record_of(guilty).crashes == 1U);
    BOOST_TEST(table.record_survival(guilty, now).empty());
    BOOST_TEST((suspicion_at(now + seconds(3), guilty) == suspicion::none));
}

BOOST_AUTO_TEST_CASE(part_that_was_survived_recently_needs_five_crashes_and_a_longer_grace) {
    table.record_survival(guilty, now);
    crash_in_turn(guilty, 0, 4, now + seconds(4));
    BOOST_TEST((suspicion_at(now + seconds(9), guilty) == suspicion::none));
    crash_under(guilty, 4, 1, now + seconds(10));
    BOOST_TEST((suspicion_at(now + milliseconds(11'999), guilty) == suspicion::none));
    BOOST_TEST((suspicion_at(now + seconds(12), guilty) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(part_is_not_quarantined_while_an_attempt_may_survive_it) {
    table.begin_writing(now, guilty);
    crash_under(guilty, 0, 5);
    BOOST_TEST((suspicion_at(now, guilty) == suspicion::suspected));
    table.end_writing(guilty);
    BOOST_TEST((suspicion_at(now, guilty) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(attempt_that_hangs_holds_off_a_quarantine_for_a_second_at_most) {
    table.begin_writing(now, guilty);
    crash_under(guilty, 0, 5);
    BOOST_TEST((suspicion_at(now + milliseconds(999), guilty) == suspicion::suspected));
    BOOST_TEST((suspicion_at(now + seconds(1), guilty) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(crashes_dated_by_a_clock_that_is_behind_are_kept_and_tried_no_sooner) {
    for (int number = 0; number < 5; ++number) {
        table.add(now, {guilty, incarnation(number), 0}, now - seconds(7200));
    }
    BOOST_TEST((suspicion_at(now, guilty) == suspicion::quarantined));
    BOOST_TEST(table.evict_expired(now + seconds(10)).empty());
    BOOST_TEST(!table.is_trial_due(now + seconds(599), guilty));
}

BOOST_AUTO_TEST_CASE(entry_that_starts_anew_counts_the_trials_that_failed_before) {
    for (int number = 0; number < 7; ++number) {
        // Five crashes at a time, and two trials after them.
        const instant crashed = now - seconds(number < 5 ? 100 : 100 - 20 * (number - 4));
        table.add(now, {guilty, incarnation(number), 0}, crashed);
    }
    BOOST_TEST((suspicion_at(now, guilty) == suspicion::quarantined));
    for (int refusal = 0; refusal < 10'000; ++refusal) {
        table.record_refusal(guilty);
    }
    BOOST_TEST(!table.is_trial_due(now + seconds(599), guilty));
}

BOOST_AUTO_TEST_CASE(newest_crashes_under_a_part_are_kept) {
    for (int number = 0; number < 100; ++number) {
        crash_under(guilty, number, 1, now + seconds(number));
    }
    BOOST_TEST(table.record_of(guilty).crashes == 32U);
    BOOST_TEST((table.record_of(guilty).first_crash == now + seconds(68)));
    BOOST_TEST(!table.add(now + seconds(100), {guilty, incarnation(3), 0}, now + seconds(3)));
    BOOST_TEST(table.record_of(guilty).crashes == 32U);
}

BOOST_AUTO_TEST_CASE(part_whose_evidence_was_withdrawn_counts_as_survived) {
    crash_under(sound, 0, 1);
    BOOST_TEST(table.withdraw({sound, incarnation(0), 0}));
    crash_in_turn(sound, 1, 4, now + seconds(5));
    BOOST_TEST((suspicion_at(now + seconds(6), sound) == suspicion::none));
}

BOOST_AUTO_TEST_CASE(crashes_that_a_quarantined_part_explains_dont_count_against_others) {
    crash_under(guilty, 0, 5);
    crash_under(sound, 1, 4);
    BOOST_TEST((suspicion_at(now + seconds(1), guilty) == suspicion::quarantined));
    BOOST_TEST((suspicion_at(now + seconds(1), sound) == suspicion::none));
    // Neither do later ones, whichever is reported first.
    crash_under(sound, 5, 3);
    crash_under(guilty, 5, 3);
    BOOST_TEST((suspicion_at(now + seconds(9), sound) == suspicion::none));
    crash_under(sound, 0, 8);
    BOOST_TEST((suspicion_at(now + seconds(9), sound) == suspicion::none));
}

BOOST_AUTO_TEST_CASE(
    crashes_count_against_the_next_part_when_the_one_that_explained_them_is_acquitted) {
    // All requests hold the sound part, and engines crash for reasons of their own as well.
    crash_in_turn(guilty, 0, 4);
    crash_in_turn(sound, 0, 6);
    BOOST_TEST((suspicion_at(now, sound) == suspicion::quarantined));
    BOOST_TEST((suspicion_at(now + seconds(1), guilty) != suspicion::quarantined));
    BOOST_TEST(table.is_less_suspect(now + seconds(1), guilty, sound));
    BOOST_TEST(!table.is_less_suspect(now + seconds(1), sound, guilty));
    table.record_survival(sound, now + seconds(2));
    BOOST_TEST((suspicion_at(now + seconds(2), guilty) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(quarantined_part_that_many_callers_need_is_tried_early_and_twice_at_most) {
    crash_under(guilty, 0, 5);
    BOOST_TEST((suspicion_at(now, guilty) == suspicion::quarantined));
    instant last = now;
    std::size_t refusals = 8;
    for (int trial = 0; trial < 2; ++trial) {
        BOOST_TEST(!table.is_trial_due(last + seconds(1), guilty));
        for (std::size_t number = 0; number < refusals; ++number) {
            table.record_refusal(guilty);
        }
        BOOST_TEST(!table.is_trial_due(last + milliseconds(999), guilty));
        BOOST_TEST(table.is_trial_due(last + seconds(1), guilty));
        last += seconds(1);
        crash_under(guilty, 5 + trial, 1, last);
        refusals *= 8;
    }
    for (std::size_t number = 0; number < 10'000; ++number) {
        table.record_refusal(guilty);
    }
    BOOST_TEST(!table.is_trial_due(last + seconds(600), guilty));
}

BOOST_AUTO_TEST_CASE(acquitted_part_explains_no_crash_any_more) {
    crash_under(guilty, 0, 5);
    BOOST_TEST((suspicion_at(now, guilty) == suspicion::quarantined));
    table.record_survival(guilty, now + seconds(1));
    BOOST_TEST((suspicion_at(now + seconds(1), guilty) == suspicion::none));
    crash_under(sound, 0, 5, now + seconds(2));
    BOOST_TEST((suspicion_at(now + seconds(2), sound) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(trial_is_due_once_after_each_crash_and_ever_later) {
    crash_in_turn(guilty, 0, 3);
    BOOST_TEST((suspicion_at(now + seconds(1), guilty) == suspicion::quarantined));
    BOOST_TEST(!table.is_trial_due(now + seconds(29), guilty));
    BOOST_TEST(table.is_trial_due(now + seconds(30), guilty));
    crash_under(guilty, 3, 1, now + seconds(30));
    BOOST_TEST(!table.is_trial_due(now + seconds(89), guilty));
    BOOST_TEST(table.is_trial_due(now + seconds(90), guilty));
    crash_under(guilty, 4, 1, now + seconds(90));
    BOOST_TEST(!table.is_trial_due(now + seconds(689), guilty));
    BOOST_TEST(table.is_trial_due(now + seconds(690), guilty));
}

BOOST_AUTO_TEST_CASE(evidence_of_old_crashes_expires) {
    crash_under(sound, 0, 1);
    crash_under(guilty, 1, 5);
    BOOST_TEST((suspicion_at(now, guilty) == suspicion::quarantined));
    BOOST_TEST(table.evict_expired(now + seconds(7201)).size() == 1U);
    BOOST_TEST(table.evict_expired(now + seconds(7801)).size() == 5U);
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(parts_with_the_fewest_crashes_give_way_when_there_are_too_many) {
    crash_under(guilty, 0, 3);
    for (std::uint64_t number = 0; number < 5000; ++number) {
        crash_under(fingerprint_of_part(100 + number), 9, 1);
    }
    table.evict_expired(now);
    BOOST_TEST(table.size() == 4096U);
    BOOST_TEST(table.record_of(guilty).crashes == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
