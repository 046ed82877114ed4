#include <boost/test/unit_test.hpp>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};
constexpr microseconds step = milliseconds(10);

/// Three targets of a service, of which the first names a limit, before one entry alone.
struct target_turns_fixture {
    random_source random{3};
    target_pool pool{{}, random};

    target_turns_fixture() {
        for (const char* id : {"p1", "p2", "p3"}) {
            pool.apply(entry_of(id));
        }
        name("p1", 50.0, now);
    }

    static gateway_target entry_of(const std::string& id) {
        return {id, "plain", "127.0.0.1:" + id.substr(1), "d1", 6, false, {}};
    }

    void name(const char* id, double per_second, instant at) {
        pool.limits().heard(at, id, at - step, per_second);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_turns_test, target_turns_fixture)

BOOST_AUTO_TEST_CASE(targets_without_a_turn_in_time_are_left_out) {
    BOOST_TEST((pool.without_turn(now, "plain", {}) == std::vector<std::string>{"p1"}));
    BOOST_TEST(pool.without_turn(now, "plain", {milliseconds(20), {}}).empty());
    BOOST_TEST(pool.without_turn(now, "other", {}).empty());
}

BOOST_AUTO_TEST_CASE(request_that_leaves_a_turn_for_others_takes_none_that_is_the_last) {
    const turn_wish wish{milliseconds(20), milliseconds(100)};
    BOOST_TEST((pool.without_turn(now, "plain", wish) == std::vector<std::string>{"p1"}));
    name("p2", 50.0, now);
    BOOST_TEST(pool.without_turn(now, "plain", wish).empty());
}

BOOST_AUTO_TEST_CASE(turn_that_is_too_far_away_is_not_taken) {
    BOOST_TEST(!pool.take_turn(now, "p1", {}).has_value());
    BOOST_TEST(pool.take_turn(now, "p2", {}).has_value());
    BOOST_TEST(pool.take_turn(now, "p1", milliseconds(20)).has_value());
}

BOOST_AUTO_TEST_CASE(request_that_waits_when_the_limit_falls_is_not_sent) {
    const auto turn = pool.take_turn(now, "p1", milliseconds(20));
    BOOST_REQUIRE(turn.has_value());
    BOOST_TEST(pool.may_send(now, "p1", *turn));
    name("p1", 0.5, now + step);
    BOOST_TEST(!pool.may_send(now, "p1", *turn));
}

BOOST_AUTO_TEST_CASE(request_that_was_chosen_before_a_limit_was_named_is_not_sent) {
    const auto turn = pool.take_turn(now, "p2", {});
    name("p2", 2.0, now + step);
    BOOST_TEST(!pool.may_send(now, "p2", *turn));
}

BOOST_AUTO_TEST_CASE(soonest_turn_is_that_of_targets_which_have_none_now) {
    BOOST_TEST(pool.soonest_turn(now, "plain").has_value());
    BOOST_TEST((pool.soonest_turn(now, "plain")->wait <= milliseconds(20)));
    BOOST_TEST(!pool.soonest_turn(now, "plain")->rests);
    BOOST_TEST(!pool.soonest_turn(now, "other").has_value());
}

BOOST_AUTO_TEST_CASE(target_that_starts_anew_names_no_limit_yet) {
    pool.restarted("p1");
    BOOST_TEST(pool.without_turn(now, "plain", {}).empty());
}

BOOST_AUTO_TEST_CASE(target_that_rests_gets_nothing_and_nothing_waits_for_it) {
    pool.rests().ask(now, "p2", seconds(3));
    BOOST_TEST(
        (pool.without_turn(now, "plain", {seconds(9), {}}) == std::vector<std::string>{"p2"}));
    BOOST_TEST(!pool.take_turn(now, "p2", seconds(9)).has_value());
    BOOST_TEST(!pool.may_send(now, "p2", {}));
    const instant later = now + seconds(4);
    BOOST_TEST(pool.take_turn(later, "p2", {}).has_value());
    BOOST_TEST(pool.may_send(later, "p2", {}));
}

BOOST_AUTO_TEST_CASE(rest_of_the_first_to_be_back_is_the_soonest_turn) {
    pool.rests().ask(now, "p1", seconds(8));
    pool.rests().ask(now, "p2", seconds(3));
    BOOST_REQUIRE(pool.soonest_turn(now, "plain").has_value());
    BOOST_TEST(pool.soonest_turn(now, "plain")->rests);
    BOOST_TEST((pool.soonest_turn(now, "plain")->wait >= seconds(3)));
    BOOST_TEST((pool.soonest_turn(now, "plain")->wait <= milliseconds(3750)));
}

BOOST_AUTO_TEST_CASE(shorter_rest_that_is_asked_for_later_ends_no_longer_one) {
    pool.rests().ask(now, "p2", seconds(3));
    pool.rests().ask(now + step, "p2", milliseconds(100));
    pool.rests().ask(now + step, "p2", seconds(0));
    BOOST_TEST((pool.rests().left(now + seconds(2), "p2") >= seconds(1)));
}

BOOST_AUTO_TEST_CASE(target_that_says_it_leaves_is_not_used_whatever_the_list_says) {
    BOOST_TEST(pool.note_leaving("p2"));
    BOOST_TEST(!pool.note_leaving("p2"));
    pool.apply(entry_of("p2"), 9);
    BOOST_TEST(!pool.usable("p2", "plain"));
    BOOST_TEST(!pool.may_send(now, "p2", {}));
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(pool.pick(now, "plain", std::vector<std::string>{"p1"}).target->id == "p3");
    }
}

BOOST_AUTO_TEST_CASE(new_life_of_a_target_neither_leaves_nor_rests) {
    pool.note_leaving("p2");
    pool.rests().ask(now, "p2", seconds(3));
    pool.restarted("p2");
    BOOST_TEST(pool.usable("p2", "plain"));
    BOOST_TEST(pool.may_send(now, "p2", {}));
}

BOOST_AUTO_TEST_SUITE_END()
