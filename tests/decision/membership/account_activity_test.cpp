#include "wrenswitch/decision/membership/account_activity.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant start{seconds(50)};

}  // namespace

BOOST_AUTO_TEST_SUITE(account_activity_test)

BOOST_AUTO_TEST_CASE(requests_in_quick_succession_are_counted) {
    account_activity activity;
    for (int request = 0; request < 3; ++request) {
        activity.record(start + milliseconds(10 * request), "a");
    }
    const account_presence presence = activity.presence_of(start + milliseconds(100), "a");
    BOOST_TEST(presence.recent_requests == 3U);
    BOOST_TEST((presence.active_for == milliseconds(100)));
    BOOST_TEST((presence.idle_for == milliseconds(80)));
    BOOST_TEST(activity.presence_of(start + milliseconds(400), "a").recent_requests == 0U);
}

BOOST_AUTO_TEST_CASE(account_of_steady_low_traffic_does_not_count_as_new) {
    account_activity activity;
    instant now = start;
    for (int request = 0; request < 20; ++request) {
        now += milliseconds(500);
        activity.record(now, "a");
    }
    BOOST_TEST((activity.presence_of(now, "a").active_for > seconds(9)));
}

BOOST_AUTO_TEST_CASE(account_that_comes_back_after_a_pause_counts_as_new) {
    account_activity activity;
    activity.record(start, "a");
    activity.record(start + seconds(8), "a");
    BOOST_TEST((activity.presence_of(start + seconds(8), "a").active_for == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(unknown_account_has_no_presence) {
    const account_activity activity;
    BOOST_TEST(activity.presence_of(start, "a").recent_requests == 0U);
}

BOOST_AUTO_TEST_CASE(invented_accounts_do_not_evict_an_active_one) {
    account_activity activity;
    for (int number = 0; number < 1000; ++number) {
        activity.record(start + milliseconds(number), "n" + std::to_string(number));
        activity.record(start + milliseconds(number), "a");
    }
    BOOST_TEST((activity.presence_of(start + seconds(1), "a").active_for > milliseconds(900)));
}

BOOST_AUTO_TEST_SUITE_END()
