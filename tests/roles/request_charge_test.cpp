#include "roles/gateway/request_charge.hpp"

#include <boost/test/unit_test.hpp>

#include "roles/gateway/token_waiters.hpp"

namespace {

using namespace wrenswitch;

constexpr const char* account = "a";
constexpr instant now{seconds(10)};

/// A holder with 10,000 tokens in hand of a budget of 20,000.
struct charge_fixture {
    grant_table table;
    grant_holder holder{"h", incarnation_id{1}, {}, table};
    token_waiters waiters{holder};

    charge_fixture() {
        holder.set_limit(account, 20'000);
        grant_to(10'000);
    }

    void grant_to(tokens amount) {
        table.apply({{account, "h"}, {incarnation_id{1}, 0, amount, 0, 0}});
    }

    request_charge charge(tokens prompt, tokens most) {
        BOOST_REQUIRE((holder.reserve(now, account, prompt + most) == reserve_outcome::reserved));
        return {holder, account, prompt, most};
    }

    /// What the holder counts as spent.
    tokens spent() const { return 20'000 - holder.max_remaining(account); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(request_charge_test, charge_fixture)

BOOST_AUTO_TEST_CASE(whole_run_costs_its_prompt_and_its_tokens) {
    request_charge paid = charge(1000, 500);
    paid.prompt_read(now);
    paid.prompt_read(now);
    paid.handed_out(now, 120);
    paid.close();
    BOOST_TEST(spent() == 1120);
    BOOST_TEST(holder.reserved(account) == 0);
    BOOST_TEST(holder.free_tokens(account) == 8880);
}

BOOST_AUTO_TEST_CASE(run_that_never_began_costs_nothing) {
    { const request_charge paid = charge(1000, 500); }
    BOOST_TEST(spent() == 0);
    BOOST_TEST(holder.free_tokens(account) == 10'000);
}

BOOST_AUTO_TEST_CASE(unseen_end_costs_the_prompt_and_what_was_possible) {
    request_charge paid = charge(1000, 500);
    paid.assume(now, 60);
    paid.close();
    BOOST_TEST(spent() == 1060);
}

BOOST_AUTO_TEST_CASE(run_never_costs_more_than_was_set_aside) {
    request_charge paid = charge(1000, 500);
    paid.prompt_read(now);
    paid.handed_out(now, 400);
    paid.assume(now, 10'000);
    BOOST_TEST(paid.spent() == 1500);
    paid.close();
    BOOST_TEST(spent() == 1500);
}

BOOST_AUTO_TEST_CASE(waiter_is_served_when_tokens_come) {
    int told = 0;
    const auto first = waiters.reserve(now, account, 15'000, [&](reserve_outcome outcome) {
        told += outcome == reserve_outcome::reserved ? 1 : 100;
    });
    BOOST_REQUIRE(first.waiting);
    waiters.serve(now);
    BOOST_TEST(told == 0);
    grant_to(20'000);
    waiters.serve(now);
    BOOST_TEST(told == 1);
}

BOOST_AUTO_TEST_CASE(small_request_does_not_pass_a_large_one_that_waits) {
    const auto large = waiters.reserve(now, account, 15'000, [](reserve_outcome) {});
    const auto small = waiters.reserve(now, account, 10, [](reserve_outcome) {});
    BOOST_TEST(large.waiting != nullptr);
    BOOST_TEST(small.waiting != nullptr);
}

BOOST_AUTO_TEST_CASE(wait_that_was_given_up_lets_the_next_pass) {
    auto large = waiters.reserve(now, account, 15'000, [](reserve_outcome) {});
    int told = 0;
    const auto small = waiters.reserve(now, account, 10, [&](reserve_outcome) { told += 1; });
    large.waiting.reset();
    waiters.serve(now);
    BOOST_TEST(told == 1);
    BOOST_TEST(waiters.size() == 0U);
}

BOOST_AUTO_TEST_CASE(waiter_beyond_the_limit_is_told_that_it_is_exhausted) {
    auto first = waiters.reserve(now, account, 15'000, [](reserve_outcome) {});
    reserve_outcome answer = reserve_outcome::reserved;
    const auto second =
        waiters.reserve(now, account, 30'000, [&](reserve_outcome outcome) { answer = outcome; });
    first.waiting.reset();
    waiters.serve(now);
    BOOST_TEST((answer == reserve_outcome::exhausted));
}

BOOST_AUTO_TEST_SUITE_END()
