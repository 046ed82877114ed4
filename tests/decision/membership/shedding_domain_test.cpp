// A whole failure domain of policies and link detectors without a network: links saturate while
// entries step back, restart, freeze or lie. Reports arrive with the next step, at once after a
// change of state.

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>

#include "wrenswitch/decision/gateway/link_congestion_detector.hpp"
#include "wrenswitch/decision/membership/shedding_budget.hpp"
#include "wrenswitch/decision/membership/step_back_policy.hpp"

namespace {

using namespace wrenswitch;

constexpr double narrow = 1.25e6;
constexpr double wide = 25e6;
constexpr microseconds step = milliseconds(50);
constexpr microseconds evaluation_period = milliseconds(250);

struct simulated_entry {
    simulated_entry(std::string name, double link)
        : host(std::move(name)), bandwidth(link), detector({.bytes_per_second = link}) {}

    std::string host;
    double bandwidth;
    link_congestion_detector detector;
    step_back_policy policy{host};
    neighbour_table table;
    /// An account at this entry that fills the link this much, and whether it may cause a step
    /// back.
    double link_share = 0.0;
    bool is_one_account = false;
    /// A process that neither runs nor reports.
    bool is_frozen = false;
    /// Reports that a test makes up instead of the own ones.
    std::optional<entry_state> claims;
    double received = 0.0;
    std::uint64_t number = 0;
    instant next_evaluation{};
    entry_state reported = entry_state::unknown;
    shedding_budget budget;
    std::size_t returns = 0;

    bool is_out() const {
        return policy.state() == entry_state::stepped_back || detector.is_shedding();
    }
    entry_state state() const {
        if (claims) {
            return *claims;
        }
        const bool is_closed =
            detector.is_shedding() && policy.state() != entry_state::stepped_back;
        return is_closed ? entry_state::closed : policy.state();
    }
};

struct shedding_domain_fixture {
    instant now{seconds(100)};
    std::vector<std::unique_ptr<simulated_entry>> entries;
    std::vector<std::string> hosts;

    /// The letters give the links: n is 10 Mbit/s, w 200 Mbit/s.
    void make(std::string_view links) {
        for (const char link : links) {
            hosts.push_back("e" + std::to_string(hosts.size()));
            entries.push_back(
                std::make_unique<simulated_entry>(hosts.back(), link == 'w' ? wide : narrow));
        }
        run(seconds(1));
    }

    simulated_entry& at(std::size_t number) { return *entries[number]; }

    void evaluate(simulated_entry& entry) {
        entry.next_evaluation = now + evaluation_period;
        local_load load;
        load.bandwidth = entry.bandwidth;
        load.is_open = !entry.detector.is_shedding();
        if (entry.is_one_account) {
            load.accounts.push_back({{"large-" + entry.host, entry.link_share * entry.bandwidth},
                                     {3, seconds(10), microseconds(0)}});
        }
        const auto change = entry.policy.evaluate(now, load, entry.table, hosts);
        if (change && change->what == step_back_change::kind::returned) {
            entry.returns += 1;
        }
        entry.budget.evaluate(now, entry.policy.conditions_for_shedding(now, entry.table, hosts),
                              entry.detector.is_shedding_withheld());
        entry.detector.allow_shedding(entry.budget.allows_shedding());
    }

    void report(simulated_entry& entry) {
        neighbour_report report;
        report.host = entry.host;
        report.process = incarnation_id{1};
        report.number = ++entry.number;
        report.bandwidth = entry.bandwidth;
        report.state = entry.state();
        if (report.state == entry_state::announced || report.state == entry_state::stepped_back) {
            report.step_back = entry.policy.accounts();
            if (report.step_back.empty()) {
                report.step_back = {{"claimed", narrow}};
            }
        }
        report.accounts = entry.policy.accounts_to_report();
        for (const auto& other : entries) {
            if (other->host != entry.host && !other->is_frozen) {
                if (other->table.record(now, report) != neighbour_table::outcome::recorded) {
                    BOOST_ERROR("report refused");
                }
                if (report.state != entry.reported) {
                    other->next_evaluation = now;
                }
            }
        }
        entry.reported = report.state;
    }

    bool is_evaluation_due(const simulated_entry& entry) const {
        const auto is_due = [this](std::optional<instant> time) { return time && now >= *time; };
        return now >= entry.next_evaluation || is_due(entry.policy.due()) ||
               is_due(entry.budget.due());
    }

    void run(microseconds length) {
        for (const instant end = now + length; now < end;) {
            now += step;
            for (const auto& each : entries) {
                if (each->is_frozen) {
                    continue;
                }
                if (is_evaluation_due(*each)) {
                    evaluate(*each);
                }
                each->received += each->link_share * each->bandwidth * as_seconds(step);
                each->detector.observe(now, static_cast<std::uint64_t>(each->received), 0);
            }
            const bool is_periodic = (now - instant{}) % evaluation_period == microseconds(0);
            for (const auto& each : entries) {
                if (!each->is_frozen && (is_periodic || each->state() != each->reported)) {
                    report(*each);
                }
            }
        }
    }

    std::size_t out() const {
        return static_cast<std::size_t>(std::count_if(
            entries.begin(), entries.end(), [](const auto& each) { return each->is_out(); }));
    }

    /// An account of 1.5 links arrives at an entry, which steps back from it. Its callers are taken
    /// by a wide entry, where they don't stand out.
    void step_back(std::size_t number) {
        at(number).is_one_account = true;
        at(number).link_share = 0.7;
        run(milliseconds(600));
        BOOST_REQUIRE((at(number).policy.state() == entry_state::stepped_back));
    }

    /// Four entries are closed and one claims a step back, as made up by the test, so that no other
    /// entry may shed callers. Step backs that are only claimed don't return.
    void use_up_budget() {
        at(0).claims = entry_state::stepped_back;
        for (const std::size_t each : {3U, 5U, 6U, 7U}) {
            at(each).claims = entry_state::closed;
        }
    }

    /// Many small accounts saturate the link of an entry.
    void saturate(std::size_t number) { at(number).link_share = 1.2; }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shedding_domain_test, shedding_domain_fixture)

// Links that saturate one after the other beside a step back took out more than half of the domain.
BOOST_AUTO_TEST_CASE(saturated_links_beside_a_step_back_leave_at_least_half_of_the_domain) {
    make("nnnnnnnnww");
    at(0).claims = entry_state::stepped_back;
    std::size_t most_out = 0;
    for (std::size_t each = 1; each < 8; ++each) {
        saturate(each);
        for (int turn = 0; turn < 20; ++turn) {
            run(step);
            most_out = std::max(most_out, 1 + out());
        }
    }
    BOOST_TEST(most_out == 5U);
    BOOST_TEST(at(7).detector.is_shedding_withheld());
}

// Step backs that use up their budget would leave a link that saturates then without protection.
BOOST_AUTO_TEST_CASE(saturated_link_takes_the_place_of_a_step_back) {
    make("nnnnnnnnww");
    for (std::size_t each = 0; each < 4; ++each) {
        step_back(each);
    }
    saturate(4);
    microseconds half_out{};
    for (int turn = 0; turn < 20; ++turn) {
        run(step);
        half_out += out() >= 5 ? step : microseconds(0);
    }
    BOOST_TEST(at(4).detector.is_shedding());
    BOOST_TEST(out() == 4U);
    BOOST_TEST(at(0).returns + at(1).returns + at(2).returns + at(3).returns == 1U);
    // One that has stepped back hears of it within 250 ms, and returns 250 ms after that.
    BOOST_TEST((half_out <= milliseconds(500)));
}

// Shedding that is withheld must begin as soon as the budget allows it.
BOOST_AUTO_TEST_CASE(withheld_shedding_begins_when_another_entry_accepts_again) {
    make("nnnnnnnnww");
    at(0).claims = entry_state::stepped_back;
    for (std::size_t each = 1; each <= 4; ++each) {
        saturate(each);
    }
    run(seconds(1));
    BOOST_REQUIRE(out() == 4U);
    saturate(5);
    run(seconds(1));
    BOOST_REQUIRE(at(5).detector.is_shedding_withheld());
    BOOST_TEST(at(5).budget.last_decision().accepting == 4U);
    BOOST_TEST(at(5).budget.last_decision().members == 10U);
    at(1).link_share = at(2).link_share = at(3).link_share = at(4).link_share = 0.0;
    run(seconds(4));
    BOOST_TEST(at(5).detector.is_shedding());
    BOOST_TEST(!at(5).detector.is_shedding_withheld());
}

// A link that has room again must not be shed for a cause that is over.
BOOST_AUTO_TEST_CASE(withheld_shedding_is_dropped_when_the_link_has_room_again) {
    make("nnnnnnnnww");
    use_up_budget();
    run(milliseconds(500));
    saturate(4);
    run(seconds(1));
    BOOST_REQUIRE(at(4).detector.is_shedding_withheld());
    at(4).link_share = 0.2;
    run(seconds(1));
    BOOST_TEST(!at(4).detector.is_shedding_withheld());
    for (const std::size_t each : {3U, 5U, 6U, 7U}) {
        at(each).claims.reset();
    }
    run(seconds(2));
    BOOST_TEST(!at(4).detector.is_shedding());
}

// All entries whose shedding is withheld learn by the same report that one accepts again.
BOOST_AUTO_TEST_CASE(withheld_entries_do_not_begin_together_when_the_budget_opens_by_one) {
    make("nnnnnnnnww");
    at(0).claims = entry_state::stepped_back;
    for (const std::size_t each : {1U, 2U, 3U, 8U}) {
        at(each).claims = entry_state::closed;
    }
    run(milliseconds(500));
    for (const std::size_t each : {4U, 5U, 6U, 7U}) {
        saturate(each);
    }
    run(seconds(1));
    const auto count = [&](auto is_counted) {
        return std::count_if(entries.begin(), entries.end(),
                             [&](const auto& each) { return is_counted(*each); });
    };
    BOOST_REQUIRE(count([](const auto& each) { return each.detector.is_shedding_withheld(); }) ==
                  4);
    at(1).claims.reset();
    run(milliseconds(400));
    BOOST_TEST(count([](const auto& each) { return each.detector.is_shedding(); }) == 1);
}

// Two entries that begin at the same moment don't hear of each other in time. Then one that has
// stepped back returns.
BOOST_AUTO_TEST_CASE(entries_that_shed_at_the_same_moment_return_one_that_has_stepped_back) {
    make("nnnnnnnnww");
    for (std::size_t each = 0; each < 3; ++each) {
        step_back(each);
    }
    saturate(3);
    saturate(4);
    std::size_t most_out = 0;
    microseconds exceeded{};
    for (int turn = 0; turn < 40; ++turn) {
        run(step);
        most_out = std::max(most_out, out());
        exceeded += out() >= 5 ? step : microseconds(0);
    }
    BOOST_TEST(most_out == 5U);
    BOOST_TEST(at(0).returns + at(1).returns + at(2).returns == 1U);
    // The entry hears of both within 250 ms, and returns 250 ms after that.
    BOOST_TEST((exceeded <= milliseconds(500)));
    BOOST_TEST(out() == 4U);
}

// Equal links never step back, so there is no budget: all entries shed as before.
BOOST_AUTO_TEST_CASE(all_links_saturated_at_once_in_a_domain_of_narrow_ones_shed) {
    make("nnnnnnnnnn");
    for (const auto& each : entries) {
        each->link_share = 1.5;
        each->is_one_account = true;
    }
    run(seconds(1));
    BOOST_TEST(out() == 10U);
}

// Here a budget would withhold the sixth.
BOOST_AUTO_TEST_CASE(links_saturated_one_after_the_other_in_a_domain_of_narrow_ones_all_shed) {
    make("nnnnnnnnnn");
    for (const auto& each : entries) {
        each->link_share = 1.5;
        each->is_one_account = true;
        run(milliseconds(250));
    }
    run(milliseconds(700));
    BOOST_TEST(out() == 10U);
}

// A partition that begins while shedding is withheld: after the age of the reports the entry is as
// one without neighbours, and must protect its link again.
BOOST_AUTO_TEST_CASE(withheld_shedding_begins_when_all_reports_have_aged_out) {
    make("nnnnnnnnww");
    use_up_budget();
    run(milliseconds(500));
    saturate(4);
    run(seconds(2));
    BOOST_REQUIRE(at(4).detector.is_shedding_withheld());
    for (const auto& each : entries) {
        each->is_frozen = each->host != "e4";
    }
    run(milliseconds(700));
    BOOST_TEST(!at(4).detector.is_shedding());
    run(milliseconds(600));
    BOOST_TEST(at(4).detector.is_shedding());
}

// An entry that resumes has no report that it may trust, and must not shed as if it were alone.
BOOST_AUTO_TEST_CASE(entry_that_resumes_while_shedding_is_withheld_goes_on_withholding) {
    make("nnnnnnnnww");
    use_up_budget();
    run(milliseconds(500));
    saturate(4);
    run(seconds(1));
    BOOST_REQUIRE(at(4).detector.is_shedding_withheld());
    at(4).is_frozen = true;
    run(seconds(5));
    at(4).is_frozen = false;
    for (int turn = 0; turn < 60; ++turn) {
        run(step);
        BOOST_REQUIRE(!at(4).detector.is_shedding());
    }
    BOOST_TEST(at(4).detector.is_shedding_withheld());
}

// The others have restarted or died during the freeze: the entry must not withhold for good.
BOOST_AUTO_TEST_CASE(entry_that_resumes_without_neighbours_sheds_after_they_have_aged_out) {
    make("nnnnnnnnww");
    use_up_budget();
    run(milliseconds(500));
    saturate(4);
    run(seconds(1));
    BOOST_REQUIRE(at(4).detector.is_shedding_withheld());
    for (const auto& each : entries) {
        each->is_frozen = true;
    }
    run(seconds(5));
    at(4).is_frozen = false;
    run(milliseconds(700));
    BOOST_TEST(!at(4).detector.is_shedding());
    run(milliseconds(500));
    BOOST_TEST(at(4).detector.is_shedding());
}

// A neighbour that claims forever to be stepped back: alone it withholds nothing; beside a majority
// that is out it withholds shedding for as long as its report is fresh.
BOOST_AUTO_TEST_CASE(neighbour_that_always_claims_a_step_back_decides_nothing_alone) {
    make("nnnnnnnnww");
    at(7).claims = entry_state::stepped_back;
    saturate(4);
    run(seconds(1));
    BOOST_TEST(at(4).detector.is_shedding());
    at(4).link_share = 0.0;
    run(seconds(4));
    BOOST_REQUIRE(!at(4).detector.is_shedding());
    for (const std::size_t each : {0U, 1U, 2U, 3U}) {
        at(each).claims = entry_state::closed;
    }
    saturate(4);
    run(seconds(30));
    BOOST_TEST(at(4).detector.is_shedding_withheld());
    at(7).is_frozen = true;
    run(milliseconds(1300));
    BOOST_TEST(at(4).detector.is_shedding());
}

BOOST_AUTO_TEST_SUITE_END()
