#include "wrenswitch/decision/gateway/region_watch.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant begin{seconds(50)};

/// An entry in the north that knows two other regions: one with three entries, one with one.
struct region_watch_fixture {
    region_watch watch{"north"};
    std::vector<member_answers> members{{"n1", "north", 0, 0}, {"s1", "south", 0, 0},
                                        {"s2", "south", 0, 0}, {"s3", "south", 0, 0},
                                        {"w1", "west", 0, 0},  {"x1", "", 0, 0}};
    instant now = begin;

    member_answers& member(std::string_view host) {
        return *std::find_if(members.begin(), members.end(),
                             [host](const auto& each) { return each.host == host; });
    }

    void silent(std::string_view host) { member(host).silences += 1; }
    void answers(std::string_view host) { member(host).answers += 1; }

    std::vector<region_news> look(microseconds later = {}) {
        now += later;
        return watch.look(now, members);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(region_watch_test, region_watch_fixture)

BOOST_AUTO_TEST_CASE(region_whose_entries_are_silent_for_long_is_cut_off_once) {
    silent("s1");
    silent("s2");
    BOOST_TEST(look().empty());
    silent("s1");
    BOOST_TEST(look(milliseconds(900)).empty());
    silent("s1");
    const auto news = look(milliseconds(200));
    BOOST_REQUIRE(news.size() == 1U);
    BOOST_TEST(news[0].region == "south");
    BOOST_TEST(news[0].cut_off);
    BOOST_TEST(news[0].silent == 2U);
    BOOST_TEST(news[0].members == 3U);
    BOOST_TEST((news[0].since == milliseconds(1100)));
    silent("s3");
    BOOST_TEST(look(seconds(1)).empty());
    BOOST_TEST(watch.cut_off() == 1U);
}

BOOST_AUTO_TEST_CASE(region_is_back_with_the_first_answer) {
    silent("s1");
    silent("s2");
    look();
    silent("s1");
    look(seconds(2));
    answers("s3");
    const auto news = look(seconds(1));
    BOOST_REQUIRE(news.size() == 1U);
    BOOST_TEST(!news[0].cut_off);
    BOOST_TEST((news[0].since == seconds(3)));
    BOOST_TEST(watch.cut_off() == 0U);
    // Old silences don't count again.
    BOOST_TEST(look(seconds(5)).empty());
}

BOOST_AUTO_TEST_CASE(one_silent_entry_of_several_is_not_its_region) {
    for (int turn = 0; turn < 5; ++turn) {
        silent("s1");
        BOOST_TEST(look(seconds(1)).empty());
    }
}

BOOST_AUTO_TEST_CASE(silences_that_nobody_repeats_are_no_cut) {
    silent("s1");
    silent("s2");
    silent("w1");
    look();
    BOOST_TEST(look(seconds(30)).empty());
}

BOOST_AUTO_TEST_CASE(only_entry_of_a_region_is_its_region) {
    silent("w1");
    look();
    silent("w1");
    const auto news = look(seconds(1));
    BOOST_REQUIRE(news.size() == 1U);
    BOOST_TEST(news[0].region == "west");
}

BOOST_AUTO_TEST_CASE(region_of_which_one_entry_answers_is_not_cut_off) {
    for (int turn = 0; turn < 5; ++turn) {
        silent("s1");
        silent("s2");
        answers("s3");
        BOOST_TEST(look(seconds(1)).empty());
    }
}

BOOST_AUTO_TEST_CASE(own_and_unnamed_regions_are_left_out) {
    silent("n1");
    silent("x1");
    look();
    silent("n1");
    silent("x1");
    BOOST_TEST(look(seconds(2)).empty());
}

BOOST_AUTO_TEST_CASE(silent_entries_that_left_are_not_held_against_their_region) {
    silent("s1");
    silent("s2");
    look();
    silent("s2");
    std::erase_if(members, [](const auto& each) { return each.host == "s1"; });
    BOOST_TEST(look(seconds(2)).empty());
}

BOOST_AUTO_TEST_CASE(new_process_on_a_host_counts_anew) {
    member("w1").answers = 7;
    look();
    member("w1") = {"w1", "west", 0, 1};
    look();
    silent("w1");
    BOOST_TEST(look(seconds(1)).size() == 1U);
    member("w1") = {"w1", "west", 1, 0};
    BOOST_TEST(look(seconds(1)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(region_without_entries_any_more_is_not_cut_off) {
    silent("w1");
    look();
    silent("w1");
    BOOST_TEST(look(seconds(1)).size() == 1U);
    std::erase_if(members, [](const auto& each) { return each.host == "w1"; });
    BOOST_TEST(look(seconds(1)).empty());
    BOOST_TEST(watch.cut_off() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
