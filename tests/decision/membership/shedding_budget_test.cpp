#include "wrenswitch/decision/membership/shedding_budget.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// Ten members: this one and nine others that accept callers, unless a test says otherwise.
struct shedding_budget_fixture {
    shedding_conditions conditions;

    shedding_budget_fixture() {
        conditions.neighbours.assign(9, entry_state::accepting);
        conditions.members = 10;
    }

    void set(std::size_t first, std::size_t count, entry_state state) {
        for (std::size_t each = first; each < first + count; ++each) {
            conditions.neighbours[each] = state;
        }
    }

    bool is_allowed() const { return decide_shedding(conditions).is_allowed; }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(shedding_budget_test, shedding_budget_fixture)

// Single entries and domains of equal links have no other protection than timed shedding.
BOOST_AUTO_TEST_CASE(domain_without_a_step_back_has_no_budget) {
    set(0, 9, entry_state::closed);
    BOOST_TEST(is_allowed());
    conditions.neighbours.clear();
    BOOST_TEST(is_allowed());
    conditions.members = 1;
    BOOST_TEST(is_allowed());
}

// Saturated links beside those that have stepped back took out more than half of a domain.
BOOST_AUTO_TEST_CASE(half_of_the_members_already_out_with_a_step_back_withholds_shedding) {
    set(0, 1, entry_state::stepped_back);
    set(1, 3, entry_state::closed);
    BOOST_TEST(is_allowed());
    set(4, 1, entry_state::closed);
    const shedding_decision decision = decide_shedding(conditions);
    BOOST_TEST(!decision.is_allowed);
    BOOST_TEST(decision.accepting == 4U);
    BOOST_TEST(decision.members == 10U);
}

// An announced entry is out 250 ms later, before shedding ends. Unlike step backs, shedding has no
// place in the order of announcements.
BOOST_AUTO_TEST_CASE(announcement_counts_as_out) {
    set(0, 5, entry_state::announced);
    BOOST_TEST(!is_allowed());
    set(0, 1, entry_state::accepting);
    BOOST_TEST(is_allowed());
}

BOOST_AUTO_TEST_CASE(own_announcement_or_step_back_sets_the_budget) {
    set(0, 5, entry_state::closed);
    BOOST_TEST(is_allowed());
    conditions.own_state = entry_state::announced;
    BOOST_TEST(!is_allowed());
    conditions.own_state = entry_state::stepped_back;
    BOOST_TEST(!is_allowed());
    set(0, 1, entry_state::accepting);
    BOOST_TEST(is_allowed());
}

// A dead or partitioned neighbour sends no reports, and an entry of an earlier release never did.
BOOST_AUTO_TEST_CASE(members_without_a_fresh_report_count_as_out) {
    conditions.neighbours.assign(5, entry_state::accepting);
    set(0, 1, entry_state::stepped_back);
    BOOST_TEST(!is_allowed());
    conditions.neighbours.push_back(entry_state::accepting);
    BOOST_TEST(is_allowed());
}

// Half of the domain restarts beside a saturated link. The step back of a third entry sets the
// budget, the restarting entries use it up.
BOOST_AUTO_TEST_CASE(restarting_half_of_the_domain_withholds_shedding_only_beside_a_step_back) {
    set(0, 5, entry_state::closed);
    BOOST_TEST(is_allowed());
    set(5, 1, entry_state::stepped_back);
    BOOST_TEST(!is_allowed());
}

// After a freeze reports aren't trusted yet. Without them the entry would shed as if it were alone.
BOOST_AUTO_TEST_CASE(suspected_step_back_withholds_shedding_without_trusted_reports) {
    conditions.neighbours.clear();
    conditions.step_back_suspected = true;
    BOOST_TEST(!is_allowed());
}

// One neighbour that always claims to be stepped back must not prevent shedding by itself.
BOOST_AUTO_TEST_CASE(claim_of_one_neighbour_withholds_nothing_while_the_majority_accepts) {
    set(0, 1, entry_state::stepped_back);
    BOOST_TEST(is_allowed());
}

// All entries that wait learn at the same moment that the budget allows one more.
BOOST_AUTO_TEST_CASE(withheld_shedding_waits_for_those_that_come_before) {
    shedding_budget budget;
    const instant begin{seconds(100)};
    conditions.preceding = 2;
    set(0, 1, entry_state::stepped_back);
    set(1, 4, entry_state::closed);
    budget.evaluate(begin, conditions, true);
    BOOST_TEST(!budget.allows_shedding());
    BOOST_TEST(!budget.due().has_value());
    set(1, 1, entry_state::accepting);
    budget.evaluate(begin, conditions, true);
    BOOST_TEST(!budget.allows_shedding());
    BOOST_REQUIRE(budget.due().has_value());
    BOOST_TEST((*budget.due() == begin + milliseconds(100)));
    // Another evaluation meanwhile must not begin the wait anew.
    conditions.preceding = 3;
    budget.evaluate(begin + milliseconds(60), conditions, true);
    budget.evaluate(begin + milliseconds(100), conditions, true);
    BOOST_TEST(budget.allows_shedding());
}

BOOST_AUTO_TEST_CASE(one_that_begins_before_ends_the_wait) {
    shedding_budget budget;
    const instant begin{seconds(100)};
    conditions.preceding = 2;
    set(0, 1, entry_state::stepped_back);
    set(1, 3, entry_state::closed);
    budget.evaluate(begin, conditions, true);
    BOOST_REQUIRE(budget.due().has_value());
    set(4, 1, entry_state::closed);
    budget.evaluate(begin + milliseconds(50), conditions, true);
    BOOST_TEST(!budget.due().has_value());
    budget.evaluate(begin + milliseconds(100), conditions, true);
    BOOST_TEST(!budget.allows_shedding());
}

// Shedding that was not withheld begins without a wait, as it does without a budget.
BOOST_AUTO_TEST_CASE(shedding_that_is_not_withheld_waits_for_nobody) {
    shedding_budget budget;
    conditions.preceding = 5;
    budget.evaluate(instant{seconds(100)}, conditions, false);
    BOOST_TEST(budget.allows_shedding());
    BOOST_TEST(!budget.due().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
