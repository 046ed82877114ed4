#include "wrenswitch/decision/ingress/account_usage.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant start{seconds(50)};

}  // namespace

BOOST_AUTO_TEST_SUITE(account_usage_test)

BOOST_AUTO_TEST_CASE(steady_traffic_is_measured_in_the_busier_direction) {
    account_usage usage;
    instant now = start;
    for (int request = 0; request < 2000; ++request) {
        now += milliseconds(5);
        usage.record(now, "a", 9000, 0);
        usage.record(now, "a", 0, 5000);
    }
    const std::vector<account_demand> top = usage.top(now, 5);
    BOOST_REQUIRE(top.size() == 1U);
    BOOST_TEST(top[0].bytes_per_second == 1'800'000.0, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(traffic_that_ended_decays_within_seconds) {
    account_usage usage;
    usage.record(start, "a", 1000, 0);
    BOOST_TEST(usage.top(start + seconds(1), 1)[0].bytes_per_second < 400.0);
    BOOST_TEST(usage.top(start + seconds(5), 1)[0].bytes_per_second < 10.0);
}

BOOST_AUTO_TEST_CASE(accounts_are_listed_in_descending_order_up_to_the_count) {
    account_usage usage;
    usage.record(start, "low", 10, 0);
    usage.record(start, "high", 0, 30);
    usage.record(start, "middle", 20, 0);
    const std::vector<account_demand> top = usage.top(start, 2);
    BOOST_REQUIRE(top.size() == 2U);
    BOOST_TEST(top[0].account == "high");
    BOOST_TEST(top[1].account == "middle");
}

BOOST_AUTO_TEST_CASE(invented_accounts_evict_the_quietest_and_keep_the_loudest) {
    account_usage usage;
    usage.record(start, "loud", 1'000'000, 0);
    for (int number = 0; number < 1000; ++number) {
        usage.record(start, "a" + std::to_string(number), 1, 0);
    }
    BOOST_TEST(usage.top(start, 1000).size() == 256U);
    BOOST_TEST(usage.top(start, 1)[0].account == "loud");
}

BOOST_AUTO_TEST_SUITE_END()
