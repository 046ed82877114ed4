#include "wrenswitch/decision/gateway/drain_plan.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// A stop of eight seconds.
struct drain_fixture {
    drain_plan plan;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(drain_plan_test, drain_fixture)

BOOST_AUTO_TEST_CASE(early_request_is_taken_whatever_it_needs) {
    BOOST_TEST(plan.may_take(milliseconds(2800), seconds(60)));
}

BOOST_AUTO_TEST_CASE(later_request_is_taken_only_if_it_can_end) {
    BOOST_TEST(!plan.may_take(milliseconds(3400), milliseconds(4300)));
    BOOST_TEST(plan.may_take(milliseconds(3400), milliseconds(4200)));
    BOOST_TEST(plan.may_take(seconds(7), milliseconds(600)));
    BOOST_TEST(!plan.may_take(milliseconds(7100), milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(process_that_others_still_need_goes_on) {
    BOOST_TEST(!plan.done(seconds(4), 0, milliseconds(100)));
    BOOST_TEST(!plan.done(seconds(4), 1, seconds(1)));
    BOOST_TEST(plan.done(seconds(4), 0, milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(process_does_not_end_before_the_platform_can_know) {
    BOOST_TEST(!plan.done(seconds(1), 0, seconds(1)));
}

BOOST_AUTO_TEST_CASE(process_ends_in_time_whatever_runs) {
    BOOST_TEST(plan.done(milliseconds(7700), 5, microseconds(0)));
    BOOST_TEST(plan.listens(milliseconds(6800)));
    BOOST_TEST(!plan.listens(milliseconds(6900)));
}

BOOST_AUTO_TEST_SUITE_END()
