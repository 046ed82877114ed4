#include "wrenswitch/decision/membership/neighbour_table.hpp"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <limits>

namespace {

using namespace wrenswitch;

constexpr instant start{seconds(50)};

neighbour_report valid_report() {
    neighbour_report report;
    report.host = "h1";
    report.process = incarnation_id{1};
    report.number = 1;
    report.bandwidth = 1.25e6;
    report.received_per_second = 4e5;
    report.sent_per_second = 3e5;
    report.state = entry_state::accepting;
    report.accounts = {{"a", 2e5}};
    return report;
}

neighbour_report step_back_report() {
    neighbour_report report = valid_report();
    report.state = entry_state::stepped_back;
    report.step_back = {{"a", 2e6}};
    return report;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(neighbour_table_test)

BOOST_AUTO_TEST_CASE(valid_reports_have_no_fault) {
    BOOST_TEST(find_fault(valid_report()) == "");
    BOOST_TEST(find_fault(step_back_report()) == "");
    neighbour_report unknown_bandwidth = valid_report();
    unknown_bandwidth.bandwidth = 0.0;
    unknown_bandwidth.accounts.clear();
    BOOST_TEST(find_fault(unknown_bandwidth) == "");
}

BOOST_AUTO_TEST_CASE(nonsense_is_refused_and_leaves_the_previous_report) {
    constexpr double infinite = std::numeric_limits<double>::infinity();
    constexpr double not_a_number = std::numeric_limits<double>::quiet_NaN();
    const std::vector<std::pair<std::string_view, std::function<void(neighbour_report&)>>> faults{
        {"version", [](auto& report) { report.version = 2; }},
        {"version", [](auto& report) { report.version = 0; }},
        {"host", [](auto& report) { report.host = std::string(1000, 'h'); }},
        {"state", [](auto& report) { report.state = entry_state::unknown; }},
        {"state", [](auto& report) { report.state = static_cast<entry_state>(9); }},
        {"bandwidth", [](auto& report) { report.bandwidth = -1.0; }},
        {"bandwidth", [](auto& report) { report.bandwidth = infinite; }},
        {"bandwidth", [](auto& report) { report.bandwidth = not_a_number; }},
        {"bandwidth", [](auto& report) { report.bandwidth = 5.1e10; }},
        {"bandwidth", [](auto& report) { report.bandwidth = 0.0; }},
        {"traffic", [](auto& report) { report.received_per_second = -1.0; }},
        {"traffic", [](auto& report) { report.sent_per_second = infinite; }},
        {"connections", [](auto& report) { report.connections = 1'000'000'000; }},
        {"accounts", [](auto& report) { report.accounts[0].bytes_per_second = -5.0; }},
        {"accounts", [](auto& report) { report.accounts[0].bytes_per_second = infinite; }},
        {"accounts", [](auto& report) { report.accounts[0].bytes_per_second = not_a_number; }},
        {"accounts", [](auto& report) { report.accounts[0].account.clear(); }},
        {"accounts",
         [](auto& report) {
             report.accounts.resize(5, {"a", 1.0});
         }},
        {"step_back", [](auto& report) { report.state = entry_state::stepped_back; }},
        {"step_back",
         [](auto& report) {
             report.step_back = {{"a", 1.0}};
         }},
    };
    neighbour_table table;
    BOOST_REQUIRE((table.record(start, valid_report()) == neighbour_table::outcome::recorded));
    for (const auto& [fault, damage] : faults) {
        BOOST_TEST_CONTEXT(fault) {
            neighbour_report report = valid_report();
            report.number = 2;
            damage(report);
            BOOST_TEST(find_fault(report) == fault);
            BOOST_TEST(
                (table.record(start + seconds(1), report) == neighbour_table::outcome::refused));
        }
    }
    BOOST_TEST((table.find("h1")->received == start));
    BOOST_TEST(table.find("h1")->report.number == 1U);
}

BOOST_AUTO_TEST_CASE(older_report_of_the_same_process_is_outdated) {
    neighbour_table table;
    neighbour_report report = valid_report();
    report.number = 5;
    table.record(start, report);
    report.number = 4;
    BOOST_TEST((table.record(start + seconds(1), report) == neighbour_table::outcome::outdated));
    BOOST_TEST((table.find("h1")->received == start));
}

BOOST_AUTO_TEST_CASE(restarted_process_begins_its_numbers_anew) {
    neighbour_table table;
    neighbour_report report = valid_report();
    report.number = 500;
    table.record(start, report);
    report.process = incarnation_id{2};
    report.number = 1;
    BOOST_TEST((table.record(start + seconds(1), report) == neighbour_table::outcome::recorded));
}

BOOST_AUTO_TEST_CASE(fault_is_noted_once_until_it_changes_or_a_valid_report_arrives) {
    neighbour_table table;
    BOOST_TEST(table.note_fault("h1", "bandwidth"));
    BOOST_TEST(!table.note_fault("h1", "bandwidth"));
    BOOST_TEST(table.note_fault("h1", "state"));
    table.record(start, valid_report());
    BOOST_TEST(table.note_fault("h1", "state"));
}

BOOST_AUTO_TEST_CASE(invented_hosts_do_not_grow_the_table_without_bound) {
    neighbour_table table;
    neighbour_report report = valid_report();
    std::size_t recorded = 0;
    for (int number = 0; number < 3000; ++number) {
        report.host = "h" + std::to_string(number);
        const bool is_recorded = table.record(start, report) == neighbour_table::outcome::recorded;
        recorded += is_recorded ? 1 : 0;
    }
    BOOST_TEST(recorded == 1024U);
    table.drop_expired(start + seconds(300));
    BOOST_TEST((table.record(start, report) == neighbour_table::outcome::recorded));
}

BOOST_AUTO_TEST_SUITE_END()
