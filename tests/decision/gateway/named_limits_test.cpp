#include "wrenswitch/decision/gateway/named_limits.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};
constexpr microseconds step = milliseconds(10);

/// A target that names a limit to a request that was sent before.
struct named_limits_fixture {
    random_source random{3};
    std::size_t entries = 8;
    bool is_first = true;
    std::uint64_t version = 0;
    named_limits limits{
        {[this] { return entries; }, [this](std::string_view, std::size_t) { return is_first; },
         [this] { return version; }},
        random};

    named_limits_fixture() { limits.heard(now, "t", now - step, 2.0); }

    /// Of the eight that two a second and four allow, each has a turn in four seconds.
    static constexpr microseconds spacing = seconds(4);

    microseconds wait(instant at = now) { return limits.wait(at, "t"); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(named_limits_test, named_limits_fixture)

BOOST_AUTO_TEST_CASE(target_that_names_none_has_none) {
    BOOST_TEST((limits.heard(now, "other", now - step, std::nullopt) == limit_news::none));
    BOOST_TEST(!limits.limit_of("other").has_value());
    BOOST_TEST(limits.size() == 1U);
}

BOOST_AUTO_TEST_CASE(limit_that_was_named_holds_without_further_answers) {
    BOOST_TEST(*limits.limit_of("t") == 2.0);
}

BOOST_AUTO_TEST_CASE(answer_without_a_limit_to_a_later_request_ends_it) {
    BOOST_TEST((limits.heard(now + 3 * step, "t", now + step, std::nullopt) == limit_news::ended));
    BOOST_TEST(!limits.limit_of("t").has_value());
}

BOOST_AUTO_TEST_CASE(answer_to_a_request_that_was_sent_before_ends_no_limit_and_raises_none) {
    BOOST_TEST((limits.heard(now + step, "t", now - step, std::nullopt) == limit_news::none));
    BOOST_TEST((limits.heard(now + step, "t", now - step, 5.0) == limit_news::none));
    BOOST_TEST(*limits.limit_of("t") == 2.0);
}

BOOST_AUTO_TEST_CASE(lower_limit_holds_whenever_its_request_was_sent) {
    BOOST_TEST((limits.heard(now + step, "t", now - seconds(9), 0.5) == limit_news::changed));
    BOOST_TEST(*limits.limit_of("t") == 0.5);
}

BOOST_AUTO_TEST_CASE(sends_are_counted_for_four_seconds_while_a_limit_is_known) {
    limits.note_sent(now, "other");
    limits.note_sent(now, "t");
    limits.note_sent(now + seconds(3), "t");
    BOOST_TEST(limits.sent_lately(now + seconds(3), "t") == 2U);
    BOOST_TEST(limits.sent_lately(now + seconds(5), "t") == 1U);
    BOOST_TEST(limits.sent_lately(now, "other") == 0U);
}

BOOST_AUTO_TEST_CASE(sender_that_hears_of_a_limit_has_no_turn_in_hand) {
    BOOST_TEST((wait() > microseconds(0)));
    BOOST_TEST((wait() <= spacing));
    BOOST_TEST((limits.wait(now, "other") == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(sender_has_its_share_of_the_rate) {
    const instant later = now + spacing;
    BOOST_TEST((wait(later) == microseconds(0)));
    limits.take(later, "t");
    BOOST_TEST((wait(later) == spacing));
    limits.take(later, "t");
    BOOST_TEST((wait(later) == 2 * spacing));
}

BOOST_AUTO_TEST_CASE(turns_that_nobody_used_do_not_pile_up) {
    const instant later = now + 100 * spacing;
    limits.take(later, "t");
    BOOST_TEST((wait(later) == spacing));
}

BOOST_AUTO_TEST_CASE(high_limit_leaves_what_a_second_brings_in_hand) {
    limits.heard(now, "high", now - step, 80.0);
    const instant later = now + seconds(2);
    for (int turn = 0; turn < 11; ++turn) {
        BOOST_TEST((limits.wait(later, "high") == microseconds(0)));
        limits.take(later, "high");
    }
    BOOST_TEST((limits.wait(later, "high") > microseconds(0)));
}

BOOST_AUTO_TEST_CASE(entry_that_is_not_among_the_senders_has_no_turn) {
    is_first = false;
    limits.heard(now, "other", now - step, 2.0);
    BOOST_TEST((limits.wait(now + seconds(1000), "other") > seconds(1000)));
}

BOOST_AUTO_TEST_CASE(entry_that_becomes_a_sender_has_its_first_turn_a_whole_spacing_later) {
    is_first = false;
    limits.heard(now, "other", now - step, 2.0);
    is_first = true;
    version += 1;
    BOOST_TEST((limits.wait(now + step, "other") == spacing));
}

BOOST_AUTO_TEST_CASE(entry_that_does_not_know_the_others_sends_nothing_to_a_limited_target) {
    entries = 0;
    version += 1;
    BOOST_TEST((wait(now + seconds(1000)) > seconds(1000)));
}

BOOST_AUTO_TEST_CASE(limit_of_nothing_is_tried_again_seldom) {
    entries = 1000;
    limits.heard(now, "none", now - step, 0.0);
    BOOST_TEST(named_limits::most_senders(0.0) == 4U);
    BOOST_TEST((limits.wait(now, "none") <= seconds(40)));
    limits.take(now + seconds(40), "none");
    BOOST_TEST((limits.wait(now + seconds(40), "none") == seconds(40)));
}

BOOST_AUTO_TEST_CASE(limit_far_above_what_comes_costs_no_wait) {
    limits.heard(now, "high", now - step, 1e9);
    for (int turn = 0; turn < 1000; ++turn) {
        BOOST_TEST((limits.wait(now + seconds(1), "high") == microseconds(0)));
        limits.take(now + seconds(1), "high");
    }
}

BOOST_AUTO_TEST_CASE(turns_that_were_taken_are_void_when_the_limit_falls_by_much) {
    const std::uint64_t before = limits.turns_void("t");
    limits.heard(now + step, "t", now, 1.9);
    BOOST_TEST(limits.turns_void("t") == before);
    limits.heard(now + 2 * step, "t", now, 0.5);
    BOOST_TEST(limits.turns_void("t") == before + 1);
}

BOOST_AUTO_TEST_CASE(limit_that_rises_by_much_brings_the_next_turn_nearer) {
    limits.heard(now, "none", now - step, 0.0);
    limits.heard(now + 3 * step, "none", now + step, 8.0);
    BOOST_TEST((limits.wait(now + 3 * step, "none") <= seconds(1)));
    BOOST_TEST((limits.wait(now + 3 * step, "none") > microseconds(0)));
}

BOOST_AUTO_TEST_CASE(limit_that_changes_with_each_answer_gives_no_turn_earlier) {
    const instant later = now + spacing;
    limits.take(later, "t");
    for (int turn = 1; turn <= 20; ++turn) {
        limits.heard(later + turn * step, "t", later + (turn - 1) * step + step / 2,
                     turn % 2 == 0 ? 2.0 : 1.8);
    }
    BOOST_TEST((wait(later + 20 * step) >= spacing - 20 * step));
}

BOOST_AUTO_TEST_CASE(other_entry_s_word_counts_by_when_it_was_heard) {
    BOOST_TEST((limits.told(now + step, "t", now - step, std::nullopt) == limit_news::none));
    BOOST_TEST((limits.told(now + 3 * step, "t", now + step, std::nullopt) == limit_news::ended));
    // It was heard before the end.
    BOOST_TEST((limits.told(now + 4 * step, "t", now, 2.0) == limit_news::none));
    BOOST_TEST((limits.told(now + 5 * step, "t", now + 2 * step, 2.0) == limit_news::named));
}

BOOST_AUTO_TEST_CASE(limit_of_which_nothing_was_heard_is_known_as_such) {
    BOOST_TEST(limits.unheard(now + seconds(4), seconds(5)).empty());
    BOOST_TEST((limits.unheard(now + seconds(6), seconds(5)) == std::vector<std::string>{"t"}));
    limits.heard(now + seconds(6), "t", now + seconds(5), 2.0);
    BOOST_TEST(limits.unheard(now + seconds(7), seconds(5)).empty());
}

BOOST_AUTO_TEST_CASE(target_that_starts_anew_has_no_limit) {
    limits.forget("t");
    BOOST_TEST(!limits.limit_of("t").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
