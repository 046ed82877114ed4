#include <bus.pb.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "roles/gateway/placement_codec.hpp"
#include "roles/placing_gateways.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Four gateways of which the first coordinates two engines, and requests that compete.
struct placement_admission_fixture : placement_exchange_fixture {
    int engines = 2;
    std::uint64_t last_attempt = 1'000'000;

    explicit placement_admission_fixture(int engine_count = 2) : engines(engine_count) {
        for (const auto& gateway : gateways) {
            for (int number = engines + 1; number <= 12; ++number) {
                gateway->targets.remove(monotonic_now(), "e" + std::to_string(number));
            }
        }
        connect_to("h1");
    }

    /// Sends queries until the coordinator has replied, since the first one opens the connection.
    void connect_to(const std::string& host) {
        const auto has_responded = [this, &host] {
            const std::vector<std::string>& hosts = requester->responded;
            return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
        };
        for (std::uint64_t session = 3; !has_responded(); session += 2) {
            BOOST_REQUIRE(session < 100);
            choice_count = 0;
            const auto first = begin(*requester, prompt(session));
            BOOST_REQUIRE(run_until([&] { return choice_count == 1U; }));
            requester->exchange.end_attempt(attempt, attempt_outcome::abandoned);
            run_until(has_responded, milliseconds(50));
        }
        BOOST_REQUIRE(run_until([&] { return coordinator->placements.attempt_count() == 0U; }));
        requester->unresponsive.clear();
        choice_count = 0;
    }

    static engine_request competing(std::uint64_t session, const std::string& account,
                                    unsigned priority, tokens length = 9000) {
        engine_request result = prompt(session, length);
        result.account = account;
        result.priority = priority;
        return result;
    }

    static engine_request urgent(std::uint64_t session) {
        engine_request result = competing(session, "urgent", 0, 800);
        result.first_event_objective = milliseconds(250);
        return result;
    }

    /// Places urgent and less urgent requests at the coordinator, so that it knows the rates.
    void receive_urgent(std::uint64_t urgent_count = 12) {
        const instant now = monotonic_now();
        for (std::uint64_t number = 0; number < urgent_count; ++number) {
            place_at_coordinator(now, urgent(5000 + 2 * number));
        }
        place_at_coordinator(now, competing(6000, "bulk", 2));
    }

    void place_at_coordinator(instant now, engine_request request) {
        request.is_last_query = true;
        const std::uint64_t id = ++last_attempt;
        coordinator->placements.place_or_hold(now, {id, service, request, {}, seconds(5)},
                                              [](const target_choice&) {});
        coordinator->placements.end_local_attempt(now, id);
    }

    /// Gives every engine a pending prefill of this many tokens. Returns the attempts.
    std::vector<std::uint64_t> fill_engines(tokens length) const {
        std::vector<std::uint64_t> attempts;
        for (int number = 1; number <= engines; ++number) {
            attempts.push_back(coordinator->targets.begin_attempt(
                monotonic_now(), "e" + std::to_string(number), prompt(500, length), length, true));
        }
        return attempts;
    }

    void end_engines(const std::vector<std::uint64_t>& attempts) const {
        for (int number = 1; number <= engines; ++number) {
            coordinator->targets.end_attempt(monotonic_now(), "e" + std::to_string(number),
                                             attempts[static_cast<std::size_t>(number - 1)]);
        }
    }

    double counted(placing_gateway& gateway, const char* name) const {
        return static_cast<double>(gateway.counters.counter(name));
    }
};

/// Seven gateways of which two coordinate twelve engines.
struct two_coordinators_fixture : placement_admission_fixture {
    std::string other;

    two_coordinators_fixture() : placement_admission_fixture(12) {
        for (int number = 5; number <= 7; ++number) {
            gateways.push_back(std::make_unique<placing_gateway>(loop, number));
        }
        for (const auto& gateway : gateways) {
            for (const auto& member : gateways) {
                gateway->members.apply(member->self());
            }
        }
        for (const auto& gateway : gateways) {
            if (gateway->host != "h1" && coordinates_any(*gateway)) {
                other = gateway->host;
            } else if (gateway->host != "h1") {
                requester = gateway.get();
            }
        }
        BOOST_REQUIRE(!other.empty());
        connect_to("h1");
        connect_to(other);
    }

    static bool coordinates_any(placing_gateway& gateway) {
        for (int number = 1; number <= 12; ++number) {
            if (gateway.coordinators.coordinates(monotonic_now(), "e" + std::to_string(number))) {
                return true;
            }
        }
        return false;
    }

    /// A session whose engine the first gateway coordinates.
    std::uint64_t session_of_first() const {
        std::uint64_t session = 201;
        const auto host_of = [&] {
            const std::string_view engine =
                requester->targets.rendezvous_engine(monotonic_now(), service, prompt(session), {});
            return requester->coordinators.coordinator_of(monotonic_now(), engine)->host;
        };
        while (host_of() != "h1") {
            session += 2;
        }
        return session;
    }

    placing_gateway& gateway_of(const std::string& host) const {
        return **std::find_if(gateways.begin(), gateways.end(),
                              [&host](const auto& each) { return each->host == host; });
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(placement_admission_test, placement_admission_fixture)

BOOST_AUTO_TEST_CASE(query_carries_account_and_priority) {
    engine_request request = competing(7, "acme", 2);
    request.is_last_query = true;
    const wire::PlacementAsk sent = to_wire(1, service, request, {}, seconds(5));
    wire::PlacementAsk received;
    BOOST_REQUIRE(received.ParseFromString(sent.SerializeAsString()));
    const engine_request read = from_wire(received, request.engine);
    BOOST_TEST(read.account == "acme");
    BOOST_REQUIRE(read.priority.has_value());
    BOOST_TEST(*read.priority == 2U);
    BOOST_TEST(read.is_last_query);
    const std::size_t plain =
        to_wire(1, service, prompt(7), {}, seconds(5)).SerializeAsString().size();
    BOOST_TEST(sent.SerializeAsString().size() - plain < 60U);
}

BOOST_AUTO_TEST_CASE(query_of_an_earlier_release_takes_no_part) {
    const wire::PlacementAsk sent = to_wire(1, service, prompt(7), {}, seconds(5));
    BOOST_TEST(!from_wire(sent, engine_profile{}).priority.has_value());
}

BOOST_AUTO_TEST_CASE(query_with_impossible_priority_takes_no_part) {
    const wire::PlacementAsk sent =
        to_wire(1, service, competing(7, "acme", 4'000'000'000U), {}, seconds(5));
    BOOST_TEST(!from_wire(sent, engine_profile{}).priority.has_value());
}

BOOST_AUTO_TEST_CASE(reply_carries_refusal_and_limited_time) {
    target_choice refused;
    refused.admission = admission_outcome::refuse;
    refused.admission_wait = seconds(3600);
    refused.price.backlog_ms = 900.0;
    wire::PlacementAnswer received;
    BOOST_REQUIRE(received.ParseFromString(to_wire(1, refused).SerializeAsString()));
    const target_choice read = from_wire(received, requester->targets);
    BOOST_TEST((read.admission == admission_outcome::refuse));
    BOOST_TEST((read.admission_wait == seconds(10)));
    BOOST_TEST(read.price.backlog_ms == 900.0);
    BOOST_TEST((read.target == nullptr));
}

BOOST_AUTO_TEST_CASE(competing_requests_are_placed_as_before_while_engines_are_free) {
    for (std::uint64_t session = 10; session < 30; session += 2) {
        BOOST_TEST(!place(*requester, competing(session, "bulk", 2)).empty());
        BOOST_TEST(attempt.coordinator == "h1");
        requester->exchange.end_attempt(attempt, attempt_outcome::succeeded);
    }
    BOOST_TEST(counted(*coordinator, "placements_refused_total") == 0.0);
    BOOST_TEST(counted(*coordinator, "placements_held_total") == 0.0);
}

BOOST_AUTO_TEST_CASE(less_urgent_request_is_refused_with_a_time_while_engines_are_full) {
    receive_urgent();
    fill_engines(60'000);
    BOOST_TEST(place(*requester, competing(7, "bulk", 2)).empty());
    BOOST_TEST((choice.admission == admission_outcome::refuse));
    BOOST_TEST((choice.admission_wait >= milliseconds(50)));
    BOOST_TEST((choice.admission_wait <= seconds(10)));
    BOOST_TEST(choice.price.backlog_ms > 1000.0);
    BOOST_TEST(counted(*coordinator, "placements_refused_total") == 1.0);
    // Requests of the coordinator itself are treated alike.
    BOOST_TEST(place(*coordinator, competing(11, "bulk", 2)).empty());
    BOOST_TEST((choice.admission == admission_outcome::refuse));
    // The same request of a gateway of an earlier release, or a more urgent one, is placed.
    BOOST_TEST(!place(*requester, prompt(7)).empty());
    BOOST_TEST(!place(*requester, urgent(9)).empty());
}

BOOST_AUTO_TEST_CASE(held_request_is_placed_when_an_engine_becomes_free) {
    receive_urgent();
    const std::vector<std::uint64_t> filling = fill_engines(5'000);
    const auto handle = begin(*requester, competing(7, "bulk", 2));
    BOOST_REQUIRE(run_until([&] { return coordinator->placements.held_count() == 1U; }));
    BOOST_TEST(choice_count == 0U);
    // Longer than the timeout of a query that is not held.
    run_for(milliseconds(30));
    end_engines(filling);
    BOOST_REQUIRE(run_until([&] { return choice_count == 1U; }, milliseconds(100)));
    BOOST_TEST(!attempt.target.empty());
    BOOST_TEST(attempt.coordinator == "h1");
    BOOST_TEST(counted(*coordinator, "placements_held_total") == 1.0);
    const histogram_metric& held = coordinator->counters.histogram("placement_hold_ms");
    BOOST_TEST(held.count_up_to(histogram_metric::bounds_ms.size()) == 1U);
    BOOST_TEST(held.sum_ms() >= 30.0);
    BOOST_TEST(requester->unresponsive.empty());
}

BOOST_AUTO_TEST_CASE(request_is_held_for_at_most_a_quarter_of_its_objective) {
    receive_urgent();
    fill_engines(5'000);
    const instant started = monotonic_now();
    const auto handle = begin(*requester, competing(7, "bulk", 2));
    BOOST_REQUIRE(run_until([&] { return choice_count == 1U; }, milliseconds(600)));
    BOOST_TEST((monotonic_now() - started < milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(coordinator_that_dies_while_it_holds_a_request_causes_no_refusal) {
    receive_urgent();
    fill_engines(5'000);
    requester->exchange.set_timeouts({milliseconds(100), milliseconds(100)});
    const auto handle = begin(*requester, competing(7, "bulk", 2));
    BOOST_REQUIRE(run_until([&] { return coordinator->placements.held_count() == 1U; }));
    // From now on its final reply is lost, as if it had died or were frozen.
    gateways.erase(gateways.begin());
    BOOST_REQUIRE(run_until([&] { return choice_count == 1U; }, milliseconds(600)));
    BOOST_TEST(!attempt.target.empty());
    BOOST_TEST(attempt.coordinator.empty());
    BOOST_TEST((choice.admission == admission_outcome::admit));
}

BOOST_AUTO_TEST_CASE(unreachable_coordinator_causes_no_refusal) {
    // Partitioned from the beginning: each gateway chooses by itself, whatever the load.
    receive_urgent();
    fill_engines(60'000);
    coordinator->accepts_messages = false;
    for (std::uint64_t session = 10; session < 20; session += 2) {
        BOOST_TEST(!place(*requester, competing(session, "bulk", 2)).empty());
        BOOST_TEST(attempt.coordinator.empty());
    }
}

BOOST_AUTO_TEST_CASE(coordinator_that_freezes_between_two_queries_causes_no_refusal) {
    receive_urgent();
    fill_engines(60'000);
    // It answers the first query, which is not final, and none after it.
    unsigned queries = 0;
    coordinator->bus->on_message([&](const message_origin& origin, const wire::Envelope& message) {
        if (!message.has_placement_ask() || ++queries == 1) {
            coordinator->exchange.on_message(origin, message);
        }
    });
    BOOST_TEST(!place(*requester, competing(7, "bulk", 2)).empty());
    BOOST_TEST(queries == 2U);
    BOOST_TEST(attempt.coordinator.empty());
}

BOOST_AUTO_TEST_CASE(refusal_that_was_not_asked_for_is_ignored) {
    coordinator->bus->on_message([&](const message_origin& origin, const wire::Envelope& message) {
        if (message.has_placement_ask()) {
            target_choice refused;
            refused.admission = admission_outcome::refuse;
            refused.admission_wait = seconds(3600);
            wire::Envelope reply;
            *reply.mutable_placement_answer() = to_wire(message.placement_ask().run(), refused);
            coordinator->bus->answer(origin, reply);
        }
    });
    BOOST_TEST(!place(*requester, prompt(7)).empty());
    BOOST_TEST(attempt.coordinator.empty());
}

BOOST_FIXTURE_TEST_CASE(request_goes_to_another_coordinator_before_it_is_refused,
                        two_coordinators_fixture) {
    // Guards against refusals while other coordinators' engines are free.
    receive_urgent(40);
    fill_engines(60'000);
    BOOST_TEST(!place(*requester, competing(session_of_first(), "bulk", 2)).empty());
    BOOST_TEST(attempt.coordinator == other);
    BOOST_TEST(counted(*coordinator, "placements_refused_total") == 0.0);
    BOOST_TEST(counted(*requester, "placements_at_another_keeper_total") == 1.0);
}

BOOST_FIXTURE_TEST_CASE(partitioned_alternative_coordinator_causes_no_refusal,
                        two_coordinators_fixture) {
    receive_urgent(40);
    fill_engines(60'000);
    gateway_of(other).accepts_messages = false;
    BOOST_TEST(!place(*requester, competing(session_of_first(), "bulk", 2)).empty());
    BOOST_TEST(attempt.coordinator.empty());
    BOOST_TEST((choice.admission == admission_outcome::admit));
}

// Guards against a crash, and a delay, where a coordinator refuses beside one that doesn't answer.
BOOST_FIXTURE_TEST_CASE(refused_request_passes_over_a_suspected_coordinator,
                        two_coordinators_fixture) {
    receive_urgent(40);
    fill_engines(60'000);
    gateway_of(other).accepts_messages = false;
    const std::uint64_t session = session_of_first();
    place(*requester, competing(session, "bulk", 2));
    const double asked = counted(*requester, "placements_at_another_keeper_total");
    BOOST_TEST(asked == 1.0);
    place(*requester, competing(session, "bulk", 2));
    BOOST_TEST(counted(*requester, "placements_at_another_keeper_total") == asked);
}

BOOST_AUTO_TEST_SUITE_END()
