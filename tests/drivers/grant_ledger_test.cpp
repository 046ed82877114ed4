#include "wrenswitch/drivers/grant_ledger.hpp"

#include <boost/test/unit_test.hpp>

#include "support/fake_keyed_log.hpp"
#include "support/loop_runner.hpp"
#include "wrenswitch/decision/grants/grant_holder.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

constexpr const char* account = "a";

/// One process that holds grants: a ledger and a holder on a shared log.
class holding_process {
public:
    holding_process(event_loop& loop, keyed_log& log, std::string host, std::uint64_t incarnation,
                    tokens limit)
        : ledger(loop, log, "grants", counters,
                 {[this] { return holder.compose(monotonic_now()); }, [] {},
                  [this] { holder.resolved(); }, [](bool) {}}),
          holder(std::move(host), incarnation_id{incarnation}, {}, ledger.table()) {
        holder.set_limit(account, limit);
        ledger.start();
    }

    metrics counters;
    grant_ledger ledger;
    grant_holder holder;
};

/// A log in memory on a loop.
struct ledger_fixture : loop_runner {
    fake_keyed_log log{loop};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(grant_ledger_test, ledger_fixture)

BOOST_AUTO_TEST_CASE(grant_written_and_read_is_the_same) {
    const grant_record record{{"tenant|x", "host"}, {incarnation_id{5}, 10, 300, 20, 7}};
    const auto decoded = decode_grant(encode_grant(record));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == record));
}

BOOST_AUTO_TEST_CASE(damaged_grant_is_not_read) {
    keyed_record record = encode_grant({{"t", "h"}, {incarnation_id{5}, 0, 300, 20, 0}});
    record.value = "\xff\xff\xff";
    BOOST_TEST(!decode_grant(record).has_value());
    record.key = "no separator";
    BOOST_TEST(!decode_grant(record).has_value());
}

BOOST_AUTO_TEST_CASE(draw_is_in_force_at_every_process) {
    holding_process first(loop, log, "h1", 1, 10'000);
    holding_process second(loop, log, "h2", 2, 10'000);
    BOOST_REQUIRE(run_until([&] { return first.ledger.live() && second.ledger.live(); }));
    first.holder.set_waiting(account, 4000, 4000);
    first.ledger.append_if_due();
    BOOST_TEST(run_until([&] { return second.ledger.table().granted(account) >= 4000; }));
    BOOST_TEST(first.holder.free(account) >= 4000);
}

BOOST_AUTO_TEST_CASE(many_processes_that_draw_lose_few_races) {
    constexpr tokens limit = 10'000'000;
    std::vector<std::unique_ptr<holding_process>> processes;
    for (std::uint64_t number = 1; number <= 12; ++number) {
        processes.push_back(std::make_unique<holding_process>(
            loop, log, "h" + std::to_string(number), number, limit));
    }
    BOOST_REQUIRE(run_until([&] {
        return std::all_of(processes.begin(), processes.end(),
                           [](const auto& process) { return process->ledger.live(); });
    }));
    for (int round = 0; round < 20; ++round) {
        for (std::size_t index = 0; index < processes.size(); ++index) {
            processes[index]->holder.set_waiting(account, 1000 * (round + 1), 1000 * (round + 1));
            processes[index]->ledger.append_if_due();
            run_for(milliseconds(5));
        }
    }
    std::uint64_t appends = 0;
    std::uint64_t conflicts = 0;
    for (const auto& process : processes) {
        appends += process->counters.counter("grant_appends_total");
        conflicts += process->counters.counter("grant_append_conflicts_total");
    }
    BOOST_TEST(appends >= 200U);
    BOOST_TEST(conflicts * 3 < appends);
}

BOOST_AUTO_TEST_CASE(draw_without_an_answer_is_learnt_from_the_log) {
    holding_process process(loop, log, "h1", 1, 10'000);
    BOOST_REQUIRE(run_until([&] { return process.ledger.live(); }));
    log.lost_answers = 1.0;
    process.holder.set_waiting(account, 4000, 4000);
    process.ledger.append_if_due();
    BOOST_TEST(run_until([&] { return process.holder.free(account) >= 4000; }));
}

BOOST_AUTO_TEST_CASE(process_without_the_log_keeps_what_it_has_and_draws_no_more) {
    holding_process process(loop, log, "h1", 1, 10'000);
    BOOST_REQUIRE(run_until([&] { return process.ledger.live(); }));
    process.holder.set_waiting(account, 4000, 4000);
    process.ledger.append_if_due();
    BOOST_REQUIRE(run_until([&] { return process.holder.free(account) >= 4000; }));
    log.down = true;
    BOOST_TEST(
        (process.holder.reserve(monotonic_now(), account, 4000) == reserve_outcome::reserved));
    process.ledger.append_if_due();
    run_for(milliseconds(50));
    BOOST_TEST((process.holder.reserve(monotonic_now(), account, 4000) ==
                reserve_outcome::short_of_tokens));
}

/// The promise itself: hosts that draw, spend, return, die and start again on a log that loses
/// answers and does appends late never spend more than the budget.
BOOST_AUTO_TEST_CASE(outage_of_the_log_does_not_count_as_the_time_of_an_append) {
    holding_process process(loop, log, "h1", 1, 1'000'000);
    BOOST_REQUIRE(run_until([&] { return process.ledger.live(); }));
    log.down = true;
    process.holder.set_waiting(account, 4000, 4000);
    process.ledger.append_if_due();
    run_until([] { return false; }, milliseconds(900));
    log.down = false;
    BOOST_REQUIRE(run_until([&] {
        process.ledger.append_if_due();
        return process.holder.free(account) >= 4000;
    }));
    // Homes hold several times what an append takes: an outage would make them draw far too much.
    BOOST_TEST((process.ledger.append_time() < milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(spending_on_a_faulty_log_never_exceeds_the_budget) {
    constexpr tokens limit = 60'000;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        fake_keyed_log faulty(loop);
        faulty.random = random_source(seed);
        faulty.lost_answers = 0.2;
        faulty.late_appends = 0.2;
        random_source random(seed * 100);
        std::vector<std::unique_ptr<holding_process>> processes;
        std::uint64_t incarnation = 1;
        for (const char* host : {"h1", "h2", "h3"}) {
            processes.push_back(
                std::make_unique<holding_process>(loop, faulty, host, incarnation++, limit));
        }
        tokens spent = 0;
        for (int step = 0; step < 250; ++step) {
            const std::size_t index = random.below(processes.size());
            holding_process& process = *processes[index];
            const auto amount = static_cast<tokens>(random.below(1500));
            const instant now = monotonic_now();
            if (process.holder.reserve(now, account, amount) == reserve_outcome::reserved) {
                process.holder.spend(now, account, amount);
                spent += amount;
            }
            const auto waiting = static_cast<tokens>(random.below(4000));
            process.holder.set_waiting(account, waiting, waiting);
            process.ledger.append_if_due();
            if (random.below(40) == 0) {
                const std::string host = "h" + std::to_string(index + 1);
                processes[index].reset();
                processes[index] =
                    std::make_unique<holding_process>(loop, faulty, host, incarnation++, limit);
            }
            run_for(milliseconds(1));
        }
        BOOST_TEST_CONTEXT("seed " << seed) {
            BOOST_TEST(spent <= limit);
            BOOST_TEST(spent > limit / 4);
            BOOST_TEST(faulty.appends_done > 5U);
        }
        processes.clear();
        run_for(milliseconds(800));
    }
}

BOOST_AUTO_TEST_SUITE_END()
