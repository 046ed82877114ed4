#include "roles/gateway/rollout_exchange.hpp"

#include <bus.pb.h>

#include <boost/test/unit_test.hpp>

#include "support/fake_keyed_log.hpp"
#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

const std::string service = "llm";

/// The result of every process's evaluation, and the number of listed targets.
struct rollout_world {
    evaluation_result result = evaluation_result::undecided;
    /// The evaluation is undecided with fewer requests to the old version.
    std::uint64_t min_requests = 0;
    rollout_target_counts targets{10, 10};
};

/// A process that carries out rollouts and may decide them, over a real bus. The test sets the
/// counts that its gateway reports.
class rollout_process {
public:
    rollout_process(event_loop& loop, keyed_log& log, const rollout_world& world, int number)
        : own{static_cast<std::uint64_t>(number)},
          host("h" + std::to_string(number)),
          bus(message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value()),
          members(host, {}),
          ledger(loop, log, "rollouts", "status", counters,
                 {[this](const rollout_record& record) { on_record(record); },
                  [](const rollout_record& record) {
                      return keyed_record{record.service, name_of(record.state), 0};
                  },
                  [](bool) {}}),
          exchange(loop, *bus, members, own,
                   {[this] { return orders; }, [this](instant now) { return reports(now); },
                    [this](instant, const rollout_directive& received) { directive = received; },
                    [this](const rollout_order&) { return withdrawn; }},
                   ledger, counters,
                   {[&world](const rollout_order&) { return world.targets; },
                    [this, &world](const rollout_evidence& evidence_seen, double) {
                        last_evaluated = evidence_seen;
                        const bool has_enough =
                            evidence_seen.of_old_version().sent >= world.min_requests;
                        return rollout_evaluation{
                            has_enough ? world.result : evaluation_result::undecided, "judged"};
                    },
                    0.1}) {
        bus->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            if (is_running && accepts_messages) {
                exchange.on_message(origin, message);
            }
        });
        ticker = loop.call_every(milliseconds(20), [this] {
            if (is_running) {
                exchange.tick(monotonic_now());
            }
        });
    }

    /// Sizes fall with the numbers, so that the first process decides, then the second.
    cluster_member self() const {
        const double size = 10.0 - static_cast<double>(raw(own));
        return {host, own, bus->endpoint(), size, {}, {}};
    }

    void order(const rollout_order& order_given) {
        orders = {order_given};
        report.service = order_given.service;
        report.order = order_given.number;
        known_since = monotonic_now();
    }

    bool is_ended() const {
        return state() == rollout_state::completed || state() == rollout_state::rolled_back;
    }

    rollout_state state() const {
        const rollout_record* record = ledger.table().find(service);
        return record == nullptr ? rollout_state::running : record->state;
    }

    rollout_phase phase() const { return directive.phase; }

    incarnation_id own;
    std::string host;
    metrics counters;
    std::unique_ptr<message_bus> bus;
    token_allocator_selector members;
    rollout_ledger ledger;
    std::vector<rollout_order> orders;
    rollout_report report;
    rollout_evidence evidence;
    instant known_since{};
    rollout_directive directive;
    /// The evidence that this process evaluated last.
    rollout_evidence last_evaluated;
    bool withdrawn = false;
    /// False while the process is frozen or dead.
    bool is_running = true;
    bool accepts_messages = true;
    unsigned final_records_seen = 0;
    rollout_exchange exchange;
    std::unique_ptr<timer> ticker;

private:
    std::vector<rollout_gates::local_report> reports(instant now) {
        if (orders.empty() || is_ended()) {
            return {};
        }
        rollout_report current = report;
        current.known_for = now - known_since;
        return {{current, evidence, directive.phase}};
    }

    void on_record(const rollout_record& record) {
        final_records_seen += record.state == rollout_state::running ? 0 : 1;
    }
};

/// Three processes that know each other and an order.
struct rollout_exchange_fixture : loop_runner {
    fake_keyed_log log{loop};
    rollout_world world;
    std::vector<std::unique_ptr<rollout_process>> processes;
    rollout_order order_given{service, "v2", seconds(20), 7};

    rollout_exchange_fixture() {
        for (int number = 1; number <= 3; ++number) {
            processes.push_back(std::make_unique<rollout_process>(loop, log, world, number));
        }
        for (const auto& process : processes) {
            for (const auto& member : processes) {
                process->members.apply(member->self());
            }
        }
    }

    rollout_process& decider() { return *processes[0]; }
    rollout_process& successor() { return *processes[1]; }
    rollout_process& other() { return *processes[2]; }

    void order_all() {
        for (const auto& process : processes) {
            process->order(order_given);
            process->evidence.counts[{"r", ""}].sent = 100;
            process->evidence.counts[{"r", "t" + process->host}].sent = 3;
        }
    }

    /// Gives an order so old that its version moves as soon as it is found good.
    void order_all_near_the_deadline() {
        order_all();
        for (const auto& process : processes) {
            process->known_since -= seconds(18);
        }
    }

    bool all_in(rollout_phase phase) const {
        return std::all_of(processes.begin(), processes.end(), [phase](const auto& process) {
            return !process->is_running || process->phase() == phase;
        });
    }

    bool reach(rollout_phase phase, microseconds timeout = seconds(5)) {
        return run_until([this, phase] { return all_in(phase); }, timeout);
    }

    void mark_all_moved() {
        for (const auto& process : processes) {
            process->report.moved = true;
        }
    }

    bool all_ended_as(rollout_state state) {
        return run_until(
            [this, state] {
                return std::all_of(processes.begin(), processes.end(), [state](const auto& each) {
                    return !each->is_running || each->state() == state;
                });
            },
            seconds(8));
    }

    /// The number of the rollout's records in the log with a final state.
    std::size_t final_records() {
        std::size_t count = 0;
        log.read("rollouts", 0, microseconds(0), [&](const result<keyed_page>& page) {
            for (const keyed_record& record : page.value().records) {
                count += decode_rollout(record)->state == rollout_state::running ? 0 : 1;
            }
        });
        run_for(milliseconds(20));
        return count;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_exchange_test, rollout_exchange_fixture)

BOOST_AUTO_TEST_CASE(process_without_orders_sends_and_calls_nothing) {
    run_for(milliseconds(500));
    for (const auto& process : processes) {
        BOOST_TEST(process->bus->bytes_sent() == 0U);
        BOOST_TEST(!process->ledger.live());
    }
}

BOOST_AUTO_TEST_CASE(report_and_directive_on_the_wire_are_the_same_when_read) {
    rollout_report report{service, 7, milliseconds(1500), true, 100, 9, true};
    rollout_evidence evidence;
    response_counts& counts = evidence.counts[{"r", "t"}];
    counts = {10, 7, 2, 1, {}, {}};
    counts.first_event.counts()[3] = 9;
    counts.event_interval.counts()[latency_histogram::buckets - 1] = 4;
    const auto decoded = from_wire(to_wire(incarnation_id{4}, report, evidence));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((decoded->process == incarnation_id{4}));
    BOOST_TEST((decoded->evidence.counts == evidence.counts));
    BOOST_TEST((decoded->report.known_for == report.known_for));
    BOOST_TEST((decoded->report.moved && decoded->report.found_bad));
    BOOST_TEST(decoded->report.reached == 100U);
    BOOST_TEST(decoded->report.exposed == 9U);
    const rollout_directive directive{service, 7, "v2", rollout_phase::moving,
                                      0.4,     2, 99,   -seconds(3)};
    BOOST_TEST((from_wire(to_wire(directive)).value() == directive));
}

BOOST_AUTO_TEST_CASE(invalid_message_is_rejected) {
    wire::RolloutReport report;
    BOOST_TEST(!from_wire(report).has_value());
    report.set_service(service);
    BOOST_TEST(from_wire(report).has_value());
    report.set_known_for_ms(~0ULL);
    BOOST_TEST(!from_wire(report).has_value());
    wire::RolloutStand directive;
    directive.set_canary_part(2.0);
    BOOST_TEST(!from_wire(directive).has_value());
    directive.set_canary_part(0.5);
    directive.set_phase(static_cast<wire::RolloutPhase>(77));
    BOOST_TEST(!from_wire(directive).has_value());
}

BOOST_AUTO_TEST_CASE(decider_evaluates_all_reports_and_all_receive_its_directive) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    BOOST_TEST(decider().exchange.is_decider());
    BOOST_TEST(!successor().exchange.is_decider());
    BOOST_REQUIRE(
        run_until([this] { return decider().last_evaluated.of_old_version().sent == 300U; }));
    BOOST_TEST(decider().last_evaluated.of_new_version().sent == 9U);
    BOOST_TEST(successor().last_evaluated.counts.empty());
    BOOST_TEST(other().directive.group_size == 2U);
    BOOST_TEST((other().directive.group_seed == decider().directive.group_seed));
}

BOOST_AUTO_TEST_CASE(good_version_is_completed_once_all_have_moved) {
    world.result = evaluation_result::good;
    order_all_near_the_deadline();
    BOOST_REQUIRE(reach(rollout_phase::moving));
    decider().report.moved = true;
    successor().report.moved = true;
    // The final state doesn't come before the deadline.
    run_for(milliseconds(2200));
    BOOST_TEST((decider().state() == rollout_state::running));
    const instant moved = monotonic_now();
    other().report.moved = true;
    BOOST_TEST(all_ended_as(rollout_state::completed));
    BOOST_TEST((monotonic_now() - moved < milliseconds(250)));
    BOOST_TEST(run_until([this] { return log.end_of("status") == 2U; }));
}

BOOST_AUTO_TEST_CASE(bad_version_gets_no_requests_at_any_gateway_within_a_second) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    const instant started = monotonic_now();
    world.result = evaluation_result::bad;
    BOOST_TEST(run_until([this] {
        return std::all_of(processes.begin(), processes.end(), [](const auto& process) {
            return process->phase() == rollout_phase::waiting ||
                   process->state() == rollout_state::rolled_back;
        });
    }));
    BOOST_TEST((monotonic_now() - started < seconds(1)));
    BOOST_TEST(all_ended_as(rollout_state::rolled_back));
}

BOOST_AUTO_TEST_CASE(gateway_that_finds_version_bad_stops_it_everywhere_at_once) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    const instant started = monotonic_now();
    other().report.found_bad = true;
    BOOST_TEST(all_ended_as(rollout_state::rolled_back));
    BOOST_TEST((monotonic_now() - started < milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(gateway_without_decider_stops_bad_version_by_itself) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    decider().accepts_messages = false;
    successor().accepts_messages = false;
    other().report.found_bad = true;
    BOOST_TEST(all_ended_as(rollout_state::rolled_back));
    BOOST_TEST(final_records() == 1U);
}

BOOST_AUTO_TEST_CASE(decider_lost_in_waiting_phase_is_replaced) {
    world.targets.new_version = 0;
    order_all();
    BOOST_REQUIRE(run_until([this] { return log.end_of("rollouts") > 0; }));
    decider().is_running = false;
    world.targets.new_version = 10;
    BOOST_TEST(run_until([this] { return successor().exchange.is_decider(); }));
    BOOST_TEST(reach(rollout_phase::canary));
}

BOOST_AUTO_TEST_CASE(decider_lost_in_canary_phase_is_replaced_by_successor_with_all_live_reports) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    decider().is_running = false;
    BOOST_TEST(run_until([this] { return successor().exchange.is_decider(); }));
    BOOST_REQUIRE(
        run_until([this] { return successor().last_evaluated.of_old_version().sent == 200U; }));
    BOOST_TEST(all_in(rollout_phase::canary));
    world.result = evaluation_result::bad;
    BOOST_TEST(all_ended_as(rollout_state::rolled_back));
    BOOST_TEST(final_records() == 1U);
}

BOOST_AUTO_TEST_CASE(decider_lost_in_moving_phase_is_replaced_without_undoing_the_move) {
    world.result = evaluation_result::good;
    order_all_near_the_deadline();
    BOOST_REQUIRE(reach(rollout_phase::moving));
    world.min_requests = 200;
    decider().is_running = false;
    // Until the successor has the others' reports it sends no directive that undoes the move.
    const instant lost = monotonic_now();
    BOOST_TEST(!run_until(
        [this, lost] {
            return !all_in(rollout_phase::moving) || monotonic_now() - lost > seconds(2);
        },
        milliseconds(1900)));
    BOOST_TEST(successor().exchange.is_decider());
    mark_all_moved();
    // The lost process is awaited for as long as a process may be unreachable.
    BOOST_TEST(all_ended_as(rollout_state::completed));
    BOOST_TEST(final_records() == 1U);
}

BOOST_AUTO_TEST_CASE(decider_lost_after_final_state_leaves_status_readable) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    BOOST_REQUIRE(run_until([this] { return log.end_of("status") == 1U; }));
    world.result = evaluation_result::bad;
    BOOST_REQUIRE(run_until([this] { return decider().state() == rollout_state::rolled_back; }));
    decider().is_running = false;
    // The member record of the dead process is replaced by that of another.
    for (const auto& process : processes) {
        process->members.remove(decider().host);
    }
    BOOST_TEST(run_until([this] {
        return successor().counters.counter("rollout_status_appends_total") +
                   decider().counters.counter("rollout_status_appends_total") >=
               2U;
    }));
}

BOOST_AUTO_TEST_CASE(decider_that_resumes_after_freeze_changes_no_final_state) {
    world.result = evaluation_result::good;
    order_all_near_the_deadline();
    BOOST_REQUIRE(reach(rollout_phase::moving));
    decider().is_running = false;
    BOOST_REQUIRE(run_until([this] { return successor().exchange.is_decider(); }));
    world.result = evaluation_result::bad;
    BOOST_REQUIRE(all_ended_as(rollout_state::rolled_back));
    decider().report.moved = true;
    world.result = evaluation_result::good;
    decider().is_running = true;
    run_for(seconds(1));
    BOOST_TEST(final_records() == 1U);
    BOOST_TEST((decider().state() == rollout_state::rolled_back));
}

BOOST_AUTO_TEST_CASE(isolated_decider_completes_nothing) {
    world.result = evaluation_result::good;
    order_all_near_the_deadline();
    BOOST_REQUIRE(reach(rollout_phase::moving));
    decider().accepts_messages = false;
    BOOST_REQUIRE(run_until([this] { return successor().exchange.is_decider(); }));
    // It has moved, and as far as it knows the others have been gone for longer than a process may
    // be unreachable; but the log names another decider.
    decider().report.moved = true;
    run_for(seconds(3));
    BOOST_TEST((decider().state() == rollout_state::running));
    BOOST_TEST(final_records() == 0U);
    mark_all_moved();
    BOOST_TEST(all_ended_as(rollout_state::completed));
    BOOST_TEST(final_records() == 1U);
}

BOOST_AUTO_TEST_CASE(directive_of_other_process_changes_nothing) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    rollout_directive forged = other().directive;
    forged.phase = rollout_phase::moving;
    wire::Envelope message;
    *message.mutable_rollout_stand() = to_wire(forged);
    successor().bus->send(other().bus->endpoint(), message);
    BOOST_REQUIRE(run_until(
        [this] { return other().counters.counter("rollout_stands_ignored_total") == 1U; }));
    BOOST_TEST((other().phase() == rollout_phase::canary));
}

BOOST_AUTO_TEST_CASE(decider_not_named_in_log_completes_nothing_until_it_takes_over_again) {
    world.result = evaluation_result::good;
    order_all_near_the_deadline();
    BOOST_REQUIRE(reach(rollout_phase::moving));
    // The log names another process as the decider.
    rollout_record record = *decider().ledger.table().find(service);
    record.decider = incarnation_id{99};
    log.put("rollouts", service, encode_rollout(record).value);
    run_for(milliseconds(100));
    mark_all_moved();
    run_for(milliseconds(600));
    BOOST_TEST((decider().state() == rollout_state::running));
    // That process no longer writes, so the first one takes over the rollout again.
    BOOST_TEST(all_ended_as(rollout_state::completed));
    BOOST_TEST(final_records() == 1U);
}

BOOST_AUTO_TEST_CASE(lost_report_delays_and_changes_nothing) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    decider().accepts_messages = false;
    other().evidence.counts[{"r", ""}].sent = 150;
    run_for(milliseconds(300));
    decider().accepts_messages = true;
    BOOST_TEST(
        run_until([this] { return decider().last_evaluated.of_old_version().sent == 350U; }));
    BOOST_TEST(decider().exchange.is_decider());
    BOOST_TEST(!successor().exchange.is_decider());
}

BOOST_AUTO_TEST_CASE(log_outage_changes_no_state_and_final_state_follows_when_it_is_over) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    log.down = true;
    world.result = evaluation_result::bad;
    BOOST_TEST(reach(rollout_phase::waiting));
    run_for(milliseconds(500));
    BOOST_TEST((decider().state() == rollout_state::running));
    log.down = false;
    BOOST_TEST(all_ended_as(rollout_state::rolled_back));
    BOOST_TEST(final_records() == 1U);
}

BOOST_AUTO_TEST_CASE(withdrawn_order_is_recorded_as_rolled_back) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    for (const auto& process : processes) {
        process->withdrawn = true;
    }
    BOOST_TEST(all_ended_as(rollout_state::rolled_back));
    BOOST_TEST(decider().ledger.table().find(service)->reason == "withdrawn by the operator");
}

BOOST_AUTO_TEST_CASE(later_order_starts_a_new_rollout_after_final_state) {
    order_all();
    world.result = evaluation_result::bad;
    BOOST_REQUIRE(all_ended_as(rollout_state::rolled_back));
    world.result = evaluation_result::undecided;
    order_given.number = 8;
    for (const auto& process : processes) {
        process->order(order_given);
    }
    BOOST_TEST(reach(rollout_phase::canary));
    BOOST_TEST((decider().state() == rollout_state::running));
    BOOST_TEST(decider().ledger.table().find(service)->order == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
