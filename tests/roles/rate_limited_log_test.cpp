#include "roles/gateway/rate_limited_log.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr unsigned max_lines_per_second = 20;

}  // namespace

BOOST_AUTO_TEST_SUITE(rate_limited_log_test)

/// An entry that starts reads lists of thousands of targets and members. A line for each took small
/// entries more than 2 s.
BOOST_AUTO_TEST_CASE(long_list_of_changes_is_written_in_part_and_counted) {
    metrics counters;
    rate_limited_log log(max_lines_per_second, counters);
    for (int number = 0; number < 1300; ++number) {
        log.log_list_change("target_listed", {{"target", std::to_string(number)}});
    }
    BOOST_TEST(counters.counter("log_events_left_out_total") >= 1000U);
    BOOST_TEST(counters.counter("log_events_left_out_total") < 1300U);
}

BOOST_AUTO_TEST_CASE(list_changes_do_not_suppress_routine_events) {
    metrics counters;
    rate_limited_log log(max_lines_per_second, counters);
    for (int number = 0; number < 1300; ++number) {
        log.log_list_change("target_listed", {{"target", std::to_string(number)}});
    }
    const std::uint64_t before = counters.counter("log_events_left_out_total");
    log.log_routine("grant_asked", {{"account", "a"}});
    BOOST_TEST(counters.counter("log_events_left_out_total") == before);
}

BOOST_AUTO_TEST_SUITE_END()
