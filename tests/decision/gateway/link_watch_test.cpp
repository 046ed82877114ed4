#include "wrenswitch/decision/gateway/link_watch.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// An entry of 10 Mbit/s that is looked at every 20 ms.
struct link_watch_fixture {
    static constexpr double width = 1.25e6;
    static constexpr microseconds look = milliseconds(20);

    static link_watch_settings settings() {
        link_watch_settings chosen;
        chosen.bytes_per_second = width;
        return chosen;
    }

    /// The link carries these shares of its width for so long.
    void carry(microseconds length, double received_share, double sent_share = 0.0) {
        for (const instant end = now + length; now < end;) {
            now += look;
            received += width * as_seconds(look) * received_share;
            sent += width * as_seconds(look) * sent_share;
            link.observe(now, static_cast<std::uint64_t>(received),
                         static_cast<std::uint64_t>(sent));
        }
    }

    link_watch link{settings()};
    instant now{seconds(100)};
    double received = 0.0;
    double sent = 0.0;
};

BOOST_FIXTURE_TEST_SUITE(link_watch_test, link_watch_fixture)

BOOST_AUTO_TEST_CASE(link_that_comes_in_full_sends_callers_away_within_a_second) {
    carry(seconds(2), 0.5);
    BOOST_TEST(!link.sheds());
    carry(seconds(1), 1.0);
    BOOST_TEST(link.is_full());
    BOOST_TEST(link.sheds());
}

BOOST_AUTO_TEST_CASE(single_large_bodies_on_a_busy_link_send_nobody_away) {
    for (int round = 0; round < 20; ++round) {
        carry(milliseconds(40), 1.0);
        carry(milliseconds(160), 0.6);
        BOOST_TEST(!link.sheds());
    }
}

BOOST_AUTO_TEST_CASE(bytes_that_wait_to_go_out_count_as_a_full_link) {
    carry(milliseconds(500), 0.3, 1.5);
    BOOST_TEST((link.send_queue() > milliseconds(200)));
    BOOST_TEST(link.sheds());
    carry(seconds(1), 0.3, 0.2);
    BOOST_TEST((link.send_queue() == microseconds(0)));
    BOOST_TEST(!link.is_full());
}

BOOST_AUTO_TEST_CASE(callers_are_taken_again_after_some_seconds_though_the_link_is_full) {
    carry(milliseconds(800), 1.0);
    BOOST_REQUIRE(link.sheds());
    microseconds away{};
    for (; link.sheds() && away < seconds(60); away += look) {
        carry(look, 0.0);
    }
    BOOST_TEST((away > seconds(3) && away < seconds(4)));
}

BOOST_AUTO_TEST_CASE(callers_that_fill_the_link_again_soon_are_sent_away_for_longer) {
    carry(milliseconds(800), 1.0);
    carry(seconds(4), 0.0);
    BOOST_REQUIRE(!link.sheds());
    carry(milliseconds(800), 1.0);
    BOOST_REQUIRE(link.sheds());
    carry(seconds(5), 0.0);
    BOOST_TEST(link.sheds());
    carry(seconds(20), 0.0);
    carry(milliseconds(800), 1.0);
    BOOST_REQUIRE(link.sheds());
    carry(seconds(4), 0.0);
    BOOST_TEST(!link.sheds());
}

BOOST_AUTO_TEST_CASE(link_of_unknown_width_is_never_full) {
    link = link_watch(link_watch_settings{});
    carry(seconds(3), 50.0, 50.0);
    BOOST_TEST(!link.is_full());
    BOOST_TEST(!link.sheds());
}

BOOST_AUTO_TEST_CASE(pause_in_which_nobody_looked_says_nothing) {
    carry(seconds(1), 0.2);
    now += seconds(2);
    received += width * 2.0;
    carry(milliseconds(20), 0.2);
    BOOST_TEST(!link.is_full());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
