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

BOOST_AUTO_TEST_CASE(part_of_a_budget_is_used_up_before_the_whole) {
    exposure_budget budget(0.1);
    for (int turn = 0; turn < 100; ++turn) {
        budget.note_reached();
    }
    for (int turn = 0; turn < 4; ++turn) {
        BOOST_TEST(budget.may_send(0.4));
        budget.note_sent();
    }
    BOOST_TEST(!budget.may_send(0.4));
    BOOST_TEST(budget.may_send());
}

/// Entries are lost and begin anew at any moment; those that went to the new version are kept by
/// the targets, which forget nothing.
BOOST_AUTO_TEST_CASE(share_holds_over_all_processes_that_ever_were) {
    std::mt19937 random(5);
    std::vector<exposure_budget> entries(40, exposure_budget(0.09));
    std::uint64_t all = 0;
    std::uint64_t exposed = 0;
    for (int turn = 0; turn < 200'000; ++turn) {
        exposure_budget& entry = entries[random() % entries.size()];
        if (random() % 500 == 0) {
            entry = exposure_budget(0.09);
        }
        if (entry.may_send()) {
            entry.note_sent();
            exposed += 1;
        }
        all += 1;
        // Some are never seen to arrive.
        if (random() % 10 != 0) {
            entry.note_reached();
        }
        BOOST_REQUIRE(static_cast<double>(exposed) <= 0.09 * static_cast<double>(all));
    }
    BOOST_TEST(exposed > 5000U);
}

BOOST_AUTO_TEST_SUITE_END()
