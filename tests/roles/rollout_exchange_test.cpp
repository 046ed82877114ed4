#include "roles/gateway/rollout_exchange.hpp"

#include <bus.pb.h>

#include <boost/test/unit_test.hpp>

#include "support/fake_keyed_log.hpp"
#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

const std::string service = "llm";

/// What the judges of all processes think, and how many targets there are.
struct rollout_world {
    evaluation_result opinion = evaluation_result::undecided;
    /// Nothing is judged on fewer requests to the old version.
    std::uint64_t least_requests = 0;
    rollout_target_numbers targets{10, 10};
};

/// One process that carries out roll-outs and may decide them, over a real bus. Its entry is told
/// what the test wants to be counted.
class rollout_process {
public:
    rollout_process(event_loop& loop, keyed_log& log, const rollout_world& world, int number)
        : own{static_cast<std::uint64_t>(number)},
          host("h" + std::to_string(number)),
          bus(message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value()),
          members(host, {}),
          ledger(loop, log, "rollouts", "status", counters,
                 {[this](const rollout_record& record) { on_recorded(record); },
                  [](const rollout_record& record) {
                      return keyed_record{record.service, name_of(record.state), 0};
                  },
                  [](bool) {}}),
          exchange(loop, *bus, members, own,
                   {[this] { return orders; }, [this](instant now) { return reports(now); },
                    [this](instant, const rollout_directive& told) { stand = told; },
                    [this](const rollout_order&) { return withdrawn; }},
                   ledger, counters,
                   {[&world](const rollout_order&) { return world.targets; },
                    [this, &world](const rollout_evidence& shown, double) {
                        judged = shown;
                        const bool enough = shown.of_old_version().sent >= world.least_requests;
                        return rollout_evaluation{
                            enough ? world.opinion : evaluation_result::undecided, "judged"};
                    },
                    0.1}) {
        bus->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            if (runs && listens) {
                exchange.on_message(origin, message);
            }
        });
        ticker = loop.call_every(milliseconds(20), [this] {
            if (runs) {
                exchange.tick(monotonic_now());
            }
        });
    }

    /// Sizes fall with the numbers, so that the first decides, then the second.
    cluster_member self() const {
        const double size = 10.0 - static_cast<double>(raw(own));
        return {host, own, bus->endpoint(), size, {}, {}};
    }

    void order(const rollout_order& given) {
        orders = {given};
        report.service = given.service;
        report.order = given.number;
        known_since = monotonic_now();
    }

    bool is_ended() const {
        return state() == rollout_state::completed || state() == rollout_state::rolled_back;
    }

    rollout_state state() const {
        const rollout_record* found = ledger.table().find(service);
        return found == nullptr ? rollout_state::running : found->state;
    }

    rollout_phase phase() const { return stand.phase; }

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
    rollout_directive stand;
    /// What this process's judge was last shown.
    rollout_evidence judged;
    bool withdrawn = false;
    /// False while the process is frozen, or dead.
    bool runs = true;
    bool listens = true;
    unsigned recorded = 0;
    rollout_exchange exchange;
    std::unique_ptr<timer> ticker;

private:
    std::vector<entry_rollouts::told_evidence> reports(instant now) {
        if (orders.empty() || is_ended()) {
            return {};
        }
        rollout_report told = report;
        told.known_for = now - known_since;
        return {{told, evidence, stand.phase}};
    }

    void on_recorded(const rollout_record& record) {
        recorded += record.state == rollout_state::running ? 0 : 1;
    }
};

/// Three processes that know each other and an order.
struct rollout_exchange_fixture : loop_runner {
    fake_keyed_log log{loop};
    rollout_world world;
    std::vector<std::unique_ptr<rollout_process>> processes;
    rollout_order given{service, "v2", seconds(20), 7};

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
    rollout_process& entry() { return *processes[2]; }

    void order_all() {
        for (const auto& process : processes) {
            process->order(given);
            process->evidence.counts[{"r", ""}].sent = 100;
            process->evidence.counts[{"r", "t" + process->host}].sent = 3;
        }
    }

    /// Gives an order so old that the version is moved to once it is held for good.
    void order_all_near_the_deadline() {
        order_all();
        for (const auto& process : processes) {
            process->known_since -= seconds(18);
        }
    }

    bool all_in(rollout_phase phase) const {
        return std::all_of(processes.begin(), processes.end(), [phase](const auto& process) {
            return !process->runs || process->phase() == phase;
        });
    }

    bool reach(rollout_phase phase, microseconds longest = seconds(5)) {
        return run_until([this, phase] { return all_in(phase); }, longest);
    }

    void all_moved() {
        for (const auto& process : processes) {
            process->report.moved = true;
        }
    }

    bool all_ended_as(rollout_state state) {
        return run_until(
            [this, state] {
                return std::all_of(processes.begin(), processes.end(), [state](const auto& each) {
                    return !each->runs || each->state() == state;
                });
            },
            seconds(8));
    }

    /// The roll-out's records in the log that say a final state.
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

BOOST_AUTO_TEST_CASE(report_and_stand_on_the_wire_are_the_same_when_read) {
    rollout_report report{service, 7, milliseconds(1500), true, 100, 9, true};
    rollout_evidence evidence;
    response_counts& counts = evidence.counts[{"r", "t"}];
    counts = {10, 7, 2, 1, {}, {}};
    counts.first_event.counts()[3] = 9;
    counts.event_interval.counts()[latency_histogram::buckets - 1] = 4;
    const auto told = from_wire(to_wire(incarnation_id{4}, report, evidence));
    BOOST_REQUIRE(told.has_value());
    BOOST_TEST((told->process == incarnation_id{4}));
    BOOST_TEST((told->evidence.counts == evidence.counts));
    BOOST_TEST((told->report.known_for == report.known_for));
    BOOST_TEST((told->report.moved && told->report.found_bad));
    BOOST_TEST(told->report.reached == 100U);
    BOOST_TEST(told->report.exposed == 9U);
    const rollout_directive stand{service, 7, "v2", rollout_phase::moving, 0.4, 2, 99, -seconds(3)};
    BOOST_TEST((from_wire(to_wire(stand)).value() == stand));
}

BOOST_AUTO_TEST_CASE(message_that_makes_no_sense_is_not_taken) {
    wire::RolloutReport report;
    BOOST_TEST(!from_wire(report).has_value());
    report.set_service(service);
    BOOST_TEST(from_wire(report).has_value());
    report.set_known_for_ms(~0ULL);
    BOOST_TEST(!from_wire(report).has_value());
    wire::RolloutStand stand;
    stand.set_canary_part(2.0);
    BOOST_TEST(!from_wire(stand).has_value());
    stand.set_canary_part(0.5);
    stand.set_phase(static_cast<wire::RolloutPhase>(77));
    BOOST_TEST(!from_wire(stand).has_value());
}

BOOST_AUTO_TEST_CASE(decider_judges_the_evidence_of_all_and_all_hear_its_word) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    BOOST_TEST(decider().exchange.decides());
    BOOST_TEST(!successor().exchange.decides());
    BOOST_REQUIRE(run_until([this] { return decider().judged.of_old_version().sent == 300U; }));
    BOOST_TEST(decider().judged.of_new_version().sent == 9U);
    BOOST_TEST(successor().judged.counts.empty());
    BOOST_TEST(entry().stand.group_size == 2U);
    BOOST_TEST((entry().stand.group_seed == decider().stand.group_seed));
}

BOOST_AUTO_TEST_CASE(good_version_is_completed_once_all_have_moved) {
    world.opinion = evaluation_result::good;
    order_all_near_the_deadline();
    BOOST_REQUIRE(reach(rollout_phase::moving));
    decider().report.moved = true;
    successor().report.moved = true;
    // The end doesn't come before the deadline.
    run_for(milliseconds(2200));
    BOOST_TEST((decider().state() == rollout_state::running));
    const instant moved = monotonic_now();
    entry().report.moved = true;
    BOOST_TEST(all_ended_as(rollout_state::completed));
    BOOST_TEST((monotonic_now() - moved < milliseconds(250)));
    BOOST_TEST(run_until([this] { return log.end_of("status") == 2U; }));
}

BOOST_AUTO_TEST_CASE(bad_version_gets_nothing_at_all_entries_within_a_second) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    const instant found = monotonic_now();
    world.opinion = evaluation_result::bad;
    BOOST_TEST(run_until([this] {
        return std::all_of(processes.begin(), processes.end(), [](const auto& process) {
            return process->phase() == rollout_phase::waiting ||
                   process->state() == rollout_state::rolled_back;
        });
    }));
    BOOST_TEST((monotonic_now() - found < seconds(1)));
    BOOST_TEST(all_ended_as(rollout_state::rolled_back));
}

BOOST_AUTO_TEST_CASE(entry_that_finds_a_version_bad_stops_it_everywhere_at_once) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    const instant found = monotonic_now();
    entry().report.found_bad = true;
    BOOST_TEST(all_ended_as(rollout_state::rolled_back));
    BOOST_TEST((monotonic_now() - found < milliseconds(400)));
}

BOOST_AUTO_TEST_CASE(entry_that_reaches_no_decider_stops_a_bad_version_by_itself) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    decider().listens = false;
    successor().listens = false;
    entry().report.found_bad = true;
    BOOST_TEST(all_ended_as(rollout_state::rolled_back));
    BOOST_TEST(final_records() == 1U);
}

BOOST_AUTO_TEST_CASE(decider_dies_while_the_order_waits) {
    world.targets.new_version = 0;
    order_all();
    BOOST_REQUIRE(run_until([this] { return log.end_of("rollouts") > 0; }));
    decider().runs = false;
    world.targets.new_version = 10;
    BOOST_TEST(run_until([this] { return successor().exchange.decides(); }));
    BOOST_TEST(reach(rollout_phase::canary));
}

BOOST_AUTO_TEST_CASE(decider_dies_in_the_canary_and_its_successor_has_all_reports_of_the_living) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    decider().runs = false;
    BOOST_TEST(run_until([this] { return successor().exchange.decides(); }));
    BOOST_REQUIRE(run_until([this] { return successor().judged.of_old_version().sent == 200U; }));
    BOOST_TEST(all_in(rollout_phase::canary));
    world.opinion = evaluation_result::bad;
    BOOST_TEST(all_ended_as(rollout_state::rolled_back));
    BOOST_TEST(final_records() == 1U);
}

BOOST_AUTO_TEST_CASE(decider_dies_while_the_version_is_moved_to) {
    world.opinion = evaluation_result::good;
    order_all_near_the_deadline();
    BOOST_REQUIRE(reach(rollout_phase::moving));
    world.least_requests = 200;
    decider().runs = false;
    // Until it has the others' reports the successor says nothing that takes the move back.
    const instant lost = monotonic_now();
    BOOST_TEST(!run_until(
        [this, lost] {
            return !all_in(rollout_phase::moving) || monotonic_now() - lost > seconds(2);
        },
        milliseconds(1900)));
    BOOST_TEST(successor().exchange.decides());
    all_moved();
    // The lost one is waited for as long as it may be out of touch.
    BOOST_TEST(all_ended_as(rollout_state::completed));
    BOOST_TEST(final_records() == 1U);
}

BOOST_AUTO_TEST_CASE(decider_dies_after_the_end_and_operators_still_read_it) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    BOOST_REQUIRE(run_until([this] { return log.end_of("status") == 1U; }));
    world.opinion = evaluation_result::bad;
    BOOST_REQUIRE(run_until([this] { return decider().state() == rollout_state::rolled_back; }));
    decider().runs = false;
    // The dead process's members record is replaced by that of another.
    for (const auto& process : processes) {
        process->members.remove(decider().host);
    }
    BOOST_TEST(run_until([this] {
        return successor().counters.counter("rollout_status_appends_total") +
                   decider().counters.counter("rollout_status_appends_total") >=
               2U;
    }));
}

BOOST_AUTO_TEST_CASE(decider_that_freezes_and_wakes_changes_nothing_that_was_decided) {
    world.opinion = evaluation_result::good;
    order_all_near_the_deadline();
    BOOST_REQUIRE(reach(rollout_phase::moving));
    decider().runs = false;
    BOOST_REQUIRE(run_until([this] { return successor().exchange.decides(); }));
    world.opinion = evaluation_result::bad;
    BOOST_REQUIRE(all_ended_as(rollout_state::rolled_back));
    decider().report.moved = true;
    world.opinion = evaluation_result::good;
    decider().runs = true;
    run_for(seconds(1));
    BOOST_TEST(final_records() == 1U);
    BOOST_TEST((decider().state() == rollout_state::rolled_back));
}

BOOST_AUTO_TEST_CASE(decider_cut_off_from_the_others_completes_nothing_alone) {
    world.opinion = evaluation_result::good;
    order_all_near_the_deadline();
    BOOST_REQUIRE(reach(rollout_phase::moving));
    decider().listens = false;
    BOOST_REQUIRE(run_until([this] { return successor().exchange.decides(); }));
    // It has moved, and by its own view nobody else is there for longer than anyone may be out of
    // touch; the log says that another decides.
    decider().report.moved = true;
    run_for(seconds(3));
    BOOST_TEST((decider().state() == rollout_state::running));
    BOOST_TEST(final_records() == 0U);
    all_moved();
    BOOST_TEST(all_ended_as(rollout_state::completed));
    BOOST_TEST(final_records() == 1U);
}

BOOST_AUTO_TEST_CASE(word_of_one_that_does_not_decide_changes_nothing) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    rollout_directive other = entry().stand;
    other.phase = rollout_phase::moving;
    wire::Envelope message;
    *message.mutable_rollout_stand() = to_wire(other);
    successor().bus->send(entry().bus->endpoint(), message);
    BOOST_REQUIRE(run_until(
        [this] { return entry().counters.counter("rollout_stands_ignored_total") == 1U; }));
    BOOST_TEST((entry().phase() == rollout_phase::canary));
}

BOOST_AUTO_TEST_CASE(
    decider_that_the_log_does_not_name_completes_nothing_until_it_takes_over_again) {
    world.opinion = evaluation_result::good;
    order_all_near_the_deadline();
    BOOST_REQUIRE(reach(rollout_phase::moving));
    // By the log it is another that decides.
    rollout_record record = *decider().ledger.table().find(service);
    record.decider = incarnation_id{99};
    log.put("rollouts", service, encode_rollout(record).value);
    run_for(milliseconds(100));
    all_moved();
    run_for(milliseconds(600));
    BOOST_TEST((decider().state() == rollout_state::running));
    // Which no longer writes, so that the first takes the roll-out back.
    BOOST_TEST(all_ended_as(rollout_state::completed));
    BOOST_TEST(final_records() == 1U);
}

BOOST_AUTO_TEST_CASE(report_that_is_lost_delays_and_changes_nothing) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    decider().listens = false;
    entry().evidence.counts[{"r", ""}].sent = 150;
    run_for(milliseconds(300));
    decider().listens = true;
    BOOST_TEST(run_until([this] { return decider().judged.of_old_version().sent == 350U; }));
    BOOST_TEST(decider().exchange.decides());
    BOOST_TEST(!successor().exchange.decides());
}

BOOST_AUTO_TEST_CASE(store_that_is_dark_changes_no_state_and_the_end_follows_when_it_is_back) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    log.down = true;
    world.opinion = evaluation_result::bad;
    BOOST_TEST(reach(rollout_phase::waiting));
    run_for(milliseconds(500));
    BOOST_TEST((decider().state() == rollout_state::running));
    log.down = false;
    BOOST_TEST(all_ended_as(rollout_state::rolled_back));
    BOOST_TEST(final_records() == 1U);
}

BOOST_AUTO_TEST_CASE(order_that_is_withdrawn_is_shown_as_rolled_back) {
    order_all();
    BOOST_REQUIRE(reach(rollout_phase::canary));
    for (const auto& process : processes) {
        process->withdrawn = true;
    }
    BOOST_TEST(all_ended_as(rollout_state::rolled_back));
    BOOST_TEST(decider().ledger.table().find(service)->reason == "withdrawn by the operator");
}

BOOST_AUTO_TEST_CASE(later_order_begins_anew_after_an_end) {
    order_all();
    world.opinion = evaluation_result::bad;
    BOOST_REQUIRE(all_ended_as(rollout_state::rolled_back));
    world.opinion = evaluation_result::undecided;
    given.number = 8;
    for (const auto& process : processes) {
        process->order(given);
    }
    BOOST_TEST(reach(rollout_phase::canary));
    BOOST_TEST((decider().state() == rollout_state::running));
    BOOST_TEST(decider().ledger.table().find(service)->order == 8U);
}

BOOST_AUTO_TEST_SUITE_END()
