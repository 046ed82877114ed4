#include "wrenswitch/core/metrics.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// One process's figures.
struct metrics_fixture {
    metrics figures;

    bool shows(const std::string& line) const {
        return figures.to_prometheus_text().find(line + "\n") != std::string::npos;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(metrics_test, metrics_fixture)

BOOST_AUTO_TEST_CASE(histogram_counts_each_length_up_to_its_bound) {
    histogram_metric& wait = figures.histogram("wait_ms{outcome=\"served\"}");
    wait.observe(milliseconds(5));
    wait.observe(milliseconds(6));
    wait.observe(seconds(100));
    BOOST_TEST(shows("# TYPE wrenswitch_wait_ms histogram"));
    BOOST_TEST(shows("wrenswitch_wait_ms_bucket{outcome=\"served\",le=\"5\"} 1"));
    BOOST_TEST(shows("wrenswitch_wait_ms_bucket{outcome=\"served\",le=\"10\"} 2"));
    BOOST_TEST(shows("wrenswitch_wait_ms_bucket{outcome=\"served\",le=\"+Inf\"} 3"));
    BOOST_TEST(shows("wrenswitch_wait_ms_sum{outcome=\"served\"} 100011"));
    BOOST_TEST(shows("wrenswitch_wait_ms_count{outcome=\"served\"} 3"));
}

BOOST_AUTO_TEST_CASE(histogram_without_labels_has_only_its_bounds) {
    figures.histogram("store_ms").observe(milliseconds(1));
    BOOST_TEST(shows("wrenswitch_store_ms_bucket{le=\"1\"} 1"));
    BOOST_TEST(shows("wrenswitch_store_ms_count 1"));
}

BOOST_AUTO_TEST_CASE(figure_with_labels_has_them_all_behind_its_name) {
    BOOST_TEST(labelled("requests", {}) == "requests");
    BOOST_TEST(labelled("requests", {{"outcome", "served"}}) == "requests{outcome=\"served\"}");
    BOOST_TEST(labelled("requests", {{"from", "n"}, {"to", ""}}) == "requests{from=\"n\",to=\"\"}");
}

BOOST_AUTO_TEST_CASE(label_whose_value_holds_a_quote_or_a_line_break_stays_one_line) {
    figures.counter(labelled("orders", {{"service", "a\"b\\c\nd"}})) += 3;
    BOOST_TEST(shows("wrenswitch_orders{service=\"a\\\"b\\\\c\\nd\"} 3"));
}

BOOST_AUTO_TEST_SUITE_END()
