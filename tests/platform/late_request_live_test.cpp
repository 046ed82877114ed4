#include <boost/test/unit_test.hpp>
#include <sstream>

#include "platform/link_sharing_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Load: 600 KB of one account within a moment, which the link to the target carries in 2.4 s. The
/// objective of the route is 1 s.
struct late_request_fixture : link_sharing_fleet {
    static constexpr int flood_requests = 60;
    static constexpr std::size_t flood_body_bytes = 10'000;

    void begin_flood() {
        for (int number = 0; number < flood_requests; ++number) {
            begin("flood", "/long/x", "", flood_body_bytes);
            // The proxy's listen queue holds 16 connections.
            run_for(milliseconds(2));
        }
    }

    /// Begins a request and returns its id.
    std::string begin_small(const std::string& more_headers = "") {
        const std::string id = "r" + std::to_string(next_id);
        begin("a", "/long/x", more_headers);
        return id;
    }

    void collect_all() {
        BOOST_REQUIRE(run_until(
            [this] {
                collect();
                return calls.empty();
            },
            seconds(8)));
    }

    /// The lines of an event that have a request's id.
    std::vector<std::string> lines_of(const std::string& event, const std::string& id) const {
        std::vector<std::string> found;
        std::istringstream log(entries[0].process->output());
        for (std::string line; std::getline(log, line);) {
            if (line.find("event=" + event + " ") != std::string::npos &&
                line.find(" request=" + id + " ") != std::string::npos) {
                found.push_back(line);
            }
        }
        return found;
    }

    std::string end_of(const std::string& id) {
        BOOST_REQUIRE_MESSAGE(run_until([&] { return !lines_of("request_ended", id).empty(); }),
                              entries[0].process->output());
        BOOST_TEST(lines_of("request_ended", id).size() == 1U);
        return lines_of("request_ended", id).front();
    }

    static double number_in(const std::string& line, const std::string& name) {
        const std::size_t at = line.find(" " + name + "=");
        BOOST_REQUIRE_MESSAGE(at != std::string::npos, line);
        return std::stod(line.substr(at + name.size() + 2));
    }

    static void check_names_flood(const std::string& line) {
        BOOST_TEST(number_in(line, "link_share") > 0.5);
        BOOST_TEST((line.find(" link_account=flood ") != std::string::npos), line);
        BOOST_TEST(number_in(line, "link_account_share") > 0.5);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(late_request_live_test, late_request_fixture)

/// Guards against a late request whose id doesn't lead to the account that filled the link: its
/// lines are not of the sample, and `share_link` is off.
BOOST_AUTO_TEST_CASE(late_request_names_the_account_that_filled_the_link) {
    more_settings = R"(,"link_mbps":2,"log_served_percent":0)";
    start_all();
    const std::string early = begin_small();
    collect_all();
    begin_flood();
    const std::string late = begin_small();
    const std::string overdue = begin_small("Deadline-Ms: 500\r\n");
    collect_all();
    BOOST_TEST(lines_of("request_ended", early).empty());
    const std::string late_end = end_of(late);
    BOOST_TEST_MESSAGE(late_end);
    BOOST_TEST((late_end.find(" outcome=served ") != std::string::npos), late_end);
    check_names_flood(late_end);
    const std::string overdue_end = end_of(overdue);
    BOOST_TEST((overdue_end.find(" outcome=deadline ") != std::string::npos), overdue_end);
    check_names_flood(overdue_end);
    // Late because of its own account: not written beyond the sample.
    BOOST_TEST(lines_of("request_ended", "r1").empty());
}

/// Without a known bandwidth the line is as before, however late the request is.
BOOST_AUTO_TEST_CASE(unknown_bandwidth_names_nothing) {
    start_all();
    begin_flood();
    const std::string overdue = begin_small("Deadline-Ms: 500\r\n");
    collect_all();
    const std::string end = end_of(overdue);
    BOOST_TEST((end.find(" outcome=deadline ") != std::string::npos), end);
    BOOST_TEST((end.find(" link_") == std::string::npos), end);
}

BOOST_AUTO_TEST_SUITE_END()
