#include "wrenswitch/core/digest.hpp"

#include <array>
#include <boost/test/unit_test.hpp>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/timeline.hpp"

using namespace wrenswitch;

BOOST_AUTO_TEST_SUITE(digest_test)

BOOST_AUTO_TEST_CASE(digest_of_parts_changes_when_a_byte_moves_to_the_next_part) {
    const std::array<std::string_view, 2> one{"ab", "c"};
    const std::array<std::string_view, 2> other{"a", "bc"};
    BOOST_TEST((digest_of(one) != digest_of(other)));
    BOOST_TEST((digest_of(one) == digest_of(one)));
    BOOST_TEST(digest_of(one).to_hex().size() == 32U);
}

BOOST_AUTO_TEST_CASE(sha256_of_a_known_text_is_the_published_value) {
    BOOST_TEST(sha256_hex("abc") ==
               "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

BOOST_AUTO_TEST_CASE(equal_in_constant_time_tells_equal_from_different_texts) {
    BOOST_TEST(equal_in_constant_time("abc", "abc"));
    BOOST_TEST(!equal_in_constant_time("abc", "abd"));
    BOOST_TEST(!equal_in_constant_time("abc", "abcd"));
}

BOOST_AUTO_TEST_CASE(metrics_in_prometheus_text_carry_type_prefix_and_quantiles) {
    metrics counters;
    counters.counter("requests_total{code=\"a\"}") += 2;
    counters.counter("requests_total{code=\"b\"}") += 3;
    for (int value = 1; value <= 1000; ++value) {
        counters.quantiles("wait_seconds").observe(value);
    }
    const std::string text = counters.to_prometheus_text();
    BOOST_TEST(text.find("# TYPE wrenswitch_requests_total counter\n") != std::string::npos);
    BOOST_TEST(text.find("wrenswitch_requests_total{code=\"b\"} 3\n") != std::string::npos);
    BOOST_TEST(text.find("wrenswitch_wait_seconds_count 1000\n") != std::string::npos);
    BOOST_TEST(counters.quantiles("wait_seconds").quantile(0.95) > 900.0);
}

BOOST_AUTO_TEST_CASE(timeline_beyond_its_capacity_drops_the_oldest) {
    timeline events(2);
    for (const char* name : {"1", "2", "3"}) {
        events.add(timeline_kind::request_received, name, {}, {}, "");
    }
    BOOST_REQUIRE(events.events().size() == 2U);
    BOOST_TEST(events.events().front().request == "2");
    BOOST_TEST(events.to_json("p", "3").find("\"request\":\"3\"") != std::string::npos);
    BOOST_TEST(events.to_json("p", "1") == "[]");
}

BOOST_AUTO_TEST_CASE(digest_written_in_hex_is_read_back) {
    const digest written{0x0123456789abcdef, 0xfedcba9876543210};
    BOOST_TEST((digest::from_hex(written.to_hex()) == written));
    BOOST_TEST(!digest::from_hex("12").has_value());
    BOOST_TEST(!digest::from_hex(std::string(32, 'g')).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
