#include "wrenswitch/decision/grants/grant_holder.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr const char* account = "a";
constexpr instant start{seconds(100)};

/// Two hosts that share one account with a limit of 100,000 tokens.
struct grant_fixture {
    grant_table table;
    grant_policy_settings policy;
    grant_holder here{"here", incarnation_id{1}, policy, table};
    grant_holder there{"there", incarnation_id{2}, policy, table};

    grant_fixture() {
        here.set_limit(account, 100'000);
        there.set_limit(account, 100'000);
    }

    /// Applies the records of a holder, as a successful append at the end of the log does.
    void append(grant_holder& holder, instant now) {
        for (const grant_record& record : holder.compose_records(now)) {
            table.apply(record);
        }
        holder.on_append_resolved();
    }

    void draw(grant_holder& holder, tokens amount) {
        holder.set_waiting(account, amount, amount);
        append(holder, start);
        holder.set_waiting(account, 0, 0);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(grant_holder_test, grant_fixture)

BOOST_AUTO_TEST_CASE(reserve_without_a_grant_is_short) {
    BOOST_TEST((here.reserve(start, account, 10) == reserve_outcome::short_of_tokens));
}

BOOST_AUTO_TEST_CASE(reserve_after_a_draw_is_reserved) {
    draw(here, 5000);
    BOOST_TEST((here.reserve(start, account, 5000) == reserve_outcome::reserved));
    BOOST_TEST(here.reserved(account) == 5000);
}

BOOST_AUTO_TEST_CASE(reserve_beyond_the_limit_is_exhausted) {
    BOOST_TEST((here.reserve(start, account, 100'001) == reserve_outcome::exhausted));
}

BOOST_AUTO_TEST_CASE(reserve_while_others_may_return_is_short_not_exhausted) {
    draw(there, 99'000);
    BOOST_TEST((here.reserve(start, account, 50'000) == reserve_outcome::short_of_tokens));
}

BOOST_AUTO_TEST_CASE(draws_of_all_hosts_never_exceed_the_limit) {
    draw(here, 80'000);
    draw(there, 80'000);
    BOOST_TEST(table.granted(account) <= 100'000);
}

BOOST_AUTO_TEST_CASE(raised_limit_can_be_drawn) {
    draw(here, 100'000);
    here.set_limit(account, 150'000);
    draw(here, 150'000);
    BOOST_TEST(here.free_tokens(account) == 150'000);
}

BOOST_AUTO_TEST_CASE(lowered_limit_keeps_granted_tokens) {
    draw(here, 80'000);
    here.set_limit(account, 10'000);
    BOOST_TEST((here.reserve(start, account, 70'000) == reserve_outcome::reserved));
}

BOOST_AUTO_TEST_CASE(successor_on_the_host_counts_the_predecessors_grant_as_spent) {
    draw(here, 30'000);
    grant_holder successor("here", incarnation_id{3}, policy, table);
    successor.set_limit(account, 100'000);
    BOOST_TEST(successor.free_tokens(account) == 0);
    successor.set_waiting(account, 1000, 1000);
    append(successor, start);
    BOOST_TEST(successor.free_tokens(account) >= 1000);
    BOOST_TEST(table.granted(account) >= 31'000);
    BOOST_TEST(table.find({account, "here"}).base >= 30'000);
}

BOOST_AUTO_TEST_CASE(resumed_predecessor_has_no_free_tokens) {
    draw(here, 30'000);
    grant_holder successor("here", incarnation_id{3}, policy, table);
    successor.set_limit(account, 100'000);
    successor.set_waiting(account, 1000, 1000);
    append(successor, start);
    BOOST_TEST((here.reserve(start, account, 1000) == reserve_outcome::short_of_tokens));
}

BOOST_AUTO_TEST_CASE(draining_holder_returns_all_free_tokens) {
    draw(here, 30'000);
    here.reserve(start, account, 10'000);
    here.set_draining(true);
    append(here, start);
    BOOST_TEST(here.free_tokens(account) == 0);
    BOOST_TEST(table.granted(account) == 10'000);
}

BOOST_AUTO_TEST_CASE(pending_return_cannot_be_spent) {
    draw(here, 30'000);
    here.set_draining(true);
    BOOST_TEST(!here.compose_records(start).empty());
    BOOST_TEST(here.free_tokens(account) == 0);
    BOOST_TEST(!here.all_returned());
    // Another writer's record took the log position, so the return can no longer be appended.
    here.on_append_resolved();
    BOOST_TEST(here.free_tokens(account) > 0);
}

BOOST_AUTO_TEST_CASE(return_composed_again_is_unchanged) {
    draw(here, 30'000);
    here.set_draining(true);
    const auto first = here.compose_records(start);
    const auto second = here.compose_records(start);
    BOOST_REQUIRE(!second.empty());
    BOOST_TEST((first == second));
}

BOOST_AUTO_TEST_CASE(surplus_is_returned_at_once_when_another_host_waits) {
    draw(here, 100'000);
    there.set_waiting(account, 20'000, 20'000);
    append(there, start);
    append(here, start + seconds(1));
    BOOST_TEST(table.granted(account) < 100'000);
    append(there, start + seconds(1));
    BOOST_TEST(there.free_tokens(account) >= 20'000);
}

BOOST_AUTO_TEST_CASE(surplus_is_kept_until_the_return_delay) {
    draw(here, 50'000);
    append(here, start);
    BOOST_TEST(here.free_tokens(account) >= 50'000);
    append(here, start + policy.surplus_return_delay + seconds(1));
    BOOST_TEST(here.free_tokens(account) < 50'000);
}

BOOST_AUTO_TEST_CASE(decaying_demand_causes_few_returns) {
    draw(here, 50'000);
    here.reserve(start, account, 45'000);
    here.spend(start, account, 45'000);
    std::size_t returns = 0;
    for (int step = 0; step < 400; ++step) {
        const instant now = start + seconds(6) + step * milliseconds(50);
        const auto records = here.compose_records(now);
        for (const grant_record& record : records) {
            table.apply(record);
        }
        here.on_append_resolved();
        returns += records.empty() ? 0 : 1;
    }
    BOOST_TEST(returns <= 8U);
}

BOOST_AUTO_TEST_CASE(demand_after_a_start_is_averaged_over_the_observed_time) {
    // 10,000 tokens per second for one second. An uncorrected average over 3 s gives 2,800.
    draw(here, 20'000);
    for (int step = 0; step <= 10; ++step) {
        here.reserve(start + step * milliseconds(100), account, 1000);
        here.spend(start + step * milliseconds(100), account, 1000);
    }
    here.withdraw_free(account);
    append(here, start + seconds(1));
    // The demand of half a second, which is below 3% of the remaining budget.
    BOOST_TEST(here.free_tokens(account) > 2300);
    BOOST_TEST(here.free_tokens(account) < 2700);
}

BOOST_AUTO_TEST_CASE(spending_lowers_the_maximum_remaining) {
    draw(here, 30'000);
    here.reserve(start, account, 10'000);
    here.spend(start, account, 4000);
    here.release(account, 6000);
    BOOST_TEST(here.max_remaining(account) == 96'000);
    BOOST_TEST(here.reserved(account) == 0);
}

BOOST_AUTO_TEST_CASE(transferred_tokens_belong_to_the_receiver) {
    draw(here, 30'000);
    BOOST_REQUIRE((here.reserve(start, account, 20'000) == reserve_outcome::reserved));
    here.transfer_out(start, account, 20'000);
    there.transfer_in(account, 20'000);
    BOOST_TEST(here.free_tokens(account) == 10'000 + policy.initial_draw);
    BOOST_TEST(here.reserved(account) == 0);
    BOOST_TEST((there.reserve(start, account, 20'000) == reserve_outcome::reserved));
    BOOST_TEST(here.max_remaining(account) == 80'000);
}

BOOST_AUTO_TEST_CASE(tokens_transferred_back_are_free_again) {
    draw(here, 30'000);
    here.reserve(start, account, 20'000);
    here.transfer_out(start, account, 20'000);
    there.transfer_in(account, 20'000);
    there.reserve(start, account, 20'000);
    there.spend(start, account, 5000);
    there.release(account, 15'000);
    BOOST_TEST(there.withdraw_free(account) == 15'000);
    here.transfer_in(account, 15'000);
    BOOST_TEST(here.free_tokens(account) == 25'000 + policy.initial_draw);
    BOOST_TEST(there.free_tokens(account) == 0);
    BOOST_TEST(here.max_remaining(account) == 95'000);
}

BOOST_AUTO_TEST_CASE(received_tokens_are_not_returned_to_the_ledger) {
    there.transfer_in(account, 20'000);
    there.set_draining(true);
    BOOST_TEST(there.compose_records(start).empty());
    BOOST_TEST(there.all_returned());
    BOOST_TEST(there.withdraw_free(account) == 20'000);
}

BOOST_AUTO_TEST_CASE(transfers_never_exceed_the_limit) {
    draw(here, 100'000);
    here.reserve(start, account, 60'000);
    here.transfer_out(start, account, 60'000);
    there.transfer_in(account, 60'000);
    there.reserve(start, account, 60'000);
    there.spend(start, account, 60'000);
    append(there, start + seconds(10));
    append(here, start + seconds(10));
    append(here, start + seconds(20));
    BOOST_TEST(here.free_tokens(account) + here.ungranted(account) <= 40'000);
    there.set_waiting(account, 50'000, 50'000);
    append(there, start + seconds(21));
    append(here, start + seconds(21));
    append(there, start + seconds(22));
    BOOST_TEST(there.free_tokens(account) + here.free_tokens(account) + here.ungranted(account) <=
               40'000);
}

BOOST_AUTO_TEST_CASE(spending_is_reported_while_another_host_waits) {
    draw(there, 60'000);
    const tokens drawn_there = there.free_tokens(account);
    there.reserve(start, account, drawn_there);
    there.spend(start, account, drawn_there);
    draw(here, 39'000);
    const tokens drawn_here = here.free_tokens(account);
    here.reserve(start, account, drawn_here);
    here.spend(start, account, drawn_here);
    // In the ledger the other host has not spent anything of its grant yet.
    here.set_waiting(account, 5000, 5000);
    BOOST_TEST((here.reserve(start, account, 5000) == reserve_outcome::short_of_tokens));
    append(here, start);
    append(there, start);
    BOOST_TEST((here.reserve(start, account, 5000) == reserve_outcome::exhausted));
}

BOOST_AUTO_TEST_CASE(successor_reports_its_predecessors_grant_as_spent_while_another_host_waits) {
    draw(there, 60'000);
    draw(here, 39'000);
    const tokens drawn_here = here.free_tokens(account);
    here.reserve(start, account, drawn_here);
    here.spend(start, account, drawn_here);
    here.set_waiting(account, 5000, 5000);
    append(here, start);
    // The other host's process is lost with its tokens, and a new one starts there.
    grant_holder successor("there", incarnation_id{3}, policy, table);
    successor.set_limit(account, 100'000);
    successor.set_draw_ahead_filter([](const std::string&) { return false; });
    append(successor, start);
    BOOST_TEST((here.reserve(start, account, 5000) == reserve_outcome::exhausted));
}

BOOST_AUTO_TEST_CASE(changing_unserved_demand_causes_few_appends) {
    draw(here, 100'000);
    here.reserve(start, account, here.free_tokens(account));
    std::size_t appends = 0;
    for (int step = 0; step < 100; ++step) {
        here.set_waiting(account, 20'000 + step * 100, 20'000);
        const auto records = here.compose_records(start + step * milliseconds(10));
        for (const grant_record& record : records) {
            table.apply(record);
        }
        here.on_append_resolved();
        appends += records.empty() ? 0 : 1;
    }
    BOOST_TEST(appends <= 3U);
}

BOOST_AUTO_TEST_CASE(account_excluded_from_draws_ahead_is_drawn_for_waiting_requests) {
    here.set_draw_ahead_filter([](const std::string&) { return false; });
    BOOST_TEST(here.compose_records(start).empty());
    here.set_waiting(account, 7000, 7000);
    append(here, start);
    BOOST_TEST(here.free_tokens(account) == 7000);
}

BOOST_AUTO_TEST_CASE(removed_key_frees_its_grant) {
    draw(here, 30'000);
    table.remove({account, "here"});
    BOOST_TEST(table.granted(account) == 0);
    BOOST_TEST(table.hosts(account) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
