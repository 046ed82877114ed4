#include "wrenswitch/decision/ingress/link_peak_history.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

namespace {

using namespace wrenswitch;

/// A link of 10 Mbit/s whose use is sampled every 5 ms.
struct link_peak_fixture {
    static constexpr double bandwidth = 1.25e6;
    static constexpr double samples_per_second = 200.0;

    /// Carries steady loads for a time, as fractions of the bandwidth by account, and other traffic
    /// that belongs to no account.
    void carry(microseconds length, const std::map<std::string, double>& accounts,
               double others = 0.0) {
        const auto bytes = [](double share) {
            return static_cast<std::uint64_t>(share * bandwidth / samples_per_second);
        };
        for (const instant end = now + length; now < end; now += milliseconds(5)) {
            total.received += bytes(others);
            for (const auto& [account, share] : accounts) {
                usage.record(now, account, bytes(share), bytes(share));
                total.received += bytes(share);
            }
            peaks.observe(now, total, usage);
        }
    }

    account_usage usage;
    link_peak_history peaks{bandwidth};
    link_bytes total;
    instant now{seconds(100)};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(link_peak_history_test, link_peak_fixture)

/// Guards against a link that is named as the cause although it had room.
BOOST_AUTO_TEST_CASE(link_with_room_is_no_cause) {
    carry(seconds(3), {{"a", 0.3}, {"b", 0.15}});
    BOOST_TEST(!peaks.highest_since(instant{}));
    BOOST_TEST(peaks.size() == 0U);
}

/// Load: one account with 0.8 of the link beside one with 0.1.
BOOST_AUTO_TEST_CASE(flooding_account_is_named_with_its_fraction) {
    carry(seconds(5), {{"flood", 0.8}, {"small", 0.1}});
    const auto peak = peaks.highest_since(now - seconds(1));
    BOOST_REQUIRE(peak);
    BOOST_TEST(peak->utilization == 0.9, boost::test_tools::tolerance(0.02));
    BOOST_TEST(peak->account == "flood");
    BOOST_TEST(peak->account_share == 0.8 / 0.9, boost::test_tools::tolerance(0.02));
}

/// Guards against a cause that is missed because the link is full outwards only.
BOOST_AUTO_TEST_CASE(direction_that_is_busier_counts) {
    for (int sample = 0; sample < 400; ++sample, now += milliseconds(5)) {
        usage.record(now, "reader", 10, 5000);
        total.sent += 5000;
        peaks.observe(now, total, usage);
    }
    const auto peak = peaks.highest_since(now - seconds(1));
    BOOST_REQUIRE(peak);
    BOOST_TEST(peak->utilization == 0.8, boost::test_tools::tolerance(0.02));
    BOOST_TEST(peak->account == "reader");
}

/// Load: two seconds' worth of bytes that are written at once. Guards against requests in the queue
/// behind them that are late without a cause, since nothing is written any more.
BOOST_AUTO_TEST_CASE(burst_fills_the_link_until_it_is_out) {
    carry(seconds(1), {{"small", 0.02}});
    usage.record(now, "flood", 2'500'000, 2'500'000);
    total.sent += 2'500'000;
    carry(milliseconds(1500), {{"small", 0.02}});
    const auto peak = peaks.highest_since(now - milliseconds(500));
    BOOST_REQUIRE(peak);
    BOOST_TEST(peak->utilization == 1.0, boost::test_tools::tolerance(0.02));
    BOOST_TEST(peak->account == "flood");
    BOOST_TEST(peak->account_share > 0.9);
    carry(seconds(2), {{"small", 0.02}});
    BOOST_TEST(!peaks.highest_since(now - seconds(1)));
}

/// Guards against a flood that is blamed for requests which came after it.
BOOST_AUTO_TEST_CASE(flood_before_the_wait_is_not_named) {
    carry(seconds(2), {{"flood", 0.95}});
    carry(seconds(1), {{"small", 0.1}});
    BOOST_TEST(!peaks.highest_since(now - milliseconds(800)));
    const auto peak = peaks.highest_since(now - milliseconds(1500));
    BOOST_REQUIRE(peak);
    BOOST_TEST(peak->account == "flood");
}

/// Guards against a long wait that is explained by the end of the flood instead of its height.
BOOST_AUTO_TEST_CASE(highest_use_of_the_wait_is_named_whenever_it_was) {
    carry(seconds(2), {{"first", 0.6}});
    const instant begun = now;
    carry(seconds(1), {{"second", 0.95}});
    carry(seconds(2), {{"third", 0.7}});
    const auto peak = peaks.highest_since(begun);
    BOOST_REQUIRE(peak);
    BOOST_TEST(peak->account == "second");
    BOOST_TEST(peak->utilization == 0.95, boost::test_tools::tolerance(0.02));
    BOOST_TEST(peaks.highest_since(now - seconds(1))->account == "third");
}

/// Guards against an account that is blamed for a link which the store and other hosts fill.
BOOST_AUTO_TEST_CASE(traffic_of_no_account_lowers_the_fraction_of_the_largest) {
    carry(seconds(5), {{"small", 0.1}}, 0.8);
    const auto peak = peaks.highest_since(now - seconds(1));
    BOOST_REQUIRE(peak);
    BOOST_TEST(peak->account == "small");
    BOOST_TEST(peak->account_share == 0.1 / 0.9, boost::test_tools::tolerance(0.02));
}

/// Refused requests are offered bytes that the link doesn't carry.
BOOST_AUTO_TEST_CASE(fractions_of_offered_bytes_do_not_exceed_one) {
    for (int sample = 0; sample < 600; ++sample, now += milliseconds(5)) {
        usage.record(now, "flood", 30'000, 30'000);
        usage.record(now, "small", 600, 600);
        total.received += 5600;
        peaks.observe(now, total, usage);
    }
    const auto peak = peaks.highest_since(now - seconds(1));
    BOOST_REQUIRE(peak);
    BOOST_TEST(peak->account_share == 30.0 / 30.6, boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(unknown_bandwidth_keeps_nothing) {
    peaks = link_peak_history(0.0);
    carry(seconds(2), {{"flood", 5.0}});
    BOOST_TEST(!peaks.highest_since(instant{}));
}

/// Load: the use falls for five minutes, by an amount at every sample. Guards against memory that
/// grows with the length of a flood.
BOOST_AUTO_TEST_CASE(samples_are_bounded_and_end_after_a_minute) {
    for (double share = 7.0; share > 1.0; share -= 0.001) {
        carry(milliseconds(50), {{"flood", share}});
        BOOST_REQUIRE(peaks.size() <= link_peak_history::max_samples);
    }
    BOOST_TEST(peaks.size() > link_peak_history::max_samples / 2);
    carry(link_peak_history::max_age + seconds(2), {});
    BOOST_TEST(peaks.size() == 0U);
}

/// A process that stood still reads what came meanwhile at once, which is no use of the present.
BOOST_AUTO_TEST_CASE(bytes_of_a_standstill_are_no_peak) {
    carry(seconds(1), {{"a", 0.2}});
    now += seconds(5);
    total.received += static_cast<std::uint64_t>(3.0 * bandwidth);
    peaks.observe(now, total, usage);
    carry(seconds(1), {{"a", 0.2}});
    BOOST_TEST(!peaks.highest_since(instant{}));
}

BOOST_AUTO_TEST_SUITE_END()
