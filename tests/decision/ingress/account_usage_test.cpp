#include "wrenswitch/decision/ingress/account_usage.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

namespace {

using namespace wrenswitch;

struct account_usage_fixture {
    /// Records a steady load of an account for a time, one request every 10 ms.
    void offer(microseconds length, std::string_view account, double received, double sent) {
        for (const instant end = now + length; now < end; now += milliseconds(10)) {
            usage.record(now, account, static_cast<std::uint64_t>(received / 100.0),
                         static_cast<std::uint64_t>(sent / 100.0));
            usage.record_request(now, account);
        }
    }

    account_usage usage;
    instant now{seconds(100)};
};

BOOST_FIXTURE_TEST_SUITE(account_usage_test, account_usage_fixture)

BOOST_AUTO_TEST_CASE(steady_load_is_measured_in_bytes_per_second) {
    offer(seconds(6), "a", 1.0e6, 2.0e5);
    const account_rates rates = usage.rates(now, "a");
    BOOST_TEST(rates.received_bytes == 1.0e6, boost::test_tools::tolerance(0.02));
    BOOST_TEST(rates.sent_bytes == 2.0e5, boost::test_tools::tolerance(0.02));
    BOOST_TEST(rates.requests == 100.0, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(flood_is_seen_within_half_a_second) {
    offer(milliseconds(500), "a", 2.0e6, 0.0);
    BOOST_TEST(usage.rates(now, "a").received_bytes > 0.35 * 2.0e6);
}

BOOST_AUTO_TEST_CASE(demand_is_the_larger_of_the_two_directions) {
    offer(seconds(6), "a", 1000.0, 9000.0);
    const auto top = usage.top(now, 4);
    BOOST_REQUIRE(top.size() == 1U);
    BOOST_TEST(top[0].bytes_per_second == 9000.0, boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_CASE(top_lists_the_largest_first_and_no_more_than_asked) {
    for (int i = 0; i < 6; ++i) {
        usage.record(now, "account-" + std::to_string(i), 1000U * static_cast<unsigned>(i + 1), 0);
    }
    const auto top = usage.top(now, 2);
    BOOST_REQUIRE(top.size() == 2U);
    BOOST_TEST(top[0].account == "account-5");
    BOOST_TEST(top[1].account == "account-4");
}

/// An account that has gone must not keep an entry out of service.
BOOST_AUTO_TEST_CASE(silent_account_decays_and_is_no_longer_listed) {
    offer(seconds(3), "a", 1.0e6, 0.0);
    now += seconds(1);
    BOOST_TEST(usage.rates(now, "a").received_bytes < 0.4e6);
    now += seconds(30);
    BOOST_TEST(usage.top(now, 4).empty());
}

BOOST_AUTO_TEST_CASE(late_and_refused_requests_are_rates_of_their_account) {
    usage.record_late(now, "a");
    usage.record_refused(now, "b");
    usage.record_refused(now, "b");
    BOOST_TEST(usage.rates(now, "a").late == 1.0);
    BOOST_TEST(usage.rates(now, "a").refused == 0.0);
    BOOST_TEST(usage.rates(now, "b").refused == 2.0);
}

/// Guards against memory that grows with the number of accounts, and against the loss of a heavy
/// account among many light ones.
BOOST_AUTO_TEST_CASE(many_accounts_evict_the_quietest_and_keep_the_heaviest) {
    offer(seconds(2), "heavy", 1.0e6, 0.0);
    for (int i = 0; i < 5000; ++i) {
        usage.record(now, "light-" + std::to_string(i), 100, 0);
        now += microseconds(100);
    }
    BOOST_TEST(usage.size() == account_usage::max_accounts);
    BOOST_TEST(usage.top(now, 1).at(0).account == "heavy");
}

/// Requests on public routes have no account that an entry could ask to go elsewhere.
BOOST_AUTO_TEST_CASE(requests_without_an_account_are_measured_but_not_listed) {
    usage.record(now, "", 5000, 0);
    BOOST_TEST(usage.top(now, 4).empty());
    BOOST_TEST(usage.rates(now, "").received_bytes == 5000.0);
}

/// Events of one turn of the loop may carry times that are a few microseconds out of order.
BOOST_AUTO_TEST_CASE(earlier_time_does_not_amplify_the_rates) {
    usage.record(now, "a", 1000, 0);
    usage.record(now - seconds(5), "a", 1000, 0);
    BOOST_TEST(usage.rates(now - seconds(5), "a").received_bytes == 2000.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
