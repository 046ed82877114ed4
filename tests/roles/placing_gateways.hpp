#pragma once

#include <bus.pb.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "roles/gateway/placement_exchange.hpp"
#include "support/loop_runner.hpp"

namespace wrenswitch::testing {

inline const std::string service = "llm";

/// Long enough that replies on one busy machine arrive in time. Tests of missing replies use the
/// product's own timeouts.
inline constexpr placement_timeouts patient_timeouts{milliseconds(500), milliseconds(500)};

/// A gateway that places requests and may coordinate engines, over a real bus.
struct placing_gateway {
    placing_gateway(event_loop& loop, int number, std::string own_region = {},
                    bool has_engines_by_region = false)
        : host("h" + std::to_string(number)),
          region(std::move(own_region)),
          engines_by_region(has_engines_by_region),
          bus(message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value()),
          members(host, allocator_settings(region)),
          exchange(loop, *bus, targets, coordinators, placements, counters,
                   {[this](const std::string&) { return knows_engines ? &engine : nullptr; },
                    [this](const std::string& coordinator, bool others_answered) {
                        unresponsive.push_back(coordinator);
                        others_had_responded = others_answered;
                        members.record_failure(monotonic_now(), coordinator);
                    },
                    [this](const std::string& coordinator) { responded.push_back(coordinator); },
                    [this](const cluster_member& coordinator) {
                        return members.round_trip(coordinator);
                    },
                    [this](const cluster_member& coordinator, microseconds elapsed) {
                        members.record_round_trip(coordinator, elapsed);
                    }}) {
        exchange.set_timeouts(patient_timeouts);
        bus->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            if (accepts_messages) {
                handled = exchange.on_message(origin, message);
            }
        });
        for (int target = 1; target <= 12; ++target) {
            const bool in_north = engines_by_region && target > 6;
            targets.apply({"e" + std::to_string(target),
                           service,
                           "127.0.0.1:1",
                           in_north ? "d2" : "d1",
                           32,
                           false,
                           {}});
        }
    }

    target_pool_settings pool_settings() const {
        target_pool_settings settings;
        settings.failure_domain = "d1";
        if (engines_by_region) {
            settings.failure_domain = region == "north" ? "d2" : "d1";
            settings.regions.add("d1", "south");
            settings.regions.add("d2", "north");
        } else {
            settings.regions.add("d1", "north");
            settings.regions.add("d2", "south");
        }
        settings.gateway_count = [] { return 4U; };
        return settings;
    }

    /// Lists all engines except one in another failure domain.
    void move_all_but(const std::string& kept, const std::string& domain) {
        for (const gateway_target& target : targets.listed()) {
            if (target.id != kept) {
                gateway_target moved = target;
                moved.failure_domain = domain;
                targets.apply(moved);
            }
        }
    }

    static token_allocator_settings allocator_settings(const std::string& region) {
        token_allocator_settings settings;
        settings.own_region = region;
        return settings;
    }

    cluster_member self() const {
        return {host, incarnation_id{1}, bus->endpoint(), host == "h1" ? 2.0 : 1.0, {}, region};
    }

    std::string host;
    std::string region;
    bool engines_by_region = false;
    metrics counters;
    random_source random;
    engine_profile engine{3, 200'000, 0.0};
    std::unique_ptr<message_bus> bus;
    token_allocator_selector members;
    engine_coordinators coordinators{members,
                                     [this](std::string_view id) { return targets.region_of(id); }};
    target_pool targets{pool_settings(), random};
    placement_coordinator placements{targets, coordinators, counters};
    std::vector<std::string> unresponsive;
    std::vector<std::string> responded;
    bool others_had_responded = false;
    bool accepts_messages = true;
    bool knows_engines = true;
    bool handled = false;
    placement_exchange exchange;
};

/// Four gateways that know each other; the first coordinates all engines.
struct placement_exchange_fixture : loop_runner {
    std::vector<std::unique_ptr<placing_gateway>> gateways;
    placing_gateway* coordinator = nullptr;
    placing_gateway* requester = nullptr;
    /// The result of the last request that was placed.
    placed_attempt attempt;
    target_choice choice;
    unsigned choice_count = 0;

    placement_exchange_fixture() {
        for (int number = 1; number <= 4; ++number) {
            gateways.push_back(std::make_unique<placing_gateway>(loop, number));
        }
        for (const auto& gateway : gateways) {
            for (const auto& member : gateways) {
                gateway->members.apply(member->self());
            }
        }
        coordinator = gateways[0].get();
        requester = gateways[1].get();
    }

    static std::vector<std::string> all_but(const std::string& kept) {
        std::vector<std::string> others;
        for (int number = 1; number <= 12; ++number) {
            const std::string id = "e" + std::to_string(number);
            if (id != kept) {
                others.push_back(id);
            }
        }
        return others;
    }

    static engine_request prompt(std::uint64_t session, tokens length = 9000) {
        engine_request result;
        result.prompt = {length, 400, 150, {{session, length / 2}, {session + 1, length / 2}}};
        result.engine = {3, 200'000, 0.0};
        result.first_event_objective = milliseconds(800);
        result.max_event_gap = milliseconds(300);
        return result;
    }

    std::shared_ptr<placement_exchange::handle> begin(placing_gateway& gateway,
                                                      const engine_request& request,
                                                      std::vector<std::string> tried = {}) {
        return gateway.exchange.place(
            service, request, tried, seconds(5),
            [this](const target_choice& result, const placed_attempt& placed) {
                choice = result;
                attempt = placed;
                choice_count += 1;
            });
    }

    std::string place(placing_gateway& gateway, const engine_request& request,
                      std::vector<std::string> tried = {}) {
        const unsigned before = choice_count;
        const auto handle = begin(gateway, request, std::move(tried));
        BOOST_REQUIRE(run_until([&] { return choice_count > before; }));
        return attempt.target;
    }
};

}  // namespace wrenswitch::testing
