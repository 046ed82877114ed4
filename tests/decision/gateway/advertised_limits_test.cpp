#include "wrenswitch/decision/gateway/advertised_limits.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};
constexpr microseconds step = milliseconds(10);

/// A target that has advertised a limit of 2 requests per second in a response to an earlier
/// request.
struct advertised_limits_fixture {
    random_source random{3};
    std::size_t gateway_count = 8;
    bool is_among_first = true;
    std::uint64_t version = 0;
    advertised_limits limits{{[this] { return gateway_count; },
                              [this](std::string_view, std::size_t) { return is_among_first; },
                              [this] { return version; }},
                             random};

    advertised_limits_fixture() { limits.on_response(now, "t", now - step, 2.0); }

    /// A limit of two per second allows eight senders, each of which gets a permit every four
    /// seconds.
    static constexpr microseconds interval = seconds(4);

    microseconds delay(instant at = now) { return limits.delay(at, "t"); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(advertised_limits_test, advertised_limits_fixture)

BOOST_AUTO_TEST_CASE(target_that_advertises_no_limit_has_none) {
    BOOST_TEST((limits.on_response(now, "other", now - step, std::nullopt) == limit_change::none));
    BOOST_TEST(!limits.limit_of("other").has_value());
    BOOST_TEST(limits.active_count() == 1U);
}

BOOST_AUTO_TEST_CASE(advertised_limit_holds_without_further_responses) {
    BOOST_TEST(*limits.limit_of("t") == 2.0);
}

BOOST_AUTO_TEST_CASE(response_without_limit_to_later_request_removes_limit) {
    BOOST_TEST((limits.on_response(now + 3 * step, "t", now + step, std::nullopt) ==
                limit_change::removed));
    BOOST_TEST(!limits.limit_of("t").has_value());
}

BOOST_AUTO_TEST_CASE(response_to_earlier_request_neither_removes_nor_raises_limit) {
    BOOST_TEST(
        (limits.on_response(now + step, "t", now - step, std::nullopt) == limit_change::none));
    BOOST_TEST((limits.on_response(now + step, "t", now - step, 5.0) == limit_change::none));
    BOOST_TEST(*limits.limit_of("t") == 2.0);
}

BOOST_AUTO_TEST_CASE(lower_limit_applies_whenever_its_request_was_sent) {
    BOOST_TEST(
        (limits.on_response(now + step, "t", now - seconds(9), 0.5) == limit_change::changed));
    BOOST_TEST(*limits.limit_of("t") == 0.5);
}

BOOST_AUTO_TEST_CASE(sends_are_counted_for_four_seconds_while_a_limit_is_known) {
    limits.record_sent(now, "other");
    limits.record_sent(now, "t");
    limits.record_sent(now + seconds(3), "t");
    BOOST_TEST(limits.recent_sends(now + seconds(3), "t") == 2U);
    BOOST_TEST(limits.recent_sends(now + seconds(5), "t") == 1U);
    BOOST_TEST(limits.recent_sends(now, "other") == 0U);
}

BOOST_AUTO_TEST_CASE(sender_that_learns_of_limit_has_no_permit_available) {
    BOOST_TEST((delay() > microseconds(0)));
    BOOST_TEST((delay() <= interval));
    BOOST_TEST((limits.delay(now, "other") == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(sender_has_its_share_of_the_rate) {
    const instant later = now + interval;
    BOOST_TEST((delay(later) == microseconds(0)));
    limits.reserve(later, "t");
    BOOST_TEST((delay(later) == interval));
    limits.reserve(later, "t");
    BOOST_TEST((delay(later) == 2 * interval));
}

BOOST_AUTO_TEST_CASE(unused_permits_do_not_accumulate) {
    const instant later = now + 100 * interval;
    limits.reserve(later, "t");
    BOOST_TEST((delay(later) == interval));
}

BOOST_AUTO_TEST_CASE(high_limit_allows_burst_of_one_second) {
    limits.on_response(now, "high", now - step, 80.0);
    const instant later = now + seconds(2);
    for (int index = 0; index < 11; ++index) {
        BOOST_TEST((limits.delay(later, "high") == microseconds(0)));
        limits.reserve(later, "high");
    }
    BOOST_TEST((limits.delay(later, "high") > microseconds(0)));
}

BOOST_AUTO_TEST_CASE(gateway_that_is_not_a_sender_has_no_permit) {
    is_among_first = false;
    limits.on_response(now, "other", now - step, 2.0);
    BOOST_TEST((limits.delay(now + seconds(1000), "other") > seconds(1000)));
}

BOOST_AUTO_TEST_CASE(gateway_that_becomes_sender_has_first_permit_one_interval_later) {
    is_among_first = false;
    limits.on_response(now, "other", now - step, 2.0);
    is_among_first = true;
    version += 1;
    BOOST_TEST((limits.delay(now + step, "other") == interval));
}

BOOST_AUTO_TEST_CASE(gateway_that_does_not_know_its_peers_sends_nothing_to_limited_target) {
    gateway_count = 0;
    version += 1;
    BOOST_TEST((delay(now + seconds(1000)) > seconds(1000)));
}

BOOST_AUTO_TEST_CASE(limit_of_zero_is_probed_rarely) {
    gateway_count = 1000;
    limits.on_response(now, "none", now - step, 0.0);
    BOOST_TEST(advertised_limits::max_senders(0.0) == 4U);
    BOOST_TEST((limits.delay(now, "none") <= seconds(40)));
    limits.reserve(now + seconds(40), "none");
    BOOST_TEST((limits.delay(now + seconds(40), "none") == seconds(40)));
}

BOOST_AUTO_TEST_CASE(limit_far_above_demand_causes_no_delay) {
    limits.on_response(now, "high", now - step, 1e9);
    for (int index = 0; index < 1000; ++index) {
        BOOST_TEST((limits.delay(now + seconds(1), "high") == microseconds(0)));
        limits.reserve(now + seconds(1), "high");
    }
}

BOOST_AUTO_TEST_CASE(reserved_permits_are_void_after_notable_decrease_of_limit) {
    const std::uint64_t before = limits.limit_epoch("t");
    limits.on_response(now + step, "t", now, 1.9);
    BOOST_TEST(limits.limit_epoch("t") == before);
    limits.on_response(now + 2 * step, "t", now, 0.5);
    BOOST_TEST(limits.limit_epoch("t") == before + 1);
}

BOOST_AUTO_TEST_CASE(notable_increase_of_limit_brings_next_permit_forward) {
    limits.on_response(now, "none", now - step, 0.0);
    limits.on_response(now + 3 * step, "none", now + step, 8.0);
    BOOST_TEST((limits.delay(now + 3 * step, "none") <= seconds(1)));
    BOOST_TEST((limits.delay(now + 3 * step, "none") > microseconds(0)));
}

BOOST_AUTO_TEST_CASE(limit_that_changes_with_each_response_gives_no_earlier_permit) {
    const instant later = now + interval;
    limits.reserve(later, "t");
    for (int index = 1; index <= 20; ++index) {
        limits.on_response(later + index * step, "t", later + (index - 1) * step + step / 2,
                           index % 2 == 0 ? 2.0 : 1.8);
    }
    BOOST_TEST((delay(later + 20 * step) >= interval - 20 * step));
}

BOOST_AUTO_TEST_CASE(peer_report_is_ordered_by_when_the_limit_was_advertised) {
    BOOST_TEST(
        (limits.on_peer_report(now + step, "t", now - step, std::nullopt) == limit_change::none));
    BOOST_TEST((limits.on_peer_report(now + 3 * step, "t", now + step, std::nullopt) ==
                limit_change::removed));
    // This limit was advertised before the removal.
    BOOST_TEST((limits.on_peer_report(now + 4 * step, "t", now, 2.0) == limit_change::none));
    BOOST_TEST(
        (limits.on_peer_report(now + 5 * step, "t", now + 2 * step, 2.0) == limit_change::added));
}

BOOST_AUTO_TEST_CASE(limit_that_was_not_confirmed_recently_is_stale) {
    BOOST_TEST(limits.stale_targets(now + seconds(4), seconds(5)).empty());
    BOOST_TEST(
        (limits.stale_targets(now + seconds(6), seconds(5)) == std::vector<std::string>{"t"}));
    limits.on_response(now + seconds(6), "t", now + seconds(5), 2.0);
    BOOST_TEST(limits.stale_targets(now + seconds(7), seconds(5)).empty());
}

BOOST_AUTO_TEST_CASE(forgotten_target_has_no_limit) {
    limits.forget("t");
    BOOST_TEST(!limits.limit_of("t").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
