#include "wrenswitch/decision/home/budget_allocator.hpp"

#include <boost/test/unit_test.hpp>
#include <map>

namespace {

using namespace wrenswitch;

constexpr incarnation_id own_holder{1};
constexpr incarnation_id other_holder{2};
constexpr incarnation_id guard_one{11};
constexpr incarnation_id guard_two{12};

/// An allocator on a ledger with one budget. The test controls when its batches are appended.
struct allocator_fixture {
    ledger_state ledger;
    random_source random{1};
    std::map<std::uint64_t, reservation_reply> replies;
    budget_allocator allocator;
    instant now{};
    std::uint64_t sequence = 0;
    std::uint64_t other_sequence = 0;
    std::uint64_t next_request = 1;
    budget_id budget = budget_id_of("schools");

    allocator_fixture()
        : allocator(settings(), ledger, random,
                    [this](std::uint64_t request, const reservation_reply& reply) {
                        replies[request] = reply;
                    }) {
        append_as_other(set_budget_operation{operation_id{1}, "schools", 10'000});
    }

    static allocator_settings settings() {
        allocator_settings created;
        created.incarnation = own_holder;
        created.endpoint = "tcp://home";
        created.policy = demand_share_policy({});
        created.default_bound = 100;
        return created;
    }

    void append_as_other(const ledger_operation& operation) {
        ledger.apply({other_holder, ++other_sequence, {operation}});
        allocator.ledger_changed(now);
    }

    /// Appends and applies the allocator's next batch.
    std::vector<ticket_id> append_batch() {
        const std::vector<ledger_operation> batch = allocator.take_batch();
        if (batch.empty()) {
            return {};
        }
        ledger.apply({own_holder, ++sequence, batch});
        const auto settled = allocator.batch_applied(now, batch);
        allocator.ledger_changed(now);
        return settled;
    }

    reservation_request make_request(std::uint64_t key, tokens bound) {
        reservation_request created;
        created.request_id = next_request++;
        created.budget = "schools";
        created.key = digest{0, key};
        created.body = digest{0, 77};
        created.bound = bound;
        created.keyed = true;
        created.max_wait = milliseconds(500);
        return created;
    }

    /// Makes a reservation, appending one batch if the request waits.
    reservation_reply reserve(const reservation_request& request) {
        if (const auto reply = allocator.reserve(now, request)) {
            return *reply;
        }
        append_batch();
        BOOST_REQUIRE(replies.count(request.request_id) == 1);
        return replies.at(request.request_id);
    }

    charge charge_for(const ticket& issued, tokens cost) const {
        return {issued.budget, issued.holder, issued.key, issued.id, cost, false};
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(budget_allocator_test, allocator_fixture)

BOOST_AUTO_TEST_CASE(reserve_of_an_unknown_budget_is_refused) {
    reservation_request request = make_request(1, 10);
    request.budget = "nobody";
    BOOST_TEST((allocator.reserve(now, request)->outcome == reservation_outcome::no_budget));
}

BOOST_AUTO_TEST_CASE(reserve_without_tokens_waits_for_a_draw) {
    const reservation_reply reply = reserve(make_request(1, 100));
    BOOST_TEST((reply.outcome == reservation_outcome::granted));
    BOOST_TEST(ledger.find(budget)->outstanding_of(own_holder) >= 100);
    BOOST_TEST(allocator.free_tokens(budget) ==
               ledger.find(budget)->outstanding_of(own_holder) - 100);
}

BOOST_AUTO_TEST_CASE(reserve_after_a_draw_in_advance_is_granted_at_once) {
    allocator.tick(now);
    append_batch();
    BOOST_TEST(
        (allocator.reserve(now, make_request(1, 100))->outcome == reservation_outcome::granted));
}

BOOST_AUTO_TEST_CASE(reserve_beyond_the_whole_budget_is_refused_without_retry) {
    const auto reply = allocator.reserve(now, make_request(1, 10'001));
    BOOST_TEST((reply->outcome == reservation_outcome::budget_exhausted));
    BOOST_TEST((reply->retry_after == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(reserve_that_waits_is_refused_at_its_deadline) {
    append_as_other(draw_operation{budget, 9'950, 0});
    const reservation_request request = make_request(1, 100);
    BOOST_TEST(!allocator.reserve(now, request).has_value());
    append_batch();
    BOOST_TEST(replies.empty());
    now += seconds(1);
    allocator.tick(now);
    BOOST_TEST((replies.at(request.request_id).outcome == reservation_outcome::budget_exhausted));
    BOOST_TEST((replies.at(request.request_id).retry_after > microseconds(0)));
}

BOOST_AUTO_TEST_CASE(reserve_that_waits_is_granted_when_another_holder_returns_tokens) {
    append_as_other(draw_operation{budget, 9'950, 0});
    const reservation_request request = make_request(1, 100);
    allocator.reserve(now, request);
    append_batch();
    append_as_other(return_operation{budget, 500});
    BOOST_TEST((replies.at(request.request_id).outcome == reservation_outcome::granted));
}

BOOST_AUTO_TEST_CASE(reserve_without_the_log_is_refused_as_unreachable) {
    append_as_other(draw_operation{budget, 9'950, 0});
    allocator.set_log_reachable(false);
    const reservation_request request = make_request(1, 100);
    allocator.reserve(now, request);
    now += seconds(1);
    allocator.tick(now);
    BOOST_TEST((replies.at(request.request_id).outcome == reservation_outcome::budget_unreachable));
}

BOOST_AUTO_TEST_CASE(charge_below_the_bound_releases_the_rest_at_once) {
    const ticket issued = reserve(make_request(1, 100)).granted;
    const tokens before = allocator.free_tokens(budget);
    allocator.charge_reported(now, charge_for(issued, 30));
    BOOST_TEST(allocator.free_tokens(budget) == before + 70);
    append_batch();
    BOOST_TEST(allocator.free_tokens(budget) == before + 70);
    BOOST_TEST(ledger.find(budget)->billed == 30);
}

BOOST_AUTO_TEST_CASE(charge_reported_repeatedly_is_released_and_billed_once) {
    const ticket issued = reserve(make_request(1, 100)).granted;
    allocator.charge_reported(now, charge_for(issued, 30));
    allocator.charge_reported(now, charge_for(issued, 30));
    append_batch();
    const tokens after = allocator.free_tokens(budget);
    allocator.charge_reported(now, charge_for(issued, 30));
    append_batch();
    append_batch();
    BOOST_TEST(allocator.free_tokens(budget) == after);
    BOOST_TEST(ledger.find(budget)->billed == 30);
}

BOOST_AUTO_TEST_CASE(charge_is_acknowledged_only_after_it_is_in_the_ledger) {
    const ticket issued = reserve(make_request(1, 100)).granted;
    append_batch();
    allocator.charge_reported(now, charge_for(issued, 30));
    const std::vector<ticket_id> settled = append_batch();
    BOOST_TEST((settled == std::vector<ticket_id>{issued.id}));
}

BOOST_AUTO_TEST_CASE(key_with_another_body_is_refused) {
    reserve(make_request(1, 100));
    reservation_request again = make_request(1, 100);
    again.body = digest{0, 78};
    BOOST_TEST((allocator.reserve(now, again)->outcome == reservation_outcome::key_reused));
}

BOOST_AUTO_TEST_CASE(key_that_is_reserved_is_in_progress_and_after_its_start_joined) {
    const ticket issued = reserve(make_request(1, 100)).granted;
    BOOST_TEST((allocator.reserve(now, make_request(1, 100))->outcome ==
                reservation_outcome::in_progress));
    BOOST_TEST(allocator.ticket_started(issued.id, guard_one, "tcp://guard").has_value());
    const auto joined = allocator.reserve(now, make_request(1, 100));
    BOOST_TEST((joined->outcome == reservation_outcome::join));
    BOOST_TEST(joined->guard_endpoint == "tcp://guard");
    allocator.charge_reported(now, charge_for(issued, 10));
    BOOST_TEST(
        (allocator.reserve(now, make_request(1, 100))->outcome == reservation_outcome::join));
}

BOOST_AUTO_TEST_CASE(ticket_started_at_two_guards_is_an_error) {
    const ticket issued = reserve(make_request(1, 100)).granted;
    BOOST_TEST(allocator.ticket_started(issued.id, guard_one, "tcp://one").has_value());
    BOOST_TEST(!allocator.ticket_started(issued.id, guard_two, "tcp://two").has_value());
    BOOST_TEST(!allocator.release_ticket(issued.id).has_value());
}

BOOST_AUTO_TEST_CASE(ticket_released_frees_its_tokens_and_its_key) {
    const ticket issued = reserve(make_request(1, 100)).granted;
    const tokens before = allocator.free_tokens(budget);
    BOOST_TEST(allocator.release_ticket(issued.id).has_value());
    BOOST_TEST(allocator.free_tokens(budget) == before + 100);
    BOOST_TEST((reserve(make_request(1, 100)).outcome == reservation_outcome::granted));
}

BOOST_AUTO_TEST_CASE(ticket_unconfirmed_is_released_only_after_every_guard_voided_it) {
    const ticket issued = reserve(make_request(1, 100)).granted;
    const tokens before = allocator.free_tokens(budget);
    now += seconds(60);
    const std::vector<incarnation_id> guards{guard_one, guard_two};
    const std::vector<ticket_id> unconfirmed = allocator.take_unconfirmed(now, guards);
    BOOST_TEST((unconfirmed == std::vector<ticket_id>{issued.id}));
    allocator.ticket_voided(issued.id, guard_one);
    BOOST_TEST(allocator.free_tokens(budget) == before);
    allocator.ticket_voided(issued.id, guard_two);
    BOOST_TEST(allocator.free_tokens(budget) == before + 100);
}

BOOST_AUTO_TEST_CASE(guard_that_is_fenced_has_its_tickets_settled_at_their_bounds) {
    const ticket issued = reserve(make_request(1, 100)).granted;
    BOOST_TEST(allocator.ticket_started(issued.id, guard_one, "tcp://guard").has_value());
    allocator.guard_fenced(guard_one);
    BOOST_TEST(!allocator.is_guard_settled(guard_one));
    append_batch();
    BOOST_TEST(allocator.is_guard_settled(guard_one));
    BOOST_TEST(ledger.find(budget)->billed == 100);
}

BOOST_AUTO_TEST_CASE(guard_that_is_fenced_is_not_settled_while_it_may_have_started_a_ticket) {
    const ticket issued = reserve(make_request(1, 100)).granted;
    allocator.guard_fenced(guard_one);
    append_batch();
    BOOST_TEST(!allocator.is_guard_settled(guard_one));
    now += seconds(60);
    const std::vector<incarnation_id> guards{guard_two};
    allocator.take_unconfirmed(now, guards);
    allocator.ticket_voided(issued.id, guard_two);
    append_batch();
    BOOST_TEST(allocator.is_guard_settled(guard_one));
    BOOST_TEST(ledger.find(budget)->billed == 100);
}

BOOST_AUTO_TEST_CASE(request_not_repeatable_waits_for_the_key_lock) {
    reservation_request request = make_request(1, 100);
    request.repeatable = false;
    BOOST_TEST(!allocator.reserve(now, request).has_value());
    append_batch();
    BOOST_TEST((ledger.key_holder() == own_holder));
    append_batch();
    BOOST_TEST((replies.at(request.request_id).outcome == reservation_outcome::granted));
    append_batch();
    BOOST_TEST((ledger.history().key_state(request.key).claimed_by != ticket_id{}));
}

BOOST_AUTO_TEST_CASE(request_not_repeatable_is_granted_without_the_log_under_the_key_lock) {
    allocator.tick(now);
    append_batch();
    allocator.set_log_reachable(false);
    reservation_request request = make_request(1, 100);
    request.repeatable = false;
    const auto reply = allocator.reserve(now, request);
    BOOST_TEST((reply->outcome == reservation_outcome::granted));
    // A repeated request is detected although no claim could be appended.
    allocator.charge_reported(now, charge_for(reply->granted, 5));
    request.request_id = next_request++;
    BOOST_TEST((allocator.reserve(now, request)->outcome == reservation_outcome::unknown_outcome));
}

BOOST_AUTO_TEST_CASE(request_not_repeatable_is_referred_to_another_holder_of_the_key_lock) {
    append_as_other(lock_keys_operation{});
    reservation_request request = make_request(1, 100);
    request.repeatable = false;
    const auto reply = allocator.reserve(now, request);
    BOOST_TEST((reply->outcome == reservation_outcome::keys_elsewhere));
    BOOST_TEST((reply->key_holder == other_holder));
}

BOOST_AUTO_TEST_CASE(key_run_by_a_reclaimed_holder_has_an_unknown_outcome_at_the_next_one) {
    append_as_other(lock_keys_operation{});
    append_as_other(draw_operation{budget, 500, 0});
    charge settled{budget, other_holder, digest{0, 1}, ticket_id{71}, 10, false};
    charge running{budget, other_holder, digest{0, 2}, ticket_id{72}, 10, true};
    // The holder appended neither charge; the guards listed them in their fence acknowledgements.
    ledger.apply({own_holder, ++sequence, {reclaim_operation{other_holder, {settled, running}}}});
    allocator.tick(now);
    append_batch();
    BOOST_TEST((ledger.key_holder() == own_holder));
    for (const std::uint64_t key : {1U, 2U}) {
        reservation_request request = make_request(key, 100);
        request.repeatable = false;
        BOOST_TEST(
            (allocator.reserve(now, request)->outcome == reservation_outcome::unknown_outcome));
    }
    reservation_request unused = make_request(3, 100);
    unused.repeatable = false;
    BOOST_TEST((allocator.reserve(now, unused)->outcome == reservation_outcome::granted));
}

BOOST_AUTO_TEST_CASE(request_not_repeatable_and_released_unused_can_be_repeated) {
    allocator.tick(now);
    append_batch();
    reservation_request request = make_request(1, 100);
    request.repeatable = false;
    const ticket issued = reserve(request).granted;
    append_batch();
    BOOST_TEST(allocator.release_ticket(issued.id).has_value());
    request.request_id = next_request++;
    BOOST_TEST((reserve(request).outcome == reservation_outcome::granted));
}

BOOST_AUTO_TEST_CASE(request_not_repeatable_with_a_fenced_guard_has_an_unknown_outcome) {
    allocator.tick(now);
    append_batch();
    reservation_request request = make_request(1, 100);
    request.repeatable = false;
    const ticket issued = reserve(request).granted;
    BOOST_TEST(allocator.ticket_started(issued.id, guard_one, "tcp://guard").has_value());
    allocator.guard_fenced(guard_one);
    request.request_id = next_request++;
    BOOST_TEST((allocator.reserve(now, request)->outcome == reservation_outcome::unknown_outcome));
}

BOOST_AUTO_TEST_CASE(drain_releases_the_key_lock_after_all_claims_are_in_the_ledger) {
    allocator.tick(now);
    append_batch();
    reservation_request request = make_request(1, 100);
    request.repeatable = false;
    const ticket issued = reserve(request).granted;
    allocator.set_draining(true);
    allocator.tick(now);
    append_batch();
    BOOST_TEST((ledger.key_holder() == own_holder));
    allocator.charge_reported(now, charge_for(issued, 10));
    for (int round = 0; round < 3; ++round) {
        allocator.tick(now);
        append_batch();
    }
    BOOST_TEST((ledger.key_holder() == incarnation_id{}));
    BOOST_TEST(allocator.idle());
}

BOOST_AUTO_TEST_CASE(drain_returns_all_free_tokens) {
    allocator.tick(now);
    append_batch();
    BOOST_TEST(ledger.find(budget)->outstanding_of(own_holder) > 0);
    allocator.set_draining(true);
    allocator.tick(now);
    append_batch();
    BOOST_TEST(ledger.find(budget)->outstanding_of(own_holder) == 0);
    BOOST_TEST(allocator.idle());
}

BOOST_AUTO_TEST_SUITE_END()
