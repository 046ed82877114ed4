#include "wrenswitch/decision/membership/demand_history.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant start{seconds(50)};

}  // namespace

BOOST_AUTO_TEST_SUITE(demand_history_test)

BOOST_AUTO_TEST_CASE(dip_during_a_move_between_entries_does_not_lower_the_demand) {
    demand_history history;
    history.record(start, "a", 1000.0);
    history.record(start + seconds(1), "a", 100.0);
    history.record(start + seconds(2), "a", 900.0);
    BOOST_TEST(history.peak(start + seconds(2), "a") == 1000.0);
    BOOST_TEST(history.peak(start + milliseconds(3500), "a") == 900.0);
}

BOOST_AUTO_TEST_CASE(account_that_is_named_no_more_counts_as_gone_after_three_seconds) {
    demand_history history;
    history.record(start, "a", 1000.0);
    BOOST_TEST(history.peak(start + seconds(3), "a") == 1000.0);
    BOOST_TEST(history.peak(start + milliseconds(3100), "a") == 0.0);
    history.drop_expired(start + milliseconds(3100));
    BOOST_TEST(history.peak(start, "a") == 0.0);
}

BOOST_AUTO_TEST_CASE(unknown_account_has_no_demand) {
    BOOST_TEST(demand_history().peak(start, "a") == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
