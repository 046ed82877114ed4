#include "roles/gateway/neighbour_exchange.hpp"

#include <bus.pb.h>

#include <boost/test/unit_test.hpp>

#include "roles/gateway/neighbour_codec.hpp"
#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// The exchange of one gateway, over a real bus.
class gateway_process {
public:
    gateway_process(event_loop& loop, int number)
        : host("h" + std::to_string(number)),
          bus(message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value()),
          members(host, {}),
          exchange(*bus, members, "z1", incarnation_id{static_cast<std::uint64_t>(number)}, events,
                   counters,
                   {[this](instant) {
                        made += 1;
                        return report;
                    },
                    [this] { early += 1; }}) {
        bus->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            exchange.on_message(origin, message);
        });
        report.bandwidth = 1.25e6;
        report.state = entry_state::accepting;
        ticker = loop.call_every(milliseconds(20), [this] {
            if (ticks) {
                exchange.tick(monotonic_now());
            }
        });
    }

    cluster_member self() const { return {host, {}, bus->endpoint(), 1.0, "z1", {}, {}}; }

    std::uint64_t count(std::string_view direction) {
        return counters.counter(
            labelled("gateway_neighbour_reports_total", {{"direction", direction}}));
    }

    std::string host;
    metrics counters;
    rate_limited_log events{0, counters};
    std::unique_ptr<message_bus> bus;
    token_allocator_selector members;
    neighbour_report report;
    int made = 0;
    int early = 0;
    bool ticks = false;
    neighbour_exchange exchange;
    std::unique_ptr<timer> ticker;
};

/// Three gateways of one failure domain that know each other, and one of another domain.
struct neighbour_exchange_fixture : loop_runner {
    gateway_process first{loop, 1};
    gateway_process second{loop, 2};
    gateway_process third{loop, 3};
    gateway_process distant{loop, 4};

    neighbour_exchange_fixture() {
        for (gateway_process* each : {&first, &second, &third}) {
            for (const gateway_process* other : {&first, &second, &third}) {
                each->members.apply(other->self());
            }
            cluster_member elsewhere = distant.self();
            elsewhere.failure_domain = "z2";
            each->members.apply(elsewhere);
        }
    }

    void start() {
        for (gateway_process* each : {&first, &second, &third, &distant}) {
            each->ticks = true;
        }
    }

    static const neighbour_report* known(const gateway_process& at, const gateway_process& of) {
        const received_report* found = at.exchange.table().find(of.host);
        return found == nullptr ? nullptr : &found->report;
    }

    /// Has the second gateway send a message to the first.
    void send_raw(const neighbour_report& report) {
        wire::Envelope message;
        *message.mutable_neighbour_report() = encode_neighbour_report(report);
        second.bus->send(first.bus->endpoint(), message);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(neighbour_exchange_test, neighbour_exchange_fixture)

BOOST_AUTO_TEST_CASE(report_survives_the_codec) {
    neighbour_report report;
    report.host = "h1";
    report.process = incarnation_id{7};
    report.number = 8;
    report.bandwidth = 1.25e6;
    report.received_per_second = 1.0;
    report.sent_per_second = 2.0;
    report.state = entry_state::stepped_back;
    report.step_back = {{"a", 3.5}};
    report.connections = 9;
    report.accounts = {{"a", 1.5}, {"b", 0.5}};
    report.asks = true;
    const neighbour_report read = decode_neighbour_report(encode_neighbour_report(report));
    BOOST_TEST(read.host == "h1");
    BOOST_TEST(raw(read.process) == 7U);
    BOOST_TEST(read.number == 8U);
    BOOST_TEST(read.bandwidth == 1.25e6);
    BOOST_TEST(read.carried() == 2.0);
    BOOST_TEST((read.state == entry_state::stepped_back));
    BOOST_TEST((read.step_back == report.step_back));
    BOOST_TEST(read.connections == 9U);
    BOOST_TEST((read.accounts == report.accounts));
    BOOST_TEST(read.asks);
    BOOST_TEST(find_fault(read) == "");
}

BOOST_AUTO_TEST_CASE(reports_reach_the_own_failure_domain_and_no_other) {
    first.report.accounts = {{"a", 5e5}};
    start();
    BOOST_TEST(run_until([&] {
        return known(second, first) != nullptr && known(third, first) != nullptr &&
               known(first, third) != nullptr;
    }));
    BOOST_TEST((known(second, first)->accounts == first.report.accounts));
    run_for(milliseconds(300));
    BOOST_TEST(distant.count("received") == 0U);
}

// A restarted gateway must know of an account that is too large before callers reach it.
BOOST_AUTO_TEST_CASE(starting_gateway_learns_the_reports_within_300_ms) {
    second.report.accounts = {{"a", 5e5}};
    second.ticks = third.ticks = true;
    run_for(milliseconds(600));
    BOOST_TEST(!first.exchange.is_settled());
    const instant begin = monotonic_now();
    first.ticks = true;
    BOOST_TEST(run_until([&] { return first.exchange.is_settled(); }));
    BOOST_TEST((monotonic_now() - begin < milliseconds(300)));
    BOOST_REQUIRE(known(first, second) != nullptr);
    BOOST_TEST(known(first, second)->rate_of("a") == 5e5);
}

BOOST_AUTO_TEST_CASE(starting_gateway_waits_300_ms_for_silent_neighbours) {
    second.bus->on_message([](const message_origin&, const wire::Envelope&) {});
    third.bus->on_message([](const message_origin&, const wire::Envelope&) {});
    const instant begin = monotonic_now();
    first.ticks = true;
    BOOST_TEST(run_until([&] { return first.exchange.is_settled(); }));
    BOOST_TEST((monotonic_now() - begin >= milliseconds(300)));
    BOOST_TEST((monotonic_now() - begin < milliseconds(600)));
}

BOOST_AUTO_TEST_CASE(single_gateway_does_not_wait) {
    first.members.remove(second.host);
    first.members.remove(third.host);
    first.ticks = true;
    run_for(milliseconds(60));
    BOOST_TEST(first.exchange.is_settled());
}

BOOST_AUTO_TEST_CASE(change_of_state_is_sent_at_once_and_at_most_every_250_ms) {
    start();
    run_for(milliseconds(600));
    const int early_before = second.early;
    first.report.state = entry_state::announced;
    first.report.step_back = {{"a", 2e6}};
    first.exchange.request_state_report();
    BOOST_TEST(run_until([&] { return known(second, first)->state == entry_state::announced; },
                         milliseconds(60)));
    BOOST_TEST(second.early == early_before + 1);
    const std::uint64_t sent_before = first.count("sent");
    for (int turn = 0; turn < 50; ++turn) {
        first.exchange.request_state_report();
        run_for(milliseconds(20));
    }
    // One each 250 ms to each of two neighbours, and the periodic ones do not add to them.
    BOOST_TEST(first.count("sent") - sent_before <= 12U);
}

BOOST_AUTO_TEST_CASE(demand_that_rises_by_half_is_reported_early) {
    first.report.accounts = {{"a", 1e5}};
    start();
    run_for(milliseconds(600));
    const int early_before = second.early;
    first.report.accounts = {{"a", 1.4e5}};
    first.exchange.check_demand(monotonic_now());
    run_for(milliseconds(300));
    BOOST_TEST(second.early == early_before);
    first.report.accounts = {{"a", 3e5}};
    first.exchange.check_demand(monotonic_now());
    BOOST_TEST(
        run_until([&] { return known(second, first)->rate_of("a") == 3e5; }, milliseconds(60)));
    BOOST_TEST(second.early == early_before + 1);
}

BOOST_AUTO_TEST_CASE(steady_exchange_costs_four_reports_per_second_and_neighbour) {
    start();
    run_for(milliseconds(500));
    const std::uint64_t before = first.count("received");
    run_for(seconds(2));
    BOOST_TEST(first.count("received") - before <= 18U);
    BOOST_TEST(first.count("received") - before >= 10U);
}

BOOST_AUTO_TEST_CASE(nonsense_is_counted_and_leaves_no_trace) {
    neighbour_report report;
    report.host = second.host;
    report.number = 1;
    report.state = entry_state::accepting;
    report.bandwidth = -1.0;
    send_raw(report);
    send_raw(report);
    report.bandwidth = 1e6;
    report.version = 9;
    send_raw(report);
    report.version = neighbour_report::current_version;
    report.host = first.host;
    send_raw(report);
    BOOST_TEST(run_until(
        [&] { return first.counters.counter("gateway_neighbour_reports_refused_total") == 4U; }));
    BOOST_TEST(known(first, second) == nullptr);
    BOOST_TEST(first.exchange.table().find(first.host) == nullptr);
    BOOST_TEST(first.early == 0);
}

BOOST_AUTO_TEST_SUITE_END()
