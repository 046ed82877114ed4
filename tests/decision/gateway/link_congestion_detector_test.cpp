#include "wrenswitch/decision/gateway/link_congestion_detector.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// A link of 10 Mbit/s that is sampled every 20 ms.
struct link_congestion_fixture {
    static constexpr double link_bytes_per_second = 1.25e6;
    static constexpr microseconds sample_interval = milliseconds(20);

    static link_congestion_settings settings() {
        link_congestion_settings result;
        result.bytes_per_second = link_bytes_per_second;
        return result;
    }

    /// Loads the link for a time with these shares of its capacity.
    void transfer(microseconds length, double received_share, double sent_share = 0.0) {
        for (const instant end = now + length; now < end;) {
            now += sample_interval;
            received += link_bytes_per_second * as_seconds(sample_interval) * received_share;
            sent += link_bytes_per_second * as_seconds(sample_interval) * sent_share;
            link.observe(now, static_cast<std::uint64_t>(received),
                         static_cast<std::uint64_t>(sent));
        }
    }

    link_congestion_detector link{settings()};
    instant now{seconds(100)};
    double received = 0.0;
    double sent = 0.0;
};

BOOST_FIXTURE_TEST_SUITE(link_congestion_detector_test, link_congestion_fixture)

BOOST_AUTO_TEST_CASE(link_full_with_received_data_sheds_callers_within_a_second) {
    transfer(seconds(2), 0.5);
    BOOST_TEST(!link.is_shedding());
    transfer(seconds(1), 1.0);
    BOOST_TEST(link.is_full());
    BOOST_TEST(link.is_shedding());
}

BOOST_AUTO_TEST_CASE(single_large_bodies_on_a_busy_link_do_not_shed_callers) {
    for (int round = 0; round < 20; ++round) {
        transfer(milliseconds(40), 1.0);
        transfer(milliseconds(160), 0.6);
        BOOST_TEST(!link.is_shedding());
    }
}

BOOST_AUTO_TEST_CASE(queued_bytes_to_send_make_the_link_full) {
    transfer(milliseconds(500), 0.3, 1.5);
    BOOST_TEST((link.send_queue_delay() > milliseconds(200)));
    BOOST_TEST(link.is_shedding());
    transfer(seconds(1), 0.3, 0.2);
    BOOST_TEST((link.send_queue_delay() == microseconds(0)));
    BOOST_TEST(!link.is_full());
}

BOOST_AUTO_TEST_CASE(shedding_ends_after_its_initial_duration) {
    transfer(milliseconds(800), 1.0);
    BOOST_REQUIRE(link.is_shedding());
    microseconds shed_time{};
    for (; link.is_shedding() && shed_time < seconds(60); shed_time += sample_interval) {
        transfer(sample_interval, 0.0);
    }
    BOOST_TEST((shed_time > seconds(3) && shed_time < seconds(4)));
}

BOOST_AUTO_TEST_CASE(shedding_again_soon_lasts_longer) {
    transfer(milliseconds(800), 1.0);
    transfer(seconds(4), 0.0);
    BOOST_REQUIRE(!link.is_shedding());
    transfer(milliseconds(800), 1.0);
    BOOST_REQUIRE(link.is_shedding());
    transfer(seconds(5), 0.0);
    BOOST_TEST(link.is_shedding());
    transfer(seconds(20), 0.0);
    transfer(milliseconds(800), 1.0);
    BOOST_REQUIRE(link.is_shedding());
    transfer(seconds(4), 0.0);
    BOOST_TEST(!link.is_shedding());
}

/// With link sharing, a link that one account fills still serves the others, who must not be sent
/// away for it.
BOOST_AUTO_TEST_CASE(shared_link_sheds_callers_only_above_what_sharing_allows) {
    link_congestion_settings shared = settings();
    shared.is_shared = true;
    shared.shed_delay = seconds(1);
    link = link_congestion_detector(shared);
    for (int round = 0; round < 20; ++round) {
        transfer(milliseconds(140), 0.95, 0.95);
        transfer(milliseconds(60), 0.80, 0.80);
        BOOST_TEST(!link.is_shedding());
    }
    BOOST_TEST(link.is_full());
    transfer(milliseconds(900), 1.2);
    BOOST_TEST(!link.is_shedding());
    transfer(milliseconds(1000), 1.2);
    BOOST_TEST(link.is_shedding());
}

// Step backs may leave no budget for shedding. The cause is judged anew when they do.
BOOST_AUTO_TEST_CASE(shedding_that_is_not_allowed_begins_once_it_is_if_the_cause_still_holds) {
    link.allow_shedding(false);
    transfer(seconds(2), 1.0);
    BOOST_TEST(!link.is_shedding());
    BOOST_TEST(link.is_shedding_withheld());
    transfer(seconds(1), 0.2);
    BOOST_TEST(!link.is_shedding_withheld());
    link.allow_shedding(true);
    transfer(seconds(1), 0.2);
    BOOST_TEST(!link.is_shedding());
    link.allow_shedding(false);
    transfer(seconds(1), 1.0);
    BOOST_REQUIRE(link.is_shedding_withheld());
    link.allow_shedding(true);
    transfer(sample_interval, 1.0);
    BOOST_TEST(link.is_shedding());
    BOOST_TEST(!link.is_shedding_withheld());
}

// An end of shedding before its time would bring the callers back while the platform follows.
BOOST_AUTO_TEST_CASE(shedding_under_way_goes_on_when_it_is_no_longer_allowed) {
    transfer(seconds(1), 1.0);
    BOOST_REQUIRE(link.is_shedding());
    link.allow_shedding(false);
    transfer(seconds(2), 1.0);
    BOOST_TEST(link.is_shedding());
    BOOST_TEST(!link.is_shedding_withheld());
}

BOOST_AUTO_TEST_CASE(link_of_unknown_capacity_is_never_full) {
    link = link_congestion_detector(link_congestion_settings{});
    transfer(seconds(3), 50.0, 50.0);
    BOOST_TEST(!link.is_full());
    BOOST_TEST(!link.is_shedding());
}

BOOST_AUTO_TEST_CASE(sample_after_a_long_pause_is_ignored) {
    transfer(seconds(1), 0.2);
    now += seconds(2);
    received += link_bytes_per_second * 2.0;
    transfer(milliseconds(20), 0.2);
    BOOST_TEST(!link.is_full());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
