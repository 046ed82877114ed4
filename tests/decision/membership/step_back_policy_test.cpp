#include "wrenswitch/decision/membership/step_back_policy.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using namespace wrenswitch;
using kind = step_back_change::kind;

constexpr double narrow = 1.25e6;
constexpr double wide = 25e6;

/// Entry "e0" of 10 Mbit/s in a domain of ten: "e1" and "e2" have 200 Mbit/s, the others 10 Mbit/s.
/// Reports arrive every 250 ms, the policy is evaluated after them.
struct step_back_fixture {
    static constexpr std::size_t domain_size = 10;
    /// 200 requests per second of 9,200 bytes, 1.5 times the link of the narrow entries.
    static constexpr double large_demand = 1.84e6;

    instant now{seconds(100)};
    neighbour_table table;
    step_back_policy policy{"e0"};
    local_load load;
    std::vector<std::string> members;
    std::map<std::string, neighbour_report> neighbours;
    std::set<std::string> silent;
    std::uint64_t number = 0;
    std::vector<step_back_change> changes;

    step_back_fixture() {
        load.bandwidth = narrow;
        for (std::size_t each = 0; each < domain_size; ++each) {
            members.push_back("e" + std::to_string(each));
            if (each > 0) {
                neighbour_report& report = neighbours[members.back()];
                report.host = members.back();
                report.process = incarnation_id{each};
                report.bandwidth = each <= 2 ? wide : narrow;
                report.state = entry_state::accepting;
            }
        }
    }

    static local_account account(const std::string& name, double rate, std::size_t recent = 3,
                                 microseconds active = seconds(10)) {
        return {{name, rate}, {recent, active, microseconds(0)}};
    }

    void deliver() {
        number += 1;
        for (auto& [host, report] : neighbours) {
            if (!silent.contains(host)) {
                report.number = number;
                table.record(now, report);
            }
        }
    }

    std::optional<step_back_change> evaluate() {
        std::optional<step_back_change> change = policy.evaluate(now, load, table, members);
        if (change) {
            changes.push_back(*change);
        }
        return change;
    }

    void run(microseconds length) {
        for (const instant end = now + length; now < end;) {
            now += milliseconds(250);
            deliver();
            evaluate();
        }
    }

    void set_state(const std::string& host, entry_state state, double demand = 0.0,
                   const std::string& name = "big") {
        neighbours[host].state = state;
        neighbours[host].step_back.clear();
        if (state == entry_state::announced || state == entry_state::stepped_back) {
            neighbours[host].step_back = {{name, demand}};
        }
    }

    bool has_stepped_back() const { return policy.state() == entry_state::stepped_back; }

    void step_back() {
        load.accounts = {account("big", large_demand)};
        run(seconds(1));
        BOOST_REQUIRE(has_stepped_back());
    }

    /// The account is served by the first wide entry.
    void move_to_wide() {
        load.accounts.clear();
        neighbours["e1"].accounts = {{"big", large_demand}};
    }

    std::size_t count(kind wanted) const {
        return static_cast<std::size_t>(std::count_if(
            changes.begin(), changes.end(), [&](const auto& each) { return each.what == wanted; }));
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(step_back_policy_test, step_back_fixture)

BOOST_AUTO_TEST_CASE(account_above_the_link_is_announced_and_stepped_back_for) {
    load.accounts = {account("big", large_demand)};
    deliver();
    const auto announced = evaluate();
    BOOST_REQUIRE(announced.has_value());
    BOOST_TEST((announced->what == kind::announced));
    BOOST_TEST(announced->account.account == "big");
    BOOST_TEST(announced->fresh_neighbours == 9U);
    BOOST_TEST((policy.due() == now + milliseconds(250)));
    now += milliseconds(240);
    BOOST_TEST(!evaluate().has_value());
    now += milliseconds(10);
    const auto stepped_back = evaluate();
    BOOST_REQUIRE(stepped_back.has_value());
    BOOST_TEST((stepped_back->what == kind::stepped_back));
    BOOST_TEST(stepped_back->members == 10U);
}

BOOST_AUTO_TEST_CASE(account_that_fits_the_link_stays) {
    load.accounts = {account("big", 0.49 * narrow)};
    run(seconds(5));
    BOOST_TEST(changes.empty());
}

BOOST_AUTO_TEST_CASE(unknown_own_bandwidth_changes_nothing) {
    load.bandwidth = 0.0;
    load.accounts = {account("big", large_demand)};
    run(seconds(5));
    BOOST_TEST(changes.empty());
}

BOOST_AUTO_TEST_CASE(demand_that_ends_within_the_announcement_withdraws_it) {
    load.accounts = {account("big", large_demand)};
    deliver();
    evaluate();
    load.accounts = {};
    now += milliseconds(250);
    deliver();
    BOOST_REQUIRE(evaluate().has_value());
    BOOST_TEST((changes.back().what == kind::withdrawn));
    BOOST_TEST((policy.state() == entry_state::accepting));
}

// The platform hashes the caller to the next narrow entry, which must not wait for a quarter of the
// demand.
BOOST_AUTO_TEST_CASE(account_known_from_reports_is_announced_after_its_first_requests) {
    set_state("e4", entry_state::stepped_back, large_demand);
    neighbours["e4"].accounts = {{"big", large_demand}};
    run(seconds(1));
    BOOST_TEST(changes.empty());
    load.accounts = {account("big", 30'000.0, 2, milliseconds(20))};
    evaluate();
    BOOST_TEST(changes.empty());
    load.accounts = {account("big", 40'000.0, 3, milliseconds(25))};
    BOOST_REQUIRE(evaluate().has_value());
    BOOST_TEST((changes.back().what == kind::announced));
}

BOOST_AUTO_TEST_CASE(low_traffic_of_an_account_that_was_here_before_does_not_step_back) {
    set_state("e4", entry_state::stepped_back, large_demand);
    neighbours["e4"].accounts = {{"big", large_demand}};
    load.accounts = {account("big", 60'000.0, 3, seconds(20))};
    run(seconds(3));
    BOOST_TEST(changes.empty());
}

// Removing four entries for an account that takes an eighth of each link would be worse.
BOOST_AUTO_TEST_CASE(account_spread_over_several_accepting_entries_stays) {
    load.accounts = {account("big", 0.13 * narrow)};
    for (const char* host : {"e3", "e4", "e5", "e6"}) {
        neighbours[host].accounts = {{"big", 0.13 * narrow}};
    }
    run(seconds(3));
    BOOST_TEST(changes.empty());
}

BOOST_AUTO_TEST_CASE(neighbour_of_twice_the_bandwidth_without_room_takes_no_account) {
    load.accounts = {account("big", large_demand)};
    neighbours["e1"].received_per_second = 0.68 * wide;
    neighbours["e2"].sent_per_second = 0.68 * wide;
    run(seconds(3));
    BOOST_TEST(changes.empty());
    neighbours["e2"].sent_per_second = 0.3 * wide;
    run(seconds(1));
    BOOST_TEST(has_stepped_back());
}

BOOST_AUTO_TEST_CASE(neighbour_of_a_little_more_bandwidth_takes_no_account) {
    load.accounts = {account("big", 0.6 * narrow)};
    neighbours["e1"].bandwidth = neighbours["e2"].bandwidth = 1.9 * narrow;
    run(seconds(3));
    BOOST_TEST(changes.empty());
}

BOOST_AUTO_TEST_CASE(entry_of_the_most_bandwidth_never_steps_back) {
    load.bandwidth = wide;
    load.accounts = {account("big", 3 * wide)};
    run(seconds(5));
    BOOST_TEST(changes.empty());
}

BOOST_AUTO_TEST_CASE(domain_of_narrow_entries_only_keeps_all_of_them) {
    neighbours["e1"].bandwidth = neighbours["e2"].bandwidth = narrow;
    load.accounts = {account("big", large_demand)};
    run(seconds(5));
    BOOST_TEST(changes.empty());
}

BOOST_AUTO_TEST_CASE(domain_with_all_links_saturated_keeps_all_entries) {
    load.accounts = {account("big", large_demand)};
    for (auto& [host, report] : neighbours) {
        report.received_per_second = report.bandwidth;
    }
    run(seconds(5));
    BOOST_TEST(changes.empty());
}

BOOST_AUTO_TEST_CASE(neighbours_of_an_earlier_release_count_as_out) {
    load.accounts = {account("big", large_demand)};
    silent = {"e5", "e6", "e7", "e8"};
    run(seconds(3));
    BOOST_TEST(changes.empty());
    silent = {"e5", "e6", "e7"};
    run(seconds(1));
    BOOST_TEST(has_stepped_back());
}

BOOST_AUTO_TEST_CASE(entry_without_any_report_never_steps_back) {
    load.accounts = {account("big", large_demand)};
    for (const std::string& host : members) {
        silent.insert(host);
    }
    run(seconds(5));
    BOOST_TEST(changes.empty());
}

BOOST_AUTO_TEST_CASE(entry_without_neighbours_never_steps_back) {
    members = {"e0"};
    load.accounts = {account("big", large_demand)};
    run(seconds(5));
    members = {};
    run(seconds(5));
    BOOST_TEST(changes.empty());
}

BOOST_AUTO_TEST_CASE(half_of_the_domain_restarting_keeps_the_others) {
    load.accounts = {account("big", large_demand)};
    for (const char* host : {"e5", "e6", "e7", "e8", "e9"}) {
        set_state(host, entry_state::closed);
    }
    run(seconds(3));
    BOOST_TEST(changes.empty());
}

BOOST_AUTO_TEST_CASE(at_most_four_of_ten_are_out) {
    load.accounts = {account("big", large_demand)};
    for (const char* host : {"e3", "e4", "e5", "e6"}) {
        set_state(host, entry_state::stepped_back, large_demand, "other");
    }
    run(seconds(3));
    BOOST_TEST(changes.empty());
    set_state("e6", entry_state::accepting);
    run(seconds(1));
    BOOST_TEST(has_stepped_back());
}

BOOST_AUTO_TEST_CASE(report_of_a_dead_wide_neighbour_ages_out) {
    silent = {"e1", "e2"};
    deliver();
    neighbours["e1"].number = neighbours["e2"].number = 1;
    table.record(now, neighbours["e1"]);
    table.record(now, neighbours["e2"]);
    run(seconds(1));
    load.accounts = {account("big", large_demand)};
    run(seconds(3));
    BOOST_TEST(changes.empty());
}

// Two entries that decide at the same time when only one more may be out.
BOOST_AUTO_TEST_CASE(announcement_of_larger_demand_goes_first) {
    for (const char* host : {"e3", "e4", "e5"}) {
        set_state(host, entry_state::stepped_back, large_demand, "other");
    }
    load.accounts = {account("big", large_demand)};
    deliver();
    evaluate();
    BOOST_REQUIRE((policy.state() == entry_state::announced));
    set_state("e6", entry_state::announced, large_demand + 1.0, "third");
    now += milliseconds(250);
    deliver();
    evaluate();
    BOOST_TEST((changes.back().what == kind::withdrawn));
}

BOOST_AUTO_TEST_CASE(announcement_of_smaller_demand_gives_way) {
    for (const char* host : {"e3", "e4", "e5"}) {
        set_state(host, entry_state::stepped_back, large_demand, "other");
    }
    set_state("e6", entry_state::announced, large_demand - 1.0, "third");
    load.accounts = {account("big", large_demand)};
    run(milliseconds(500));
    BOOST_TEST(has_stepped_back());
}

BOOST_AUTO_TEST_CASE(equal_announcements_go_in_the_order_of_host_names) {
    for (const char* host : {"e3", "e4", "e5"}) {
        set_state(host, entry_state::stepped_back, large_demand, "other");
    }
    set_state("e6", entry_state::announced, large_demand);
    load.accounts = {account("big", large_demand)};
    run(milliseconds(500));
    BOOST_TEST(has_stepped_back());
    step_back_policy last{"e9"};
    neighbours["e0"] = neighbours["e9"];
    neighbours["e0"].host = "e0";
    neighbours.erase("e9");
    deliver();
    last.evaluate(now, load, table, members);
    now += milliseconds(250);
    last.evaluate(now, load, table, members);
    BOOST_TEST((last.state() == entry_state::accepting));
}

BOOST_AUTO_TEST_CASE(entry_stays_back_as_long_as_its_account_is_served_elsewhere) {
    step_back();
    move_to_wide();
    run(seconds(60));
    BOOST_TEST(has_stepped_back());
    BOOST_TEST(count(kind::stepped_back) == 1U);
}

BOOST_AUTO_TEST_CASE(entry_returns_three_seconds_after_its_account_is_gone) {
    step_back();
    move_to_wide();
    run(seconds(20));
    neighbours["e1"].accounts.clear();
    run(milliseconds(2500));
    BOOST_TEST(has_stepped_back());
    run(seconds(1));
    BOOST_REQUIRE((changes.back().what == kind::returned));
    BOOST_TEST((changes.back().reason == return_reason::fits));
}

BOOST_AUTO_TEST_CASE(demand_between_the_two_thresholds_keeps_the_entry_back) {
    step_back();
    load.accounts.clear();
    neighbours["e1"].accounts = {{"big", 0.45 * narrow}};
    run(seconds(30));
    BOOST_TEST(has_stepped_back());
    neighbours["e1"].accounts = {{"big", 0.39 * narrow}};
    run(seconds(4));
    BOOST_TEST(!has_stepped_back());
}

BOOST_AUTO_TEST_CASE(account_that_is_gone_at_once_keeps_the_entry_back_for_ten_seconds) {
    step_back();
    const instant stepped_back_at = policy.stepped_back_at();
    load.accounts.clear();
    while (has_stepped_back()) {
        run(milliseconds(250));
    }
    BOOST_TEST((now - stepped_back_at >= seconds(10)));
    BOOST_TEST((now - stepped_back_at <= milliseconds(10'250)));
}

BOOST_AUTO_TEST_CASE(exceeded_budget_returns_the_entry_before_ten_seconds) {
    step_back();
    move_to_wide();
    for (const char* host : {"e5", "e6", "e7", "e8", "e9"}) {
        silent.insert(host);
    }
    run(seconds(2));
    BOOST_REQUIRE((changes.back().what == kind::returned));
    BOOST_TEST((changes.back().reason == return_reason::too_few_accept));
}

BOOST_AUTO_TEST_CASE(exceeded_budget_returns_the_entry_of_the_least_demand_first) {
    step_back();
    move_to_wide();
    set_state("e3", entry_state::stepped_back, large_demand / 2, "other");
    for (const char* host : {"e6", "e7", "e8", "e9"}) {
        silent.insert(host);
    }
    run(seconds(3));
    BOOST_TEST(has_stepped_back());
    set_state("e3", entry_state::stepped_back, large_demand * 2, "other");
    run(seconds(1));
    BOOST_TEST(!has_stepped_back());
}

BOOST_AUTO_TEST_CASE(partitioned_entry_returns) {
    step_back();
    for (const std::string& host : members) {
        silent.insert(host);
    }
    run(seconds(2));
    BOOST_TEST(!has_stepped_back());
}

BOOST_AUTO_TEST_CASE(death_of_all_wider_entries_returns_the_entry) {
    step_back();
    move_to_wide();
    silent = {"e1", "e2"};
    run(seconds(8));
    BOOST_TEST(has_stepped_back());
    run(seconds(6));
    BOOST_REQUIRE((changes.back().what == kind::returned));
    BOOST_TEST((changes.back().reason == return_reason::no_wider_entry));
}

// Two more steps in 10 s would move all callers of the account twice.
BOOST_AUTO_TEST_CASE(entry_that_returned_early_steps_back_at_most_once_in_ten_seconds) {
    step_back();
    const instant first = policy.stepped_back_at();
    for (const std::string& host : members) {
        silent.insert(host);
    }
    run(seconds(2));
    BOOST_REQUIRE(!has_stepped_back());
    silent.clear();
    while (!has_stepped_back()) {
        run(milliseconds(250));
    }
    BOOST_TEST((now - first >= seconds(10)));
}

// Reports that were queued during the freeze are received with an age of zero.
BOOST_AUTO_TEST_CASE(frozen_entry_does_not_act_on_reports_queued_during_the_freeze) {
    run(seconds(1));
    load.accounts = {account("big", large_demand)};
    deliver();
    evaluate();
    BOOST_REQUIRE((policy.state() == entry_state::announced));
    now += seconds(5);
    deliver();
    evaluate();
    BOOST_TEST((changes.back().what == kind::withdrawn));
    for (const std::string& host : members) {
        silent.insert(host);
    }
    run(seconds(3));
    BOOST_TEST(count(kind::stepped_back) == 0U);
}

BOOST_AUTO_TEST_CASE(frozen_entry_that_had_stepped_back_stays_so_while_reports_arrive_anew) {
    step_back();
    move_to_wide();
    now += seconds(5);
    run(seconds(5));
    BOOST_TEST(has_stepped_back());
}

BOOST_AUTO_TEST_CASE(entry_that_drains_or_starts_announces_nothing) {
    load.is_open = false;
    load.accounts = {account("big", large_demand)};
    run(seconds(3));
    BOOST_TEST(changes.empty());
}

// 1.8 MB/s are 7 % of a link of 200 Mbit/s. Without them an entry that stepped back would take the
// account for gone.
BOOST_AUTO_TEST_CASE(wide_entry_reports_accounts_that_matter_to_narrow_ones) {
    load.bandwidth = wide;
    load.accounts = {account("big", large_demand), account("small", 0.09 * narrow)};
    deliver();
    evaluate();
    BOOST_REQUIRE(policy.accounts_to_report().size() == 1U);
    BOOST_TEST(policy.accounts_to_report()[0].account == "big");
}

BOOST_AUTO_TEST_CASE(accounts_that_neighbours_stepped_back_for_are_reported_first) {
    set_state("e4", entry_state::stepped_back, large_demand, "moved");
    load.bandwidth = wide;
    load.accounts = {account("a", 5e6), account("b", 4e6), account("c", 3e6), account("d", 2e6),
                     account("moved", 0.05 * narrow)};
    deliver();
    evaluate();
    const std::vector<account_demand> reported = policy.accounts_to_report();
    BOOST_REQUIRE(reported.size() == 4U);
    BOOST_TEST(reported[0].account == "moved");
    BOOST_TEST(reported[3].account == "c");
}

BOOST_AUTO_TEST_CASE(report_period_grows_with_the_domain) {
    BOOST_TEST((step_back_policy::report_period(3) == milliseconds(250)));
    BOOST_TEST((step_back_policy::report_period(10) == milliseconds(250)));
    BOOST_TEST((step_back_policy::report_period(60) == milliseconds(1500)));
    BOOST_TEST((step_back_policy::max_report_age(10) == seconds(1)));
    BOOST_TEST((step_back_policy::max_report_age(60) == milliseconds(4500)));
}

BOOST_AUTO_TEST_SUITE_END()
