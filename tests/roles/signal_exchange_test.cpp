#include "roles/gateway/signal_exchange.hpp"

#include <bus.pb.h>

#include <boost/test/unit_test.hpp>

#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

const instant now{seconds(50)};

/// The signal exchange of one gateway that knows two targets. The log's quota is zero, so each line
/// that would be written is counted as left out.
struct signal_exchange_fixture : loop_runner {
    random_source random{1};
    metrics counters;
    rate_limited_log events{0, counters};
    target_pool pool{{}, random};
    std::unique_ptr<message_bus> bus =
        message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value();
    token_allocator_selector members{"h1", {}};
    signal_exchange exchange{loop, *bus, members, pool, events, counters};

    signal_exchange_fixture() {
        for (const char* id : {"a", "b"}) {
            gateway_target target;
            target.id = id;
            target.service = "app";
            target.address = id;
            pool.apply(target);
        }
    }

    void respond(const char* id, const char* unreadable, std::optional<load_report> load) {
        target_signals signals;
        signals.load = load;
        signals.unreadable_load = unreadable;
        exchange.on_response(now, {id, 0}, now - milliseconds(30), "r", signals);
    }

    std::uint64_t unreadable() { return counters.counter("gateway_target_loads_unreadable_total"); }
    std::uint64_t lines() { return counters.counter("log_events_left_out_total"); }
};

constexpr load_report usual{3, 1, 8, false};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(signal_exchange_test, signal_exchange_fixture)

// Guards against damage that stays unnoticed, and against a log line for every response.
BOOST_AUTO_TEST_CASE(unreadable_loads_are_counted_each_and_logged_once_per_change_and_target) {
    respond("a", "", usual);
    BOOST_TEST(unreadable() == 0U);
    BOOST_TEST(lines() == 0U);
    for (int round = 0; round < 5; ++round) {
        respond("a", "3,x", std::nullopt);
    }
    BOOST_TEST(unreadable() == 5U);
    BOOST_TEST(lines() == 1U);
    respond("b", "3,y", std::nullopt);
    BOOST_TEST(lines() == 2U);
    respond("a", "3,1,8,x", usual);
    BOOST_TEST(lines() == 3U);
    respond("a", "", std::nullopt);
    respond("a", "3,1,8,y", usual);
    BOOST_TEST(lines() == 3U);
    respond("a", "", usual);
    respond("a", "3,1,8,z", usual);
    BOOST_TEST(lines() == 4U);
    BOOST_TEST(unreadable() == 9U);
}

BOOST_AUTO_TEST_CASE(first_slowdown_of_a_service_is_logged_once) {
    load_report load = usual;
    load.slowdown = 2.5;
    respond("a", "", load);
    BOOST_TEST(lines() == 1U);
    respond("a", "", load);
    respond("b", "", load);
    BOOST_TEST(lines() == 1U);
    BOOST_TEST(pool.describe(now, "b").find("slowdown_pct=250") != std::string::npos);
}

// A quick refusal or failure says nothing of how fast a target serves.
BOOST_AUTO_TEST_CASE(only_successful_responses_teach_a_service_time) {
    load_report load{1, 0, 8, false};
    load.slowdown = 1.0;
    target_signals signals;
    signals.load = load;
    exchange.on_response(now, {"a", 0}, now - milliseconds(30), "r", signals);
    BOOST_TEST(pool.describe(now, "a").find("service_ms=0") != std::string::npos);
    signals.succeeded = true;
    exchange.on_response(now, {"a", 0}, now - milliseconds(30), "r", signals);
    BOOST_TEST(pool.describe(now, "a").find("service_ms=30") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(load_with_a_malformed_slowdown_is_used) {
    respond("a", "3,1,8,x", usual);
    BOOST_TEST(pool.describe(now, "a").find("reported=3+1") != std::string::npos);
    respond("b", "3,x", std::nullopt);
    BOOST_TEST(pool.describe(now, "b").find("reported") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
