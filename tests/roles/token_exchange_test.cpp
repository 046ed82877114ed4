#include <bus.pb.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>

#include "roles/token_gateways.hpp"

using namespace wrenswitch;
using namespace wrenswitch::testing;

BOOST_FIXTURE_TEST_SUITE(token_exchange_test, exchange_fixture)

BOOST_AUTO_TEST_CASE(request_at_another_gateway_is_served_by_allocator) {
    gateway_process& gateway = requester();
    BOOST_TEST((reserve(gateway, 5000) == reserve_outcome::reserved));
    BOOST_TEST(gateway.grants.reserved(account) == 5000);
    BOOST_TEST(table.grants().size() == 1U);
    BOOST_TEST(table.grants().begin()->first.host == allocator().host);
}

BOOST_AUTO_TEST_CASE(request_at_allocator_sends_no_query) {
    BOOST_TEST((reserve(allocator(), 5000) == reserve_outcome::reserved));
    BOOST_TEST(allocator().counters.counter("token_asks_total") == 0);
}

BOOST_AUTO_TEST_CASE(unused_tokens_are_returned_to_allocator) {
    gateway_process& gateway = requester();
    const tokens before = spendable();
    BOOST_REQUIRE((reserve(gateway, 5000) == reserve_outcome::reserved));
    gateway.grants.spend(monotonic_now(), account, 2000);
    gateway.grants.release(account, 3000);
    gateway.exchange.return_free_tokens(monotonic_now());
    BOOST_TEST(run_until([&] { return spendable() == before - 2000; }));
    BOOST_TEST(gateway.grants.free_tokens(account) == 0);
}

BOOST_AUTO_TEST_CASE(concurrent_requests_are_served_by_few_queries) {
    gateway_process& gateway = requester();
    // The allocator learns how many tokens to keep available.
    for (int round = 0; round < 10; ++round) {
        BOOST_REQUIRE((reserve(gateway, 3000) == reserve_outcome::reserved));
        gateway.grants.spend(monotonic_now(), account, 3000);
    }
    gateway.exchange.return_free_tokens(monotonic_now());
    const std::uint64_t before = gateway.counters.counter("token_asks_total");
    constexpr int requests = 20;
    int served = 0;
    std::vector<std::shared_ptr<token_exchange::handle>> handles;
    for (int round = 0; round < requests; ++round) {
        handles.push_back(gateway.exchange
                              .reserve(monotonic_now(), account, 100 + round,
                                       [&served](reserve_outcome result) {
                                           served += result == reserve_outcome::reserved ? 1 : 0;
                                       })
                              .waiting_handle);
    }
    BOOST_TEST(run_until([&] { return served == requests; }));
    BOOST_TEST(gateway.counters.counter("token_asks_total") - before <= 10U);
}

BOOST_AUTO_TEST_CASE(large_request_is_not_starved_by_small_ones_beside_it) {
    gateway_process& gateway = requester();
    std::vector<std::shared_ptr<token_exchange::handle>> handles;
    bool large_served = false;
    const auto small = [&] {
        handles.push_back(
            gateway.exchange.reserve(monotonic_now(), account, 10, [](reserve_outcome) {})
                .waiting_handle);
    };
    small();
    handles.push_back(gateway.exchange
                          .reserve(monotonic_now(), account, 20'000,
                                   [&](reserve_outcome result) {
                                       large_served = result == reserve_outcome::reserved;
                                   })
                          .waiting_handle);
    BOOST_TEST(run_until([&] {
        small();
        return large_served;
    }));
}

BOOST_AUTO_TEST_CASE(unused_tokens_of_query_ahead_are_returned) {
    gateway_process& gateway = requester();
    for (int round = 0; round < 20; ++round) {
        BOOST_REQUIRE((reserve(gateway, 500) == reserve_outcome::reserved));
        gateway.grants.spend(monotonic_now(), account, 500);
    }
    // The gateway has learnt the demand of its requests and queries for more than one at a time.
    BOOST_TEST(gateway.counters.counter("token_asks_total") < 20U);
    BOOST_TEST(spendable() == limit - 20 * 500);
    gateway.exchange.return_free_tokens(monotonic_now());
    BOOST_TEST(run_until([&] { return spendable() == limit - 20 * 500; }));
    BOOST_TEST(gateway.grants.free_tokens(account) == 0);
}

BOOST_AUTO_TEST_CASE(requests_behind_one_with_unresponsive_allocator_are_served_elsewhere) {
    allocator().accepts_messages = false;
    gateway_process& gateway = requester();
    int served = 0;
    std::vector<std::shared_ptr<token_exchange::handle>> handles;
    for (int round = 0; round < 5; ++round) {
        handles.push_back(gateway.exchange
                              .reserve(monotonic_now(), account, 100,
                                       [&served](reserve_outcome result) {
                                           served += result == reserve_outcome::reserved ? 1 : 0;
                                       })
                              .waiting_handle);
    }
    BOOST_TEST(run_until([&] { return served == 5; }));
}

BOOST_AUTO_TEST_CASE(budget_that_cannot_hold_it_is_exhausted) {
    BOOST_TEST((reserve(requester(), limit + 1) == reserve_outcome::exhausted));
}

BOOST_AUTO_TEST_CASE(unresponsive_allocator_is_skipped_at_once_by_later_requests) {
    allocator().accepts_messages = false;
    gateway_process& gateway = requester();
    const gateway_process& lost = allocator();
    BOOST_TEST((reserve(gateway, 5000) == reserve_outcome::reserved));
    const instant began = monotonic_now();
    BOOST_TEST((reserve(gateway, 5000) == reserve_outcome::reserved));
    BOOST_TEST((monotonic_now() - began < milliseconds(90)));
    BOOST_TEST(gateway.allocators.allocator_of(monotonic_now(), account)->host != lost.host);
}

BOOST_AUTO_TEST_CASE(gateway_with_unresponsive_allocators_draws_tokens_itself) {
    for (const auto& each : gateways) {
        each->accepts_messages = false;
    }
    gateway_process& gateway = requester();
    BOOST_TEST((reserve(gateway, 5000) == reserve_outcome::reserved));
    BOOST_TEST(table.granted(account) >= 5000);
    BOOST_TEST(table.find({account, gateway.host}).granted >= 5000);
}

BOOST_AUTO_TEST_CASE(unresponsive_allocators_are_reported_in_turn) {
    const std::vector<std::string> expected{allocator().host, second_allocator().host};
    gateway_process& gateway = requester();
    allocator().accepts_messages = false;
    by_host(expected[1]).accepts_messages = false;
    BOOST_TEST((reserve(gateway, 5000) == reserve_outcome::reserved));
    BOOST_TEST(gateway.unresponsive == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(gateway_with_saturated_link_takes_no_allocator_for_lost) {
    gateway_process& gateway = requester();
    const std::string first = gateway.allocators.allocator_of(monotonic_now(), account)->host;
    gateway.link_saturated = true;
    allocator().accepts_messages = false;
    BOOST_TEST((reserve(gateway, 5000) == reserve_outcome::reserved));
    BOOST_TEST(gateway.allocators.allocator_of(monotonic_now(), account)->host == first);
}

BOOST_AUTO_TEST_CASE(waiting_requests_are_refused_when_no_process_is_reachable) {
    for (const auto& each : gateways) {
        each->accepts_messages = false;
        each->log_reachable = false;
    }
    gateway_process& gateway = requester();
    outcome.reset();
    handle = gateway.exchange
                 .reserve(monotonic_now(), account, 5000,
                          [this](reserve_outcome result) { outcome = result; })
                 .waiting_handle;
    BOOST_REQUIRE(handle);
    gateway.exchange.refuse_waiting();
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == reserve_outcome::short_of_tokens));
}

BOOST_AUTO_TEST_CASE(request_without_allocators_and_log_is_refused_at_once) {
    gateway_process& gateway = requester();
    for (const auto& each : gateways) {
        each->log_reachable = false;
        if (each->host != gateway.host) {
            gateway.allocators.remove(each->host);
        }
    }
    const instant began = monotonic_now();
    BOOST_TEST((reserve(gateway, 5000) == reserve_outcome::short_of_tokens));
    BOOST_TEST((monotonic_now() - began < milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(allocator_that_shuts_down_redirects_requester) {
    allocator().can_allocate = false;
    BOOST_TEST((reserve(requester(), 5000) == reserve_outcome::reserved));
    BOOST_TEST(second_allocator().grants.max_remaining(account) == limit - 5000);
}

BOOST_AUTO_TEST_CASE(allocator_without_its_log_redirects_requester) {
    allocator().log_reachable = false;
    BOOST_TEST((reserve(requester(), 5000) == reserve_outcome::reserved));
}

BOOST_AUTO_TEST_CASE(tokens_of_late_reply_are_returned) {
    gateway_process& gateway = requester();
    const tokens before = spendable();
    gateway_process& late = allocator();
    late.accepts_messages = false;
    BOOST_REQUIRE((reserve(gateway, 5000) == reserve_outcome::reserved));
    // The allocator receives the query now and sends tokens that no request at the gateway wants
    // any more.
    late.accepts_messages = true;
    wire::Envelope query;
    query.mutable_token_ask()->set_ask(77);
    query.mutable_token_ask()->set_account(account);
    query.mutable_token_ask()->set_amount(5000);
    gateway.bus->send(late.bus->endpoint(), query);
    BOOST_TEST(run_until([&] { return gateway.grants.free_tokens(account) == 5000; }));
    gateway.exchange.return_free_tokens(monotonic_now());
    BOOST_TEST(run_until([&] { return spendable() == before - 5000; }));
}

BOOST_AUTO_TEST_CASE(request_cancelled_while_waiting_keeps_no_tokens) {
    gateway_process& gateway = requester();
    const tokens before = spendable();
    auto found = gateway.exchange.reserve(monotonic_now(), account, 5000,
                                          [](reserve_outcome) { BOOST_ERROR("told"); });
    BOOST_REQUIRE(found.waiting_handle);
    found.waiting_handle.reset();
    run_for(milliseconds(100));
    BOOST_TEST(gateway.grants.reserved(account) == 0);
    gateway.exchange.return_free_tokens(monotonic_now());
    BOOST_TEST(run_until([&] { return spendable() == before; }));
}

BOOST_AUTO_TEST_CASE(negative_returned_amount_is_ignored) {
    wire::Envelope message;
    wire::TokenAmount& part = *message.mutable_token_return()->add_amounts();
    part.set_account(account);
    part.set_amount(-5000);
    requester().exchange.on_message({}, message);
    BOOST_TEST(requester().grants.free_tokens(account) == 0);
}

BOOST_AUTO_TEST_CASE(requests_at_all_gateways_never_exceed_the_limit) {
    tokens reserved = 0;
    std::vector<std::shared_ptr<token_exchange::handle>> handles;
    std::size_t open = 0;
    for (int round = 0; round < 20; ++round) {
        for (const auto& each : gateways) {
            ++open;
            const auto found = each->exchange.reserve(
                monotonic_now(), account, 7000, [&reserved, &open](reserve_outcome result) {
                    --open;
                    reserved += result == reserve_outcome::reserved ? 7000 : 0;
                });
            if (found.waiting_handle) {
                handles.push_back(found.waiting_handle);
            } else {
                --open;
                reserved += found.outcome == reserve_outcome::reserved ? 7000 : 0;
            }
        }
    }
    BOOST_REQUIRE(run_until([&open] { return open == 0; }));
    BOOST_TEST(reserved <= limit);
    BOOST_TEST(reserved >= limit - 14'000);
}

BOOST_AUTO_TEST_CASE(connection_to_remote_allocator_is_opened_once_and_moves_no_tokens) {
    gateway_process remote(loop, table, 4, "south");
    gateway_process local(loop, table, 5, "north");
    gateway_process requester(loop, table, 6, "north");
    remote.accepts_messages = local.accepts_messages = false;
    for (const gateway_process* member : {&remote, &local, &requester}) {
        requester.allocators.apply(member->self());
    }
    requester.exchange.connect_to_allocators();
    requester.exchange.connect_to_allocators();
    BOOST_REQUIRE(run_until([&] { return !remote.unhandled.empty(); }));
    run_for(milliseconds(30));
    BOOST_TEST(remote.unhandled.size() == 1U);
    BOOST_TEST(remote.unhandled.front().token_return().amounts_size() == 0);
    BOOST_TEST(local.unhandled.empty());
    remote.exchange.on_message({}, remote.unhandled.front());
    BOOST_TEST(remote.grants.free_tokens(account) == 0);
}

BOOST_FIXTURE_TEST_CASE(timeout_of_remote_allocator_includes_its_round_trip, loop_runner) {
    grant_table table;
    gateway_process remote(loop, table, 1, "south");
    gateway_process requester(loop, table, 2, "north");
    for (gateway_process* gateway : {&remote, &requester}) {
        gateway->allocators.apply(remote.self());
    }
    remote.append(table);
    // An allocator in the same region has 100 ms to reply.
    remote.accepts_messages = false;
    std::optional<reserve_outcome> outcome;
    const auto wait = requester.exchange.reserve(
        monotonic_now(), account, 400, [&](reserve_outcome received) { outcome = received; });
    BOOST_REQUIRE(run_until([&] { return !remote.unhandled.empty(); }));
    run_for(milliseconds(200));
    BOOST_TEST(requester.unresponsive.empty());
    BOOST_TEST(run_until([&] { return requester.unresponsive.size() == 1U; }));
}

BOOST_AUTO_TEST_SUITE_END()
