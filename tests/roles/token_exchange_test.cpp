#include "roles/gateway/token_exchange.hpp"

#include <bus.pb.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <set>

#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

constexpr const char* account = "a";
constexpr tokens limit = 100'000;

/// One entry of the fleet, over a real bus. Appends to the ledger are done at once, in a table that
/// all entries share.
class entry_process {
public:
    entry_process(event_loop& loop, grant_table& shared, int number, std::string stands_in = {})
        : host("h" + std::to_string(number)),
          region(std::move(stands_in)),
          bus(message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value()),
          homes(host, allocator_settings(region)),
          grants(host, incarnation_id(static_cast<std::uint64_t>(number)), {}, shared),
          waiters(grants),
          exchange(loop, *bus, homes, grants, waiters, counters, quick_settings(),
                   {[this, &shared] { append(shared); }, [this] { return can_help; },
                    [this] { return log_answers; }, [this] { return link_is_full; },
                    [this](const std::string& home) { silent.push_back(home); }}) {
        grants.set_limit(account, limit);
        grants.set_draw_ahead_filter(
            [this](const std::string& name) { return homes.is_allocator(monotonic_now(), name); });
        bus->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            if (listens) {
                exchange.on_message(origin, message);
            } else {
                unheard.push_back(message);
            }
        });
        bus->on_undelivered([this](const std::string&, const wire::Envelope& message) {
            exchange.on_undelivered(message);
        });
    }

    static token_exchange_settings quick_settings() {
        token_exchange_settings settings;
        settings.silence = milliseconds(100);
        settings.wait = milliseconds(300);
        settings.short_wait = milliseconds(100);
        return settings;
    }

    void append(grant_table& shared) {
        if (!log_answers) {
            return;
        }
        for (const grant_record& record : grants.compose_records(monotonic_now())) {
            shared.apply(record);
        }
        grants.on_append_resolved();
        waiters.serve(monotonic_now());
    }

    static token_allocator_settings allocator_settings(const std::string& region) {
        token_allocator_settings settings;
        settings.own_region = region;
        settings.remote_round_trip = milliseconds(500);
        return settings;
    }

    cluster_member self() const {
        return {host, incarnation_id{1}, bus->endpoint(), 1.0, {}, region};
    }

    std::string host;
    std::string region;
    bool listens = true;
    bool can_help = true;
    bool log_answers = true;
    bool link_is_full = false;
    std::vector<wire::Envelope> unheard;
    std::vector<std::string> silent;
    metrics counters;
    std::unique_ptr<message_bus> bus;
    token_allocator_selector homes;
    grant_holder grants;
    token_waiters waiters;
    token_exchange exchange;
};

/// Three entries that know each other.
struct exchange_fixture : loop_runner {
    grant_table table;
    std::vector<std::unique_ptr<entry_process>> entries;
    std::optional<reserve_outcome> outcome;
    std::shared_ptr<token_exchange::handle> handle;

    exchange_fixture() {
        for (int number = 1; number <= 3; ++number) {
            entries.push_back(std::make_unique<entry_process>(loop, table, number));
        }
        for (const auto& each : entries) {
            for (const auto& other : entries) {
                each->homes.apply(other->self());
            }
        }
    }

    entry_process& by_host(const std::string& host) {
        for (const auto& each : entries) {
            if (each->host == host) {
                return *each;
            }
        }
        throw std::out_of_range(host);
    }

    entry_process& home() {
        return by_host(entries.front()->homes.allocator_of(monotonic_now(), account)->host);
    }

    /// The one that is asked after the home.
    entry_process& second_home() {
        const std::vector<std::string> tried{home().host};
        return by_host(entries.front()->homes.allocator_of(monotonic_now(), account, tried)->host);
    }

    /// An entry that is neither of both.
    entry_process& asker() {
        for (const auto& each : entries) {
            if (each->host != home().host && each->host != second_home().host) {
                return *each;
            }
        }
        throw std::out_of_range("asker");
    }

    /// Reserves at an entry and waits for what becomes of it.
    reserve_outcome reserve(entry_process& entry, tokens amount) {
        outcome.reset();
        const auto found = entry.exchange.reserve(
            monotonic_now(), account, amount, [this](reserve_outcome result) { outcome = result; });
        if (!found.waiting) {
            return found.now;
        }
        handle = found.waiting;
        BOOST_REQUIRE(run_until([this] { return outcome.has_value(); }));
        return *outcome;
    }

    /// The tokens that can still be spent, wherever they are.
    tokens spendable() {
        tokens sum = limit - table.granted(account);
        for (const auto& each : entries) {
            sum += each->grants.free_tokens(account);
        }
        return sum;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(token_exchange_test, exchange_fixture)

BOOST_AUTO_TEST_CASE(request_elsewhere_is_paid_by_the_home) {
    entry_process& entry = asker();
    BOOST_TEST((reserve(entry, 5000) == reserve_outcome::reserved));
    BOOST_TEST(entry.grants.reserved(account) == 5000);
    BOOST_TEST(table.grants().size() == 1U);
    BOOST_TEST(table.grants().begin()->first.host == home().host);
}

BOOST_AUTO_TEST_CASE(request_at_the_home_asks_nobody) {
    BOOST_TEST((reserve(home(), 5000) == reserve_outcome::reserved));
    BOOST_TEST(home().counters.counter("token_asks_total") == 0);
}

BOOST_AUTO_TEST_CASE(unused_tokens_go_back_to_the_home) {
    entry_process& entry = asker();
    const tokens before = spendable();
    BOOST_REQUIRE((reserve(entry, 5000) == reserve_outcome::reserved));
    entry.grants.spend(monotonic_now(), account, 2000);
    entry.grants.release(account, 3000);
    entry.exchange.return_free(monotonic_now());
    BOOST_TEST(run_until([&] { return spendable() == before - 2000; }));
    BOOST_TEST(entry.grants.free_tokens(account) == 0);
}

BOOST_AUTO_TEST_CASE(requests_at_once_are_paid_by_few_asks) {
    entry_process& entry = asker();
    // The home learns what to have in hand.
    for (int turn = 0; turn < 10; ++turn) {
        BOOST_REQUIRE((reserve(entry, 3000) == reserve_outcome::reserved));
        entry.grants.spend(monotonic_now(), account, 3000);
    }
    entry.exchange.return_free(monotonic_now());
    const std::uint64_t before = entry.counters.counter("token_asks_total");
    constexpr int requests = 20;
    int paid = 0;
    std::vector<std::shared_ptr<token_exchange::handle>> handles;
    for (int turn = 0; turn < requests; ++turn) {
        handles.push_back(entry.exchange
                              .reserve(monotonic_now(), account, 100 + turn,
                                       [&paid](reserve_outcome result) {
                                           paid += result == reserve_outcome::reserved ? 1 : 0;
                                       })
                              .waiting);
    }
    BOOST_TEST(run_until([&] { return paid == requests; }));
    BOOST_TEST(entry.counters.counter("token_asks_total") - before <= 10U);
}

BOOST_AUTO_TEST_CASE(large_request_is_not_starved_by_small_ones_beside_it) {
    entry_process& entry = asker();
    std::vector<std::shared_ptr<token_exchange::handle>> handles;
    bool large_paid = false;
    const auto small = [&] {
        handles.push_back(
            entry.exchange.reserve(monotonic_now(), account, 10, [](reserve_outcome) {}).waiting);
    };
    small();
    handles.push_back(entry.exchange
                          .reserve(monotonic_now(), account, 20'000,
                                   [&](reserve_outcome result) {
                                       large_paid = result == reserve_outcome::reserved;
                                   })
                          .waiting);
    BOOST_TEST(run_until([&] {
        small();
        return large_paid;
    }));
}

BOOST_AUTO_TEST_CASE(tokens_asked_ahead_are_the_askers_and_go_back_unused) {
    entry_process& entry = asker();
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_REQUIRE((reserve(entry, 500) == reserve_outcome::reserved));
        entry.grants.spend(monotonic_now(), account, 500);
    }
    // It knows by now what its requests need, and asks for more than one.
    BOOST_TEST(entry.counters.counter("token_asks_total") < 20U);
    BOOST_TEST(spendable() == limit - 20 * 500);
    entry.exchange.return_free(monotonic_now());
    BOOST_TEST(run_until([&] { return spendable() == limit - 20 * 500; }));
    BOOST_TEST(entry.grants.free_tokens(account) == 0);
}

BOOST_AUTO_TEST_CASE(requests_behind_one_whose_home_is_silent_are_paid_elsewhere) {
    home().listens = false;
    entry_process& entry = asker();
    int paid = 0;
    std::vector<std::shared_ptr<token_exchange::handle>> handles;
    for (int turn = 0; turn < 5; ++turn) {
        handles.push_back(entry.exchange
                              .reserve(monotonic_now(), account, 100,
                                       [&paid](reserve_outcome result) {
                                           paid += result == reserve_outcome::reserved ? 1 : 0;
                                       })
                              .waiting);
    }
    BOOST_TEST(run_until([&] { return paid == 5; }));
}

BOOST_AUTO_TEST_CASE(budget_that_cannot_hold_it_is_exhausted) {
    BOOST_TEST((reserve(asker(), limit + 1) == reserve_outcome::exhausted));
}

BOOST_AUTO_TEST_CASE(silent_home_is_passed_over_at_once_by_later_requests) {
    home().listens = false;
    entry_process& entry = asker();
    const entry_process& lost = home();
    BOOST_TEST((reserve(entry, 5000) == reserve_outcome::reserved));
    const instant began = monotonic_now();
    BOOST_TEST((reserve(entry, 5000) == reserve_outcome::reserved));
    BOOST_TEST((monotonic_now() - began < milliseconds(90)));
    BOOST_TEST(entry.homes.allocator_of(monotonic_now(), account)->host != lost.host);
}

BOOST_AUTO_TEST_CASE(entry_whose_homes_are_all_silent_draws_by_itself) {
    for (const auto& each : entries) {
        each->listens = false;
    }
    entry_process& entry = asker();
    BOOST_TEST((reserve(entry, 5000) == reserve_outcome::reserved));
    BOOST_TEST(table.granted(account) >= 5000);
    BOOST_TEST(table.find({account, entry.host}).granted >= 5000);
}

BOOST_AUTO_TEST_CASE(silent_homes_are_reported_in_turn) {
    const std::vector<std::string> expected{home().host, second_home().host};
    entry_process& entry = asker();
    home().listens = false;
    by_host(expected[1]).listens = false;
    BOOST_TEST((reserve(entry, 5000) == reserve_outcome::reserved));
    BOOST_TEST(entry.silent == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(entry_whose_own_link_is_full_holds_no_silent_home_for_lost) {
    entry_process& entry = asker();
    const std::string first = entry.homes.allocator_of(monotonic_now(), account)->host;
    entry.link_is_full = true;
    home().listens = false;
    BOOST_TEST((reserve(entry, 5000) == reserve_outcome::reserved));
    BOOST_TEST(entry.homes.allocator_of(monotonic_now(), account)->host == first);
}

BOOST_AUTO_TEST_CASE(waiting_requests_are_refused_when_nobody_is_reached) {
    for (const auto& each : entries) {
        each->listens = false;
        each->log_answers = false;
    }
    entry_process& entry = asker();
    outcome.reset();
    handle = entry.exchange
                 .reserve(monotonic_now(), account, 5000,
                          [this](reserve_outcome result) { outcome = result; })
                 .waiting;
    BOOST_REQUIRE(handle);
    entry.exchange.refuse_waiting();
    BOOST_REQUIRE(outcome.has_value());
    BOOST_TEST((*outcome == reserve_outcome::short_of_tokens));
}

BOOST_AUTO_TEST_CASE(request_without_homes_and_log_is_refused_at_once) {
    entry_process& entry = asker();
    for (const auto& each : entries) {
        each->log_answers = false;
        if (each->host != entry.host) {
            entry.homes.remove(each->host);
        }
    }
    const instant began = monotonic_now();
    BOOST_TEST((reserve(entry, 5000) == reserve_outcome::short_of_tokens));
    BOOST_TEST((monotonic_now() - began < milliseconds(50)));
}

BOOST_AUTO_TEST_CASE(home_that_stops_sends_the_asker_on) {
    home().can_help = false;
    BOOST_TEST((reserve(asker(), 5000) == reserve_outcome::reserved));
    BOOST_TEST(second_home().grants.max_remaining(account) == limit - 5000);
}

BOOST_AUTO_TEST_CASE(home_without_its_log_sends_the_asker_on) {
    home().log_answers = false;
    BOOST_TEST((reserve(asker(), 5000) == reserve_outcome::reserved));
}

BOOST_AUTO_TEST_CASE(tokens_that_come_too_late_go_back) {
    entry_process& entry = asker();
    const tokens before = spendable();
    entry_process& late = home();
    late.listens = false;
    BOOST_REQUIRE((reserve(entry, 5000) == reserve_outcome::reserved));
    // The home hears the ask now and gives; nobody at the asker wants it any more.
    late.listens = true;
    wire::Envelope ask;
    ask.mutable_token_ask()->set_ask(77);
    ask.mutable_token_ask()->set_account(account);
    ask.mutable_token_ask()->set_amount(5000);
    entry.bus->send(late.bus->endpoint(), ask);
    BOOST_TEST(run_until([&] { return entry.grants.free_tokens(account) == 5000; }));
    entry.exchange.return_free(monotonic_now());
    BOOST_TEST(run_until([&] { return spendable() == before - 5000; }));
}

BOOST_AUTO_TEST_CASE(request_that_left_while_it_waited_keeps_no_tokens) {
    entry_process& entry = asker();
    const tokens before = spendable();
    auto found = entry.exchange.reserve(monotonic_now(), account, 5000,
                                        [](reserve_outcome) { BOOST_ERROR("told"); });
    BOOST_REQUIRE(found.waiting);
    found.waiting.reset();
    run_for(milliseconds(100));
    BOOST_TEST(entry.grants.reserved(account) == 0);
    entry.exchange.return_free(monotonic_now());
    BOOST_TEST(run_until([&] { return spendable() == before; }));
}

BOOST_AUTO_TEST_CASE(returned_amount_below_zero_is_not_taken) {
    wire::Envelope message;
    wire::TokenAmount& part = *message.mutable_token_return()->add_amounts();
    part.set_account(account);
    part.set_amount(-5000);
    asker().exchange.on_message({}, message);
    BOOST_TEST(asker().grants.free_tokens(account) == 0);
}

BOOST_AUTO_TEST_CASE(requests_everywhere_never_get_more_than_the_limit) {
    tokens reserved = 0;
    std::vector<std::shared_ptr<token_exchange::handle>> handles;
    std::size_t open = 0;
    for (int round = 0; round < 20; ++round) {
        for (const auto& each : entries) {
            ++open;
            const auto found = each->exchange.reserve(
                monotonic_now(), account, 7000, [&reserved, &open](reserve_outcome result) {
                    --open;
                    reserved += result == reserve_outcome::reserved ? 7000 : 0;
                });
            if (found.waiting) {
                handles.push_back(found.waiting);
            } else {
                --open;
                reserved += found.now == reserve_outcome::reserved ? 7000 : 0;
            }
        }
    }
    BOOST_REQUIRE(run_until([&open] { return open == 0; }));
    BOOST_TEST(reserved <= limit);
    BOOST_TEST(reserved >= limit - 14'000);
}

BOOST_AUTO_TEST_CASE(way_to_a_home_of_another_region_is_made_once_and_moves_no_tokens) {
    entry_process far(loop, table, 4, "south");
    entry_process near(loop, table, 5, "north");
    entry_process asker(loop, table, 6, "north");
    far.listens = near.listens = false;
    for (const entry_process* member : {&far, &near, &asker}) {
        asker.homes.apply(member->self());
    }
    asker.exchange.open_ways();
    asker.exchange.open_ways();
    BOOST_REQUIRE(run_until([&] { return !far.unheard.empty(); }));
    run_for(milliseconds(30));
    BOOST_TEST(far.unheard.size() == 1U);
    BOOST_TEST(far.unheard.front().token_return().amounts_size() == 0);
    BOOST_TEST(near.unheard.empty());
    far.exchange.on_message({}, far.unheard.front());
    BOOST_TEST(far.grants.free_tokens(account) == 0);
}

BOOST_FIXTURE_TEST_CASE(far_home_is_waited_for_by_its_distance, loop_runner) {
    grant_table table;
    entry_process far(loop, table, 1, "south");
    entry_process asker(loop, table, 2, "north");
    for (entry_process* entry : {&far, &asker}) {
        entry->homes.apply(far.self());
    }
    far.append(table);
    // A home of the own region is given 100 ms.
    far.listens = false;
    std::optional<reserve_outcome> outcome;
    const auto wait = asker.exchange.reserve(monotonic_now(), account, 400,
                                             [&](reserve_outcome told) { outcome = told; });
    BOOST_REQUIRE(run_until([&] { return !far.unheard.empty(); }));
    run_for(milliseconds(200));
    BOOST_TEST(asker.silent.empty());
    BOOST_TEST(run_until([&] { return asker.silent.size() == 1U; }));
}

BOOST_AUTO_TEST_SUITE_END()
