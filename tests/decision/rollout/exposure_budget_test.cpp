#include "wrenswitch/decision/rollout/exposure_budget.hpp"

#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

using namespace wrenswitch;

BOOST_AUTO_TEST_SUITE(exposure_budget_test)

BOOST_AUTO_TEST_CASE(new_budget_allows_nothing) {
    const exposure_budget budget(0.09);
    BOOST_TEST(!budget.may_send());
}

BOOST_AUTO_TEST_CASE(fraction_of_budget_exhausted_before_whole_budget) {
    exposure_budget budget(0.1);
    for (int request = 0; request < 100; ++request) {
        budget.note_reached();
    }
    for (int request = 0; request < 4; ++request) {
        BOOST_TEST(budget.may_send(0.4));
        budget.note_sent();
    }
    BOOST_TEST(!budget.may_send(0.4));
    BOOST_TEST(budget.may_send());
}

/// Entries restart at random and lose their counts; requests already sent to the new version still
/// count. The sum over all of them must stay within the share.
BOOST_AUTO_TEST_CASE(restarted_processes_keep_exposed_share_within_bound) {
    std::mt19937 random(5);
    std::vector<exposure_budget> entries(40, exposure_budget(0.09));
    std::uint64_t total = 0;
    std::uint64_t exposed = 0;
    for (int request = 0; request < 200'000; ++request) {
        exposure_budget& entry = entries[random() % entries.size()];
        if (random() % 500 == 0) {
            entry = exposure_budget(0.09);
        }
        if (entry.may_send()) {
            entry.note_sent();
            exposed += 1;
        }
        total += 1;
        // Some requests are never seen to reach a target.
        if (random() % 10 != 0) {
            entry.note_reached();
        }
        BOOST_REQUIRE(static_cast<double>(exposed) <= 0.09 * static_cast<double>(total));
    }
    BOOST_TEST(exposed > 5000U);
}

BOOST_AUTO_TEST_SUITE_END()
