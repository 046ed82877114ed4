// Retries beyond their bound: the story of the failure.
//
// What users saw: of 30 entries, together, one service's targets got more attempts beyond the first
// of each request in 10 s than a fifth of the requests and 100 more.
// Order of events: all entries start; callers come; targets turn most requests away unrun; each
// entry offers them to a second and a third target until its own budget is spent. Nothing else has
// to go wrong. Where processes restart within the 10 s, it happens again.
// Cause: each budget held a part of the common 100, divided by the number of hosts that hold an
// account's tokens (none at first, 4 at the least assumed, some 2 later) and not by the 30 entries;
// and each new process began with a full budget, whatever its predecessor had spent.
// Evidence: all 30 entries logged saved_at_most=22.5, grant_hosts=0, members=29 or 30, and between
// them took 654 retries at the plain service in 4 s, of which targets saw 613 in one window where
// 346 were allowed; none of them was unasked. With all processes killed twice, 2,609 of 925.

#include "platform/retry_fleet.hpp"

namespace {

using namespace wrenswitch::testing;

struct many_entries : retry_fleet {
    many_entries() : retry_fleet(12) { start_all(); }
};

struct few_entries : retry_fleet {
    few_entries() : retry_fleet(4) { start_all(); }
};

BOOST_AUTO_TEST_SUITE(retry_bound_live)

BOOST_FIXTURE_TEST_CASE(many_entries_whose_targets_turn_requests_away_stay_in_the_common_bound,
                        many_entries) {
    ask_each(5);
    BOOST_TEST(static_cast<double>(retries_seen()) <= retries_allowed());
    // The common figures say the same as what targets see.
    BOOST_TEST(sum_of("gateway_retries_total{service=\"app\"}") ==
               static_cast<double>(retries_seen()));
    BOOST_TEST(sum_of("gateway_first_tries_total{service=\"app\"}") ==
               static_cast<double>(requests));
}

BOOST_FIXTURE_TEST_CASE(entries_that_are_killed_and_start_again_stay_in_the_common_bound,
                        few_entries) {
    ask_each(5);
    for (int life = 0; life < 2; ++life) {
        for (entry& each : entries) {
            each.process->signal(SIGKILL);
        }
        start_all();
        ask_each(5);
    }
    BOOST_TEST(static_cast<double>(retries_seen()) <= retries_allowed());
}

BOOST_FIXTURE_TEST_CASE(entries_whose_requests_have_earned_retries_use_them, few_entries) {
    ask_each(40);
    ask_each(40);
    BOOST_TEST(retries_seen() >= 16U);
    BOOST_TEST(sum_of("gateway_retries_total{service=\"app\"}") ==
               static_cast<double>(retries_seen()));
    BOOST_TEST(static_cast<double>(retries_seen()) <= share * static_cast<double>(requests));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
