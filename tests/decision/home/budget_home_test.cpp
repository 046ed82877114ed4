#include "wrenswitch/decision/home/budget_home.hpp"

#include <boost/test/unit_test.hpp>
#include <map>

namespace {

using namespace wrenswitch;

constexpr incarnation_id own{1};
constexpr incarnation_id other{2};
constexpr incarnation_id guard_one{11};
constexpr incarnation_id guard_two{12};

/// One home over a ledger with a budget, and a hand on the log between them.
struct home_fixture {
    ledger_state ledger;
    random_source random{1};
    std::map<std::uint64_t, reservation_answer> answers;
    budget_home home;
    instant now{};
    std::uint64_t sequence = 0;
    std::uint64_t other_sequence = 0;
    std::uint64_t next_request = 1;
    budget_id budget = budget_id_of("schools");

    home_fixture()
        : home(settings(), ledger, random,
               [this](std::uint64_t request, const reservation_answer& answer) {
                   answers[request] = answer;
               }) {
        apply_other(set_budget_operation{operation_id{1}, "schools", 10'000});
    }

    static home_settings settings() {
        home_settings made;
        made.incarnation = own;
        made.endpoint = "tcp://home";
        made.policy = demand_share_policy({});
        made.assumed_bound = 100;
        return made;
    }

    void apply_other(const ledger_operation& operation) {
        ledger.apply({other, ++other_sequence, {operation}});
        home.ledger_changed(now);
    }

    /// Lets the log take the home's next batch.
    std::vector<ticket_id> flush() {
        const std::vector<ledger_operation> batch = home.take_batch();
        if (batch.empty()) {
            return {};
        }
        ledger.apply({own, ++sequence, batch});
        const auto settled = home.batch_applied(now, batch);
        home.ledger_changed(now);
        return settled;
    }

    reservation_ask ask(std::uint64_t key, tokens bound) {
        reservation_ask made;
        made.request = next_request++;
        made.budget = "schools";
        made.key = digest{0, key};
        made.body = digest{0, 77};
        made.bound = bound;
        made.keyed = true;
        made.wait = milliseconds(500);
        return made;
    }

    /// Asks and lets the log work until there is an answer.
    reservation_answer reserve(const reservation_ask& asked) {
        if (const auto answer = home.reserve(now, asked)) {
            return *answer;
        }
        flush();
        BOOST_REQUIRE(answers.count(asked.request) == 1);
        return answers.at(asked.request);
    }

    charge ended(const ticket& used, tokens cost) const {
        return {used.budget, used.holder, used.key, used.id, cost, false};
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(budget_home_test, home_fixture)

BOOST_AUTO_TEST_CASE(reserve_of_an_unknown_budget_is_refused) {
    reservation_ask asked = ask(1, 10);
    asked.budget = "nobody";
    BOOST_TEST((home.reserve(now, asked)->outcome == reservation_outcome::no_budget));
}

BOOST_AUTO_TEST_CASE(reserve_without_tokens_waits_for_a_draw) {
    const reservation_answer answer = reserve(ask(1, 100));
    BOOST_TEST((answer.outcome == reservation_outcome::granted));
    BOOST_TEST(ledger.find(budget)->outstanding_of(own) >= 100);
    BOOST_TEST(home.free_of(budget) == ledger.find(budget)->outstanding_of(own) - 100);
}

BOOST_AUTO_TEST_CASE(reserve_after_a_draw_ahead_of_need_is_answered_at_once) {
    home.tick(now);
    flush();
    BOOST_TEST((home.reserve(now, ask(1, 100))->outcome == reservation_outcome::granted));
}

BOOST_AUTO_TEST_CASE(reserve_beyond_the_whole_budget_is_refused_for_good) {
    const auto answer = home.reserve(now, ask(1, 10'001));
    BOOST_TEST((answer->outcome == reservation_outcome::budget_exhausted));
    BOOST_TEST((answer->retry_after == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(reserve_that_waits_in_vain_is_refused_when_its_time_is_up) {
    apply_other(draw_operation{budget, 9'950, 0});
    const reservation_ask asked = ask(1, 100);
    BOOST_TEST(!home.reserve(now, asked).has_value());
    flush();
    BOOST_TEST(answers.empty());
    now += seconds(1);
    home.tick(now);
    BOOST_TEST((answers.at(asked.request).outcome == reservation_outcome::budget_exhausted));
    BOOST_TEST((answers.at(asked.request).retry_after > microseconds(0)));
}

BOOST_AUTO_TEST_CASE(reserve_that_waits_is_granted_when_another_home_returns_tokens) {
    apply_other(draw_operation{budget, 9'950, 0});
    const reservation_ask asked = ask(1, 100);
    home.reserve(now, asked);
    flush();
    apply_other(return_operation{budget, 500});
    BOOST_TEST((answers.at(asked.request).outcome == reservation_outcome::granted));
}

BOOST_AUTO_TEST_CASE(reserve_without_the_log_says_that_the_budget_is_unreachable) {
    apply_other(draw_operation{budget, 9'950, 0});
    home.set_log_reachable(false);
    const reservation_ask asked = ask(1, 100);
    home.reserve(now, asked);
    now += seconds(1);
    home.tick(now);
    BOOST_TEST((answers.at(asked.request).outcome == reservation_outcome::budget_unreachable));
}

BOOST_AUTO_TEST_CASE(charge_below_the_bound_frees_the_rest_at_once) {
    const ticket used = reserve(ask(1, 100)).granted;
    const tokens before = home.free_of(budget);
    home.charge_ended(now, ended(used, 30));
    BOOST_TEST(home.free_of(budget) == before + 70);
    flush();
    BOOST_TEST(home.free_of(budget) == before + 70);
    BOOST_TEST(ledger.find(budget)->billed == 30);
}

BOOST_AUTO_TEST_CASE(charge_reported_again_and_again_frees_and_bills_once) {
    const ticket used = reserve(ask(1, 100)).granted;
    home.charge_ended(now, ended(used, 30));
    home.charge_ended(now, ended(used, 30));
    flush();
    const tokens after = home.free_of(budget);
    home.charge_ended(now, ended(used, 30));
    flush();
    flush();
    BOOST_TEST(home.free_of(budget) == after);
    BOOST_TEST(ledger.find(budget)->billed == 30);
}

BOOST_AUTO_TEST_CASE(charge_is_acknowledged_only_once_it_is_in_the_ledger) {
    const ticket used = reserve(ask(1, 100)).granted;
    flush();
    home.charge_ended(now, ended(used, 30));
    const std::vector<ticket_id> settled = flush();
    BOOST_TEST((settled == std::vector<ticket_id>{used.id}));
}

BOOST_AUTO_TEST_CASE(key_with_another_body_is_refused) {
    reserve(ask(1, 100));
    reservation_ask again = ask(1, 100);
    again.body = digest{0, 78};
    BOOST_TEST((home.reserve(now, again)->outcome == reservation_outcome::key_reused));
}

BOOST_AUTO_TEST_CASE(key_that_is_on_its_way_is_in_progress_and_then_joined) {
    const ticket used = reserve(ask(1, 100)).granted;
    BOOST_TEST((home.reserve(now, ask(1, 100))->outcome == reservation_outcome::in_progress));
    BOOST_TEST(home.started(used.id, guard_one, "tcp://guard").has_value());
    const auto joined = home.reserve(now, ask(1, 100));
    BOOST_TEST((joined->outcome == reservation_outcome::join));
    BOOST_TEST(joined->guard_endpoint == "tcp://guard");
    home.charge_ended(now, ended(used, 10));
    BOOST_TEST((home.reserve(now, ask(1, 100))->outcome == reservation_outcome::join));
}

BOOST_AUTO_TEST_CASE(ticket_started_at_two_guards_is_an_error) {
    const ticket used = reserve(ask(1, 100)).granted;
    BOOST_TEST(home.started(used.id, guard_one, "tcp://one").has_value());
    BOOST_TEST(!home.started(used.id, guard_two, "tcp://two").has_value());
    BOOST_TEST(!home.release(used.id).has_value());
}

BOOST_AUTO_TEST_CASE(ticket_given_back_frees_its_tokens_and_its_key) {
    const ticket used = reserve(ask(1, 100)).granted;
    const tokens before = home.free_of(budget);
    BOOST_TEST(home.release(used.id).has_value());
    BOOST_TEST(home.free_of(budget) == before + 100);
    BOOST_TEST((reserve(ask(1, 100)).outcome == reservation_outcome::granted));
}

BOOST_AUTO_TEST_CASE(ticket_without_news_is_free_only_after_every_guard_voided_it) {
    const ticket used = reserve(ask(1, 100)).granted;
    const tokens before = home.free_of(budget);
    now += seconds(60);
    const std::vector<incarnation_id> guards{guard_one, guard_two};
    const std::vector<ticket_id> unclear = home.take_unclear(now, guards);
    BOOST_TEST((unclear == std::vector<ticket_id>{used.id}));
    home.voided(used.id, guard_one);
    BOOST_TEST(home.free_of(budget) == before);
    home.voided(used.id, guard_two);
    BOOST_TEST(home.free_of(budget) == before + 100);
}

BOOST_AUTO_TEST_CASE(guard_that_is_fenced_costs_the_bound_of_what_it_had) {
    const ticket used = reserve(ask(1, 100)).granted;
    BOOST_TEST(home.started(used.id, guard_one, "tcp://guard").has_value());
    home.guard_fenced(guard_one);
    BOOST_TEST(!home.cleared_of(guard_one));
    flush();
    BOOST_TEST(home.cleared_of(guard_one));
    BOOST_TEST(ledger.find(budget)->billed == 100);
}

BOOST_AUTO_TEST_CASE(guard_that_is_fenced_is_not_cleared_while_a_ticket_may_be_there) {
    const ticket used = reserve(ask(1, 100)).granted;
    home.guard_fenced(guard_one);
    flush();
    BOOST_TEST(!home.cleared_of(guard_one));
    now += seconds(60);
    const std::vector<incarnation_id> guards{guard_two};
    home.take_unclear(now, guards);
    home.voided(used.id, guard_two);
    flush();
    BOOST_TEST(home.cleared_of(guard_one));
    BOOST_TEST(ledger.find(budget)->billed == 100);
}

BOOST_AUTO_TEST_CASE(request_that_may_not_be_repeated_waits_for_the_key_grant) {
    reservation_ask asked = ask(1, 100);
    asked.repeatable = false;
    BOOST_TEST(!home.reserve(now, asked).has_value());
    flush();
    BOOST_TEST((ledger.key_holder() == own));
    flush();
    BOOST_TEST((answers.at(asked.request).outcome == reservation_outcome::granted));
    flush();
    BOOST_TEST((ledger.keys().facts_of(asked.key).claimed_by != ticket_id{}));
}

BOOST_AUTO_TEST_CASE(request_that_may_not_be_repeated_runs_without_the_log_under_the_key_grant) {
    home.tick(now);
    flush();
    home.set_log_reachable(false);
    reservation_ask asked = ask(1, 100);
    asked.repeatable = false;
    const auto answer = home.reserve(now, asked);
    BOOST_TEST((answer->outcome == reservation_outcome::granted));
    // A repeat is known though nothing could be written.
    home.charge_ended(now, ended(answer->granted, 5));
    asked.request = next_request++;
    BOOST_TEST((home.reserve(now, asked)->outcome == reservation_outcome::unknown_outcome));
}

BOOST_AUTO_TEST_CASE(request_that_may_not_be_repeated_is_sent_to_another_holder_of_the_key_grant) {
    apply_other(hold_keys_operation{});
    reservation_ask asked = ask(1, 100);
    asked.repeatable = false;
    const auto answer = home.reserve(now, asked);
    BOOST_TEST((answer->outcome == reservation_outcome::keys_elsewhere));
    BOOST_TEST((answer->key_holder == other));
}

BOOST_AUTO_TEST_CASE(key_that_a_dead_holder_ran_is_unknown_to_the_next_one) {
    apply_other(hold_keys_operation{});
    apply_other(draw_operation{budget, 500, 0});
    charge settled{budget, other, digest{0, 1}, ticket_id{71}, 10, false};
    charge running{budget, other, digest{0, 2}, ticket_id{72}, 10, true};
    // Nothing of it was written by the holder; the guards' marks listed it.
    ledger.apply({own, ++sequence, {reclaim_operation{other, {settled, running}}}});
    home.tick(now);
    flush();
    BOOST_TEST((ledger.key_holder() == own));
    for (const std::uint64_t key : {1U, 2U}) {
        reservation_ask asked = ask(key, 100);
        asked.repeatable = false;
        BOOST_TEST((home.reserve(now, asked)->outcome == reservation_outcome::unknown_outcome));
    }
    reservation_ask unseen = ask(3, 100);
    unseen.repeatable = false;
    BOOST_TEST((home.reserve(now, unseen)->outcome == reservation_outcome::granted));
}

BOOST_AUTO_TEST_CASE(request_that_may_not_be_repeated_and_certainly_did_not_run_can_come_again) {
    home.tick(now);
    flush();
    reservation_ask asked = ask(1, 100);
    asked.repeatable = false;
    const ticket used = reserve(asked).granted;
    flush();
    BOOST_TEST(home.release(used.id).has_value());
    asked.request = next_request++;
    BOOST_TEST((reserve(asked).outcome == reservation_outcome::granted));
}

BOOST_AUTO_TEST_CASE(request_that_may_not_be_repeated_and_lost_its_guard_is_unknown) {
    home.tick(now);
    flush();
    reservation_ask asked = ask(1, 100);
    asked.repeatable = false;
    const ticket used = reserve(asked).granted;
    BOOST_TEST(home.started(used.id, guard_one, "tcp://guard").has_value());
    home.guard_fenced(guard_one);
    asked.request = next_request++;
    BOOST_TEST((home.reserve(now, asked)->outcome == reservation_outcome::unknown_outcome));
}

BOOST_AUTO_TEST_CASE(drain_gives_the_key_grant_back_once_all_claims_are_written) {
    home.tick(now);
    flush();
    reservation_ask asked = ask(1, 100);
    asked.repeatable = false;
    const ticket used = reserve(asked).granted;
    home.set_draining(true);
    home.tick(now);
    flush();
    BOOST_TEST((ledger.key_holder() == own));
    home.charge_ended(now, ended(used, 10));
    for (int round = 0; round < 3; ++round) {
        home.tick(now);
        flush();
    }
    BOOST_TEST((ledger.key_holder() == incarnation_id{}));
    BOOST_TEST(home.idle());
}

BOOST_AUTO_TEST_CASE(drain_returns_all_that_is_free) {
    home.tick(now);
    flush();
    BOOST_TEST(ledger.find(budget)->outstanding_of(own) > 0);
    home.set_draining(true);
    home.tick(now);
    flush();
    BOOST_TEST(ledger.find(budget)->outstanding_of(own) == 0);
    BOOST_TEST(home.idle());
}

BOOST_AUTO_TEST_SUITE_END()
