// A whole failure domain of policies with one large account, without a network: the platform sends
// the account to the first ready entry of a fixed order, 2 s after a change.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "wrenswitch/decision/membership/step_back_policy.hpp"

namespace {

using namespace wrenswitch;

constexpr double narrow = 1.25e6;
constexpr double wide = 25e6;
constexpr microseconds step = milliseconds(50);
constexpr microseconds evaluation_period = milliseconds(250);
constexpr microseconds platform_delay = seconds(2);

struct simulated_entry {
    simulated_entry(const std::string& name, double link) : host(name), bandwidth(link) {}

    std::string host;
    double bandwidth;
    std::uint64_t process = 1;
    account_usage usage;
    account_activity activity;
    neighbour_table table;
    step_back_policy policy{host};
    instant next_evaluation{};
    std::uint64_t number = 0;
    std::size_t step_backs = 0;
    std::size_t returns = 0;
    /// The end of the time in which the platform does not send callers here yet, or still does.
    instant state_since{};
    bool was_ready = true;

    bool ready() const { return policy.state() != entry_state::stepped_back; }
};

struct domain_fixture {
    instant now{seconds(100)};
    std::vector<std::unique_ptr<simulated_entry>> entries;
    std::vector<std::string> hosts;
    std::size_t most_out = 0;
    std::size_t serving = 0;
    double demand = 0.0;

    /// The letters give the links in the order of the account's hash: n is 10 Mbit/s, w 200 Mbit/s.
    void make(std::string_view links) {
        for (const char link : links) {
            hosts.push_back("e" + std::to_string(hosts.size()));
            entries.push_back(
                std::make_unique<simulated_entry>(hosts.back(), link == 'w' ? wide : narrow));
            entries.back()->next_evaluation =
                now + evaluation_period * static_cast<int>(hosts.size()) / 10;
        }
    }

    bool sees_ready(const simulated_entry& entry) const {
        return now - entry.state_since >= platform_delay ? entry.ready() : !entry.ready();
    }

    void evaluate(simulated_entry& entry) {
        entry.next_evaluation = now + evaluation_period;
        local_load load;
        load.bandwidth = entry.bandwidth;
        for (const account_demand& each : entry.usage.top(now, 16)) {
            load.accounts.push_back({each, entry.activity.presence_of(now, each.account)});
        }
        const auto change = entry.policy.evaluate(now, load, entry.table, hosts);
        if (change) {
            entry.step_backs += change->what == step_back_change::kind::stepped_back ? 1 : 0;
            entry.returns += change->what == step_back_change::kind::returned ? 1 : 0;
        }
        if (entry.ready() != std::exchange(entry.was_ready, entry.ready())) {
            entry.state_since = now;
        }
        neighbour_report report;
        report.host = entry.host;
        report.process = incarnation_id{entry.process};
        report.number = ++entry.number;
        report.bandwidth = entry.bandwidth;
        for (const local_account& each : load.accounts) {
            report.received_per_second += each.demand.bytes_per_second;
        }
        report.state = entry.policy.state();
        report.step_back = entry.policy.accounts();
        report.accounts = entry.policy.accounts_to_report();
        for (const auto& other : entries) {
            if (other->host != entry.host) {
                other->table.record(now, report);
            }
        }
    }

    void run(microseconds length) {
        for (const instant end = now + length; now < end;) {
            now += step;
            const auto first = std::find_if(entries.begin(), entries.end(),
                                            [&](const auto& each) { return sees_ready(*each); });
            serving = static_cast<std::size_t>(first - entries.begin()) % entries.size();
            simulated_entry& at = *entries[serving];
            if (demand > 0.0) {
                // Ten requests in 50 ms.
                for (int request = 0; request < 10; ++request) {
                    at.activity.record(now, "large");
                }
                at.usage.record(now, "large", static_cast<std::uint64_t>(demand * as_seconds(step)),
                                0);
            }
            for (const auto& each : entries) {
                at.usage.record(now, "other", 0, 0);
                if (now >= each->next_evaluation) {
                    evaluate(*each);
                }
            }
            const auto out = std::count_if(entries.begin(), entries.end(),
                                           [](const auto& each) { return !each->ready(); });
            most_out = std::max(most_out, static_cast<std::size_t>(out));
        }
    }

    std::size_t step_backs() const {
        std::size_t sum = 0;
        for (const auto& each : entries) {
            sum += each->step_backs;
        }
        return sum;
    }

    std::size_t returns() const {
        std::size_t sum = 0;
        for (const auto& each : entries) {
            sum += each->returns;
        }
        return sum;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(step_back_load_test, domain_fixture)

BOOST_AUTO_TEST_CASE(steady_account_of_1_5_links_reaches_a_wide_entry_and_stays) {
    make("nnnwnnwnnn");
    demand = 1.84e6;
    run(seconds(12));
    BOOST_TEST(serving == 3U);
    run(seconds(120));
    BOOST_TEST(serving == 3U);
    BOOST_TEST(step_backs() == 3U);
    BOOST_TEST(returns() == 0U);
    BOOST_TEST(most_out == 3U);
    demand = 0.0;
    run(seconds(8));
    BOOST_TEST(returns() == 3U);
}

BOOST_AUTO_TEST_CASE(account_behind_more_narrow_entries_than_may_be_out_does_not_oscillate) {
    make("nnnnnnnnww");
    demand = 1.84e6;
    run(seconds(60));
    BOOST_TEST(serving == 4U);
    BOOST_TEST(step_backs() == 4U);
    BOOST_TEST(returns() == 0U);
    BOOST_TEST(most_out == 4U);
}

BOOST_AUTO_TEST_CASE(burst_from_0_4_to_1_5_links_for_6_s_moves_each_entry_once) {
    make("nnwnnnwnnn");
    demand = 0.4 * narrow;
    run(seconds(10));
    BOOST_TEST(step_backs() == 0U);
    demand = 1.84e6;
    run(seconds(6));
    demand = 0.4 * narrow;
    run(seconds(60));
    for (const auto& each : entries) {
        BOOST_TEST(each->step_backs <= 1U);
    }
}

BOOST_AUTO_TEST_CASE(demand_around_the_threshold_causes_one_step_back_and_return_in_10_s_at_most) {
    make("nnwnnnwnnn");
    constexpr int rounds = 60;
    for (int round = 0; round < rounds; ++round) {
        demand = narrow * (round % 2 == 0 ? 0.55 : 0.35);
        run(seconds(1));
    }
    for (const auto& each : entries) {
        BOOST_TEST(each->step_backs <= static_cast<std::size_t>(rounds / 10));
    }
}

BOOST_AUTO_TEST_CASE(domain_of_narrow_entries_under_1_5_links_keeps_all) {
    make("nnnnnnnnnn");
    demand = 1.84e6;
    run(seconds(30));
    BOOST_TEST(most_out == 0U);
}

BOOST_AUTO_TEST_CASE(loss_of_all_processes_under_load_ends_at_a_wide_entry_again) {
    make("nnnwnnwnnn");
    demand = 1.84e6;
    run(seconds(20));
    for (auto& each : entries) {
        const std::uint64_t process = each->process;
        each = std::make_unique<simulated_entry>(each->host, each->bandwidth);
        each->process = process + 1;
        each->next_evaluation = now;
    }
    run(seconds(12));
    BOOST_TEST(serving == 3U);
    BOOST_TEST(most_out == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
