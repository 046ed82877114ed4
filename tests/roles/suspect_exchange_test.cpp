#include "roles/gateway/suspect_exchange.hpp"

#include <bus.pb.h>

#include <boost/test/unit_test.hpp>
#include <limits>
#include <set>

#include "support/fake_keyed_log.hpp"
#include "support/loop_runner.hpp"
#include "wrenswitch/decision/suspects/request_fingerprint.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

const digest request{1, 1};
const digest part = fingerprint_of_part(1);

/// Trials are due soon.
part_suspect_settings test_settings() {
    part_suspect_settings settings;
    settings.trial_delay = milliseconds(800);
    settings.trial_turn = milliseconds(700);
    return settings;
}

target_incarnation incarnation(int number) {
    return {"t" + std::to_string(number), 1};
}

/// The suspect exchange of one gateway, over a real bus.
class gateway_process {
public:
    gateway_process(event_loop& loop, keyed_log& log, int number)
        : host("h" + std::to_string(number)),
          bus(message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value()),
          members(host, {}),
          exchange(loop, log, "suspects", *bus, members, counters,
                   {[this](const digest& each) { quarantined.insert(each); }, [](bool) {}},
                   test_settings()) {
        bus->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            exchange.on_message(origin, message);
        });
        exchange.start();
        ticker = loop.call_every(milliseconds(50), [this] { exchange.tick(monotonic_now()); });
    }

    cluster_member self() const { return {host, {}, bus->endpoint(), 1.0, {}, {}, {}}; }

    void record_crash(int number) {
        exchange.record_crash(incarnation(number), std::span(&request, 1));
    }
    void record_part_crash(int number) {
        exchange.record_crash(incarnation(number), std::span(&part, 1));
    }
    suspicion suspicion_held() const { return exchange.suspicion_of(request); }
    suspicion part_suspicion_held() const { return exchange.suspicion_of(part); }

    std::string host;
    metrics counters;
    std::unique_ptr<message_bus> bus;
    token_allocator_selector members;
    std::set<digest> quarantined;
    suspect_exchange exchange;
    std::unique_ptr<timer> ticker;
};

/// Three gateways that know each other and share a log.
struct suspect_exchange_fixture : loop_runner {
    fake_keyed_log log{loop};
    gateway_process first{loop, log, 1};
    gateway_process second{loop, log, 2};
    gateway_process third{loop, log, 3};

    suspect_exchange_fixture() {
        for (gateway_process* each : {&first, &second, &third}) {
            for (const gateway_process* other : {&first, &second, &third}) {
                each->members.apply(other->self());
            }
        }
        run_for(milliseconds(50));
    }

    bool all_have(suspicion wanted) const {
        return first.suspicion_held() == wanted && second.suspicion_held() == wanted &&
               third.suspicion_held() == wanted;
    }

    bool all_have_part(suspicion wanted) const {
        return first.part_suspicion_held() == wanted && second.part_suspicion_held() == wanted &&
               third.part_suspicion_held() == wanted;
    }

    /// Crashes under the part at all gateways in turn, not at the same time.
    void crash_under_part(int count) {
        gateway_process* const gateways[] = {&first, &second, &third};
        for (int number = 0; number < count; ++number) {
            gateways[number % 3]->record_part_crash(number);
            run_for(milliseconds(350));
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(suspect_exchange_test, suspect_exchange_fixture)

BOOST_AUTO_TEST_CASE(crashes_seen_by_different_gateways_add_up_at_all) {
    first.record_crash(1);
    second.record_crash(2);
    BOOST_TEST(run_until([this] { return all_have(suspicion::suspected); }));
    third.record_crash(3);
    BOOST_TEST(run_until([this] { return all_have(suspicion::quarantined); }));
    BOOST_TEST(run_until([this] { return first.quarantined.contains(request); }));
}

BOOST_AUTO_TEST_CASE(crash_seen_by_several_gateways_counts_once) {
    first.record_crash(1);
    second.record_crash(1);
    third.record_crash(1);
    run_for(milliseconds(700));
    BOOST_TEST(all_have(suspicion::suspected));
    BOOST_TEST(first.exchange.crash_count(request) == 1U);
}

BOOST_AUTO_TEST_CASE(request_completed_at_one_gateway_is_cleared_at_all) {
    first.record_crash(1);
    first.record_crash(2);
    BOOST_TEST(run_until([this] { return all_have(suspicion::suspected); }));
    third.exchange.record_success(request);
    BOOST_TEST(run_until([this] { return all_have(suspicion::none); }));
}

BOOST_AUTO_TEST_CASE(request_completed_earlier_at_one_gateway_is_soon_cleared_at_all) {
    third.exchange.record_success(request);
    for (int number = 1; number <= 3; ++number) {
        first.record_crash(number);
    }
    BOOST_TEST(run_until([this] { return all_have(suspicion::none); }, seconds(2)));
    run_for(seconds(1));
    BOOST_TEST(all_have(suspicion::none));
}

BOOST_AUTO_TEST_CASE(crashes_during_log_outage_reach_all_and_gateways_started_later) {
    log.down = true;
    first.record_crash(1);
    second.record_crash(2);
    first.record_crash(3);
    BOOST_TEST(run_until([this] { return all_have(suspicion::quarantined); }, seconds(2)));
    log.down = false;
    gateway_process later(loop, log, 4);
    BOOST_TEST(
        run_until([&] { return later.suspicion_held() == suspicion::quarantined; }, seconds(3)));
}

BOOST_AUTO_TEST_CASE(crashes_under_a_part_add_up_over_gateways_until_all_quarantine_it) {
    crash_under_part(2);
    BOOST_TEST(run_until([this] { return all_have_part(suspicion::suspected); }));
    third.record_part_crash(2);
    BOOST_TEST(run_until([this] { return all_have_part(suspicion::quarantined); }));
    BOOST_TEST(run_until([this] { return first.quarantined.contains(part); }));
}

BOOST_AUTO_TEST_CASE(part_survived_at_one_gateway_is_cleared_at_all) {
    crash_under_part(2);
    BOOST_TEST(run_until([this] { return all_have_part(suspicion::suspected); }));
    third.exchange.record_survival(part, monotonic_now(), false);
    BOOST_TEST(run_until([this] { return all_have_part(suspicion::none); }));
    BOOST_TEST(run_until([this] { return first.exchange.crash_count(part) == 0; }));
}

BOOST_AUTO_TEST_CASE(crash_under_a_part_known_as_sound_is_told_only_if_no_survivor_follows) {
    first.exchange.record_survival(part, monotonic_now(), false);
    first.record_part_crash(1);
    run_for(milliseconds(100));
    first.exchange.record_survival(part, monotonic_now(), false);
    run_for(milliseconds(900));
    BOOST_TEST(second.exchange.crash_count(part) == 0U);
    first.record_part_crash(2);
    BOOST_TEST(run_until([this] { return second.exchange.crash_count(part) == 1; }));
}

BOOST_AUTO_TEST_CASE(crashes_under_a_part_reach_all_during_a_log_outage) {
    log.down = true;
    crash_under_part(3);
    BOOST_TEST(run_until([this] { return all_have_part(suspicion::quarantined); }, seconds(2)));
    log.down = false;
    gateway_process later(loop, log, 4);
    BOOST_TEST(run_until([&] { return later.exchange.crash_count(part) == 3; }, seconds(3)));
}

BOOST_AUTO_TEST_CASE(quarantined_part_is_tried_again_by_one_gateway_with_one_attempt) {
    crash_under_part(3);
    BOOST_TEST(run_until([this] { return all_have_part(suspicion::quarantined); }));
    const auto trying = [this] {
        std::vector<gateway_process*> found;
        for (gateway_process* each : {&first, &second, &third}) {
            if (each->exchange.parts().may_try(part)) {
                found.push_back(each);
            }
        }
        return found;
    };
    BOOST_REQUIRE(run_until([&] { return !trying().empty(); }));
    const std::vector<gateway_process*> found = trying();
    BOOST_REQUIRE(found.size() == 1U);
    part_suspect_tracker& parts = found.front()->exchange.parts();
    BOOST_TEST(parts.try_begin_trial(part));
    BOOST_TEST(!parts.try_begin_trial(part));
    BOOST_TEST(!parts.may_try(part));
    // The attempt survives the part.
    parts.end_trial(part);
    found.front()->exchange.record_survival(part, monotonic_now(), true);
    BOOST_TEST(run_until([this] { return all_have_part(suspicion::none); }));
}

BOOST_AUTO_TEST_CASE(turn_to_try_a_part_passes_to_another_gateway_if_the_first_makes_no_trial) {
    crash_under_part(3);
    std::set<std::string> had_a_turn;
    const bool all_in_turn = run_until(
        [&] {
            for (gateway_process* each : {&first, &second, &third}) {
                if (each->exchange.parts().may_try(part)) {
                    had_a_turn.insert(each->host);
                }
            }
            return had_a_turn.size() >= 2;
        },
        seconds(12));
    BOOST_TEST(all_in_turn);
}

BOOST_AUTO_TEST_CASE(trial_holds_no_other_quarantined_part_that_is_not_due) {
    const digest companion = fingerprint_of_part(2);
    const std::vector<digest> prompt{part, companion};
    crash_under_part(4);
    BOOST_REQUIRE(run_until([this] { return all_have_part(suspicion::quarantined); }));
    const auto may_try = [&](std::span<const digest> parts) {
        return first.exchange.parts().may_try_any(parts) ||
               second.exchange.parts().may_try_any(parts) ||
               third.exchange.parts().may_try_any(parts);
    };
    BOOST_TEST(run_until([&] { return may_try(prompt); }, seconds(12)));
    // Three newer crashes of its own, which the first part doesn't explain.
    for (int number = 10; number < 13; ++number) {
        for (gateway_process* each : {&first, &second, &third}) {
            each->exchange.record_crash(incarnation(number), std::span(&companion, 1));
        }
        run_for(milliseconds(350));
    }
    BOOST_REQUIRE(run_until([&] {
        return first.exchange.suspicion_of(companion) == suspicion::quarantined &&
               second.exchange.suspicion_of(companion) == suspicion::quarantined &&
               third.exchange.suspicion_of(companion) == suspicion::quarantined;
    }));
    BOOST_TEST(!may_try(prompt));
}

BOOST_AUTO_TEST_CASE(crash_with_an_impossible_time_counts_as_just_seen) {
    wire::Envelope message;
    for (const std::int64_t crashed : {std::numeric_limits<std::int64_t>::min(), std::int64_t{1},
                                       std::numeric_limits<std::int64_t>::max()}) {
        wire::SuspectEnd& end = *message.mutable_suspect_news()->add_ends();
        end.set_request_high(part.high);
        end.set_request_low(part.low);
        end.set_target("t" + std::to_string(crashed));
        end.set_crashed(crashed);
    }
    BOOST_TEST(first.exchange.on_message({}, message));
    BOOST_TEST(first.exchange.crash_count(part) == 3U);
    run_for(milliseconds(300));
    BOOST_TEST((first.exchange.suspicion_of(part) != suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(damaged_message_changes_nothing) {
    wire::Envelope message;
    wire::SuspectNews& batch = *message.mutable_suspect_news();
    batch.add_ends();
    BOOST_TEST(first.exchange.on_message({}, message));
    for (int number = 0; number < 1000; ++number) {
        batch.add_ends()->set_target("t");
    }
    BOOST_TEST(first.exchange.on_message({}, message));
    BOOST_TEST(!first.exchange.has_suspects());
    BOOST_TEST(!first.exchange.on_message({}, wire::Envelope{}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
