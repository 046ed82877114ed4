#include "roles/gateway/request_charge.hpp"

#include <boost/test/unit_test.hpp>

#include "roles/gateway/token_wait_queue.hpp"

namespace {

using namespace wrenswitch;

constexpr const char* account = "a";
constexpr instant now{seconds(10)};

/// A holder that was granted 10,000 tokens of a budget of 20,000.
struct charge_fixture {
    grant_table table;
    grant_holder holder{"h", incarnation_id{1}, {}, table};
    token_wait_queue waiters{holder};

    charge_fixture() {
        holder.set_limit(account, 20'000);
        grant_to(10'000);
    }

    void grant_to(tokens amount) {
        table.apply({{account, "h"}, {incarnation_id{1}, 0, amount, 0, 0}});
    }

    request_charge charge(tokens prompt, tokens max_output) {
        BOOST_REQUIRE(
            (holder.reserve(now, account, prompt + max_output) == reserve_outcome::reserved));
        return {holder, account, prompt, max_output};
    }

    /// The tokens that the holder counts as spent.
    tokens spent() const { return 20'000 - holder.max_remaining(account); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(request_charge_test, charge_fixture)

BOOST_AUTO_TEST_CASE(complete_response_costs_its_prompt_and_its_output) {
    request_charge charged = charge(1000, 500);
    charged.charge_prompt(now);
    charged.charge_prompt(now);
    charged.charge_output(now, 120);
    charged.settle();
    BOOST_TEST(spent() == 1120);
    BOOST_TEST(holder.reserved(account) == 0);
    BOOST_TEST(holder.free_tokens(account) == 8880);
}

BOOST_AUTO_TEST_CASE(request_that_never_started_costs_nothing) {
    { const request_charge charged = charge(1000, 500); }
    BOOST_TEST(spent() == 0);
    BOOST_TEST(holder.free_tokens(account) == 10'000);
}

BOOST_AUTO_TEST_CASE(unobserved_end_costs_the_prompt_and_the_possible_output) {
    request_charge charged = charge(1000, 500);
    charged.charge_unobserved(now, 60);
    charged.settle();
    BOOST_TEST(spent() == 1060);
}

BOOST_AUTO_TEST_CASE(request_never_costs_more_than_was_reserved) {
    request_charge charged = charge(1000, 500);
    charged.charge_prompt(now);
    charged.charge_output(now, 400);
    charged.charge_unobserved(now, 10'000);
    BOOST_TEST(charged.spent() == 1500);
    charged.settle();
    BOOST_TEST(spent() == 1500);
}

BOOST_AUTO_TEST_CASE(waiter_is_served_when_tokens_are_granted) {
    int notified = 0;
    const auto first = waiters.reserve(now, account, 15'000, [&](reserve_outcome outcome) {
        notified += outcome == reserve_outcome::reserved ? 1 : 100;
    });
    BOOST_REQUIRE(first.waiting_handle);
    waiters.serve(now);
    BOOST_TEST(notified == 0);
    grant_to(20'000);
    waiters.serve(now);
    BOOST_TEST(notified == 1);
}

BOOST_AUTO_TEST_CASE(small_request_does_not_overtake_a_large_one_that_waits) {
    const auto large = waiters.reserve(now, account, 15'000, [](reserve_outcome) {});
    const auto small = waiters.reserve(now, account, 10, [](reserve_outcome) {});
    BOOST_TEST(large.waiting_handle != nullptr);
    BOOST_TEST(small.waiting_handle != nullptr);
}

BOOST_AUTO_TEST_CASE(cancelled_wait_unblocks_the_next) {
    auto large = waiters.reserve(now, account, 15'000, [](reserve_outcome) {});
    int notified = 0;
    const auto small = waiters.reserve(now, account, 10, [&](reserve_outcome) { notified += 1; });
    large.waiting_handle.reset();
    waiters.serve(now);
    BOOST_TEST(notified == 1);
    BOOST_TEST(waiters.size() == 0U);
}

BOOST_AUTO_TEST_CASE(waiter_beyond_the_limit_gets_exhausted) {
    auto first = waiters.reserve(now, account, 15'000, [](reserve_outcome) {});
    reserve_outcome result = reserve_outcome::reserved;
    const auto second =
        waiters.reserve(now, account, 30'000, [&](reserve_outcome outcome) { result = outcome; });
    first.waiting_handle.reset();
    waiters.serve(now);
    BOOST_TEST((result == reserve_outcome::exhausted));
}

BOOST_AUTO_TEST_SUITE_END()
