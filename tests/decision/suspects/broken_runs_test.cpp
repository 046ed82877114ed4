#include "wrenswitch/decision/suspects/broken_runs.hpp"

#include <boost/test/unit_test.hpp>

#include "wrenswitch/decision/suspects/request_fingerprint.hpp"

namespace {

using namespace wrenswitch;

const instant now{seconds(50)};
const target_life life{"t", 1};
const digest first{1, 1};
const digest second{2, 2};

struct broken_runs_fixture {
    broken_runs runs;
};

BOOST_FIXTURE_TEST_SUITE(broken_runs_test, broken_runs_fixture)

BOOST_AUTO_TEST_CASE(requests_that_broke_at_a_life_are_taken_once_each_at_its_end) {
    runs.broke(now, life, first);
    runs.broke(now, life, first);
    runs.broke(now, life, second);
    runs.broke(now, {"t", 2}, {3, 3});
    BOOST_TEST((runs.take_ended(life) == std::vector<digest>{first, second}));
    BOOST_TEST(runs.take_ended(life).empty());
    BOOST_TEST(runs.has_broken({"t", 2}));
}

BOOST_AUTO_TEST_CASE(request_that_was_called_off_right_before_the_end_is_taken_too) {
    runs.left(now - milliseconds(900), life, first);
    runs.left(now - milliseconds(1100), life, second);
    runs.broke(now, life, {3, 3});
    BOOST_TEST((runs.take_ended(life) == std::vector<digest>{first, {3, 3}}));
}

BOOST_AUTO_TEST_CASE(request_that_broke_long_before_the_end_is_not_taken) {
    runs.broke(now - milliseconds(1100), life, first);
    runs.broke(now, life, second);
    BOOST_TEST((runs.take_ended(life) == std::vector<digest>{second}));
}

BOOST_AUTO_TEST_CASE(life_at_which_runs_were_only_called_off_names_none) {
    runs.left(now, life, first);
    BOOST_TEST(!runs.has_broken(life));
    BOOST_TEST(runs.take_ended(life).empty());
}

BOOST_AUTO_TEST_CASE(life_that_goes_on_names_none) {
    runs.broke(now, life, first);
    runs.lives(life);
    BOOST_TEST(runs.take_ended(life).empty());
}

BOOST_AUTO_TEST_CASE(break_that_nobody_explained_is_forgotten) {
    runs.broke(now, life, first);
    runs.forget_old(now + seconds(8));
    BOOST_TEST(runs.has_broken(life));
    runs.forget_old(now + seconds(9));
    BOOST_TEST(!runs.has_broken(life));
}

BOOST_AUTO_TEST_CASE(memory_of_one_life_is_bounded) {
    for (std::uint64_t number = 0; number < 1000; ++number) {
        runs.broke(now, life, {number, 0});
    }
    BOOST_TEST(runs.take_ended(life).size() == 256U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(request_fingerprint_test)

BOOST_AUTO_TEST_CASE(fingerprint_of_the_same_content_is_the_same) {
    const request_content content{"POST", "h", "/a/b", "account", "body"};
    BOOST_TEST((fingerprint_of(content) == fingerprint_of(content)));
}

BOOST_AUTO_TEST_CASE(fingerprint_differs_with_each_part) {
    const request_content content{"POST", "h", "/a/b", "account", "body"};
    const digest usual = fingerprint_of(content);
    for (std::string_view request_content::*part :
         {&request_content::method, &request_content::host, &request_content::target,
          &request_content::account, &request_content::body}) {
        request_content other = content;
        other.*part = "other";
        BOOST_TEST((fingerprint_of(other) != usual));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
