#include "wrenswitch/decision/ledger/ledger_state.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr incarnation_id first_holder{1};
constexpr incarnation_id second_holder{2};
constexpr incarnation_id operator_writer{99};

/// A ledger with one budget of 1,000 tokens.
struct ledger_fixture {
    ledger_state ledger;
    budget_id budget = budget_id_of("schools");
    std::unordered_map<incarnation_id, std::uint64_t> sequences;

    ledger_fixture() {
        apply(operator_writer, set_budget_operation{operation_id{7}, "schools", 1000});
    }

    operation_outcome apply(incarnation_id writer, const ledger_operation& operation) {
        return ledger.apply({writer, ++sequences[writer], {operation}}).front();
    }

    const budget_state& state() const { return *ledger.find(budget); }

    charge charge_of(incarnation_id holder, std::uint64_t key, std::uint64_t ticket,
                     tokens amount) const {
        return {budget, holder, digest{0, key}, ticket_id{ticket}, amount, false};
    }

    operation_outcome settle(incarnation_id holder, std::uint64_t key, std::uint64_t ticket,
                             tokens amount) {
        return apply(holder, settle_operation{charge_of(holder, key, ticket, amount)});
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ledger_state_test, ledger_fixture)

BOOST_AUTO_TEST_CASE(set_budget_without_a_positive_limit_is_refused) {
    for (const tokens limit : {tokens{0}, tokens{-5}, max_budget_limit + 1}) {
        const auto outcome =
            apply(operator_writer, set_budget_operation{operation_id{8}, "other", limit});
        BOOST_TEST((outcome == operation_outcome::refused_bad_amount));
    }
    BOOST_TEST((ledger.find(budget_id_of("other")) == nullptr));
}

BOOST_AUTO_TEST_CASE(set_budget_below_the_committed_tokens_is_refused) {
    apply(first_holder, draw_operation{budget, 600, 0});
    const auto outcome =
        apply(operator_writer, set_budget_operation{operation_id{8}, "schools", 599});
    BOOST_TEST((outcome == operation_outcome::refused_below_commitments));
    BOOST_TEST(state().limit == 1000);
    BOOST_TEST((apply(operator_writer, set_budget_operation{operation_id{9}, "schools", 600}) ==
                operation_outcome::accepted));
}

BOOST_AUTO_TEST_CASE(set_budget_repeated_after_a_later_one_keeps_the_later_limit) {
    apply(operator_writer, set_budget_operation{operation_id{8}, "schools", 2000});
    const auto outcome =
        apply(operator_writer, set_budget_operation{operation_id{7}, "schools", 1000});
    BOOST_TEST((outcome == operation_outcome::accepted));
    BOOST_TEST(state().limit == 2000);
}

BOOST_AUTO_TEST_CASE(draw_beyond_the_available_tokens_is_granted_partly) {
    apply(first_holder, draw_operation{budget, 700, 0});
    const auto outcome = apply(second_holder, draw_operation{budget, 700, 500});
    BOOST_TEST((outcome == operation_outcome::partly_granted));
    BOOST_TEST(state().outstanding_of(second_holder) == 300);
    BOOST_TEST(state().available() == 0);
    BOOST_TEST(state().total_waiting_need() == 200);
}

BOOST_AUTO_TEST_CASE(draw_of_an_unknown_budget_is_refused) {
    const auto outcome = apply(first_holder, draw_operation{budget_id{5}, 10, 0});
    BOOST_TEST((outcome == operation_outcome::refused_unknown_budget));
}

BOOST_AUTO_TEST_CASE(return_by_one_holder_grants_the_waiting_need_of_another) {
    apply(first_holder, draw_operation{budget, 1000, 0});
    apply(second_holder, draw_operation{budget, 100, 100});
    BOOST_TEST(state().outstanding_of(second_holder) == 0);
    apply(first_holder, return_operation{budget, 400});
    BOOST_TEST(state().outstanding_of(second_holder) == 100);
    BOOST_TEST(state().available() == 300);
    BOOST_TEST(state().waiting.empty());
}

BOOST_AUTO_TEST_CASE(return_of_more_than_is_held_is_refused) {
    apply(first_holder, draw_operation{budget, 10, 0});
    const auto outcome = apply(first_holder, return_operation{budget, 11});
    BOOST_TEST((outcome == operation_outcome::refused_exceeds_holding));
}

BOOST_AUTO_TEST_CASE(batch_repeated_is_applied_once) {
    const ledger_batch batch{first_holder, 1, {draw_operation{budget, 100, 0}}};
    BOOST_TEST(ledger.apply(batch).size() == 1U);
    BOOST_TEST(ledger.apply(batch).empty());
    BOOST_TEST(state().outstanding_of(first_holder) == 100);
}

BOOST_AUTO_TEST_CASE(settle_of_one_ticket_twice_bills_once) {
    apply(first_holder, draw_operation{budget, 100, 0});
    BOOST_TEST((settle(first_holder, 1, 1, 30) == operation_outcome::accepted));
    BOOST_TEST((settle(first_holder, 1, 1, 30) == operation_outcome::already_settled));
    BOOST_TEST(state().billed == 30);
    BOOST_TEST(state().outstanding_of(first_holder) == 70);
}

BOOST_AUTO_TEST_CASE(settle_of_one_key_with_two_tickets_bills_once_and_counts_the_rest_as_burnt) {
    apply(first_holder, draw_operation{budget, 100, 0});
    apply(second_holder, draw_operation{budget, 100, 0});
    settle(first_holder, 1, 1, 30);
    BOOST_TEST((settle(second_holder, 1, 2, 40) == operation_outcome::billed_once_already));
    BOOST_TEST(state().billed == 30);
    BOOST_TEST(state().burnt == 40);
    BOOST_TEST(state().available() == 800);
}

BOOST_AUTO_TEST_CASE(settle_without_a_grant_counts_as_unbacked) {
    BOOST_TEST((settle(first_holder, 1, 1, 30) == operation_outcome::unbacked));
    BOOST_TEST(state().unbacked == 30);
    BOOST_TEST(state().available() == 970);
}

BOOST_AUTO_TEST_CASE(reclaim_releases_the_grant_except_the_bounds_of_running_requests) {
    apply(first_holder, draw_operation{budget, 500, 0});
    charge running = charge_of(first_holder, 2, 2, 200);
    running.running = true;
    apply(second_holder,
          reclaim_operation{first_holder, {charge_of(first_holder, 1, 1, 50), running}});
    BOOST_TEST(state().billed == 50);
    BOOST_TEST(state().available() == 750);
    BOOST_TEST((settle(first_holder, 2, 2, 120) == operation_outcome::accepted));
    BOOST_TEST(state().available() == 830);
    BOOST_TEST(state().unbacked == 0);
}

BOOST_AUTO_TEST_CASE(reclaim_with_a_settled_charge_does_not_bill_it_again) {
    apply(first_holder, draw_operation{budget, 500, 0});
    settle(first_holder, 1, 1, 50);
    apply(second_holder, reclaim_operation{first_holder, {charge_of(first_holder, 1, 1, 50)}});
    BOOST_TEST(state().billed == 50);
    BOOST_TEST(state().available() == 950);
}

BOOST_AUTO_TEST_CASE(reclaim_repeated_changes_nothing) {
    apply(first_holder, draw_operation{budget, 500, 0});
    apply(second_holder, reclaim_operation{first_holder, {}});
    const auto outcome = apply(operator_writer, reclaim_operation{first_holder, {}});
    BOOST_TEST((outcome == operation_outcome::refused_closed_holder));
    BOOST_TEST(state().available() == 1000);
}

BOOST_AUTO_TEST_CASE(draw_by_a_reclaimed_holder_is_refused) {
    apply(first_holder, draw_operation{budget, 500, 0});
    apply(second_holder, reclaim_operation{first_holder, {}});
    const auto outcome = apply(first_holder, draw_operation{budget, 100, 100});
    BOOST_TEST((outcome == operation_outcome::refused_closed_holder));
    BOOST_TEST(state().waiting.empty());
}

BOOST_AUTO_TEST_CASE(key_lock_is_held_by_one_until_it_is_released_or_reclaimed) {
    BOOST_TEST((apply(first_holder, lock_keys_operation{}) == operation_outcome::accepted));
    BOOST_TEST(
        (apply(second_holder, lock_keys_operation{}) == operation_outcome::refused_keys_held));
    apply(second_holder, reclaim_operation{first_holder, {}});
    BOOST_TEST(
        (apply(first_holder, lock_keys_operation{}) == operation_outcome::refused_closed_holder));
    BOOST_TEST((apply(second_holder, lock_keys_operation{}) == operation_outcome::accepted));
    apply(second_holder, unlock_keys_operation{});
    BOOST_TEST((ledger.key_holder() == incarnation_id{}));
}

BOOST_AUTO_TEST_CASE(claim_of_a_key_is_accepted_once_and_from_the_key_lock_holder_only) {
    apply(first_holder, lock_keys_operation{});
    BOOST_TEST((apply(first_holder, claim_key_operation{digest{0, 1}, ticket_id{1}}) ==
                operation_outcome::accepted));
    BOOST_TEST((apply(first_holder, claim_key_operation{digest{0, 1}, ticket_id{2}}) ==
                operation_outcome::refused_key_claimed));
    BOOST_TEST((apply(second_holder, claim_key_operation{digest{0, 2}, ticket_id{3}}) ==
                operation_outcome::refused_keys_held));
}

BOOST_AUTO_TEST_CASE(request_history_when_full_evicts_the_older_generation_only) {
    request_history history(4);
    for (std::uint64_t number = 0; number < 6; ++number) {
        history.set_key_state(digest{0, number}, {ticket_id{1}, true});
    }
    BOOST_TEST(history.key_state(digest{0, 0}).billed);
    for (std::uint64_t number = 6; number < 12; ++number) {
        history.set_key_state(digest{0, number}, {ticket_id{1}, true});
    }
    BOOST_TEST(!history.key_state(digest{0, 0}).billed);
    BOOST_TEST(history.key_state(digest{0, 11}).billed);
}

BOOST_AUTO_TEST_SUITE_END()
