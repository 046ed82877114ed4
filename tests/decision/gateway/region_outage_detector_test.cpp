#include "wrenswitch/decision/gateway/region_outage_detector.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant start{seconds(50)};

/// A gateway in the north that calls the gateways of two other regions, one with three gateways and
/// one with a single gateway.
struct region_outage_fixture {
    region_outage_detector detector{"north"};
    std::vector<member_call_counts> members{{"n1", "north", 0, 0}, {"s1", "south", 0, 0},
                                            {"s2", "south", 0, 0}, {"s3", "south", 0, 0},
                                            {"w1", "west", 0, 0},  {"x1", "", 0, 0}};
    instant now = start;

    member_call_counts& member(std::string_view host) {
        return *std::find_if(members.begin(), members.end(),
                             [host](const auto& item) { return item.host == host; });
    }

    void fail(std::string_view host) { member(host).failures += 1; }
    void respond(std::string_view host) { member(host).answers += 1; }

    std::vector<region_status_change> update(microseconds later = {}) {
        now += later;
        return detector.update(now, members);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(region_outage_detector_test, region_outage_fixture)

BOOST_AUTO_TEST_CASE(region_with_long_failing_gateways_is_reported_unreachable_once) {
    fail("s1");
    fail("s2");
    BOOST_TEST(update().empty());
    fail("s1");
    BOOST_TEST(update(milliseconds(900)).empty());
    fail("s1");
    const auto changes = update(milliseconds(200));
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes[0].region == "south");
    BOOST_TEST(changes[0].unreachable);
    BOOST_TEST(changes[0].unresponsive == 2U);
    BOOST_TEST(changes[0].members == 3U);
    BOOST_TEST((changes[0].duration == milliseconds(1100)));
    fail("s3");
    BOOST_TEST(update(seconds(1)).empty());
    BOOST_TEST(detector.unreachable_count() == 1U);
}

BOOST_AUTO_TEST_CASE(region_is_reachable_again_with_the_first_response) {
    fail("s1");
    fail("s2");
    update();
    fail("s1");
    update(seconds(2));
    respond("s3");
    const auto changes = update(seconds(1));
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(!changes[0].unreachable);
    BOOST_TEST((changes[0].duration == seconds(3)));
    BOOST_TEST(detector.unreachable_count() == 0U);
    // Failures before the recovery do not count again.
    BOOST_TEST(update(seconds(5)).empty());
}

BOOST_AUTO_TEST_CASE(region_with_one_failing_gateway_of_several_is_reachable) {
    for (int round = 0; round < 5; ++round) {
        fail("s1");
        BOOST_TEST(update(seconds(1)).empty());
    }
}

BOOST_AUTO_TEST_CASE(failures_that_are_not_repeated_are_no_outage) {
    fail("s1");
    fail("s2");
    fail("w1");
    update();
    BOOST_TEST(update(seconds(30)).empty());
}

BOOST_AUTO_TEST_CASE(region_with_a_single_failing_gateway_is_unreachable) {
    fail("w1");
    update();
    fail("w1");
    const auto changes = update(seconds(1));
    BOOST_REQUIRE(changes.size() == 1U);
    BOOST_TEST(changes[0].region == "west");
}

BOOST_AUTO_TEST_CASE(region_with_one_responding_gateway_is_reachable) {
    for (int round = 0; round < 5; ++round) {
        fail("s1");
        fail("s2");
        respond("s3");
        BOOST_TEST(update(seconds(1)).empty());
    }
}

BOOST_AUTO_TEST_CASE(own_and_unnamed_regions_are_ignored) {
    fail("n1");
    fail("x1");
    update();
    fail("n1");
    fail("x1");
    BOOST_TEST(update(seconds(2)).empty());
}

BOOST_AUTO_TEST_CASE(failing_gateways_that_left_do_not_count_for_their_region) {
    fail("s1");
    fail("s2");
    update();
    fail("s2");
    std::erase_if(members, [](const auto& item) { return item.host == "s1"; });
    BOOST_TEST(update(seconds(2)).empty());
}

BOOST_AUTO_TEST_CASE(restarted_process_resets_its_counts) {
    member("w1").answers = 7;
    update();
    member("w1") = {"w1", "west", 0, 1};
    update();
    fail("w1");
    BOOST_TEST(update(seconds(1)).size() == 1U);
    member("w1") = {"w1", "west", 1, 0};
    BOOST_TEST(update(seconds(1)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(region_without_gateways_is_not_unreachable) {
    fail("w1");
    update();
    fail("w1");
    BOOST_TEST(update(seconds(1)).size() == 1U);
    std::erase_if(members, [](const auto& item) { return item.host == "w1"; });
    BOOST_TEST(update(seconds(1)).empty());
    BOOST_TEST(detector.unreachable_count() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
