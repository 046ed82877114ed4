#include "platform/prompt_crash_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

struct started_prompt_crash_fleet : prompt_crash_fleet {
    started_prompt_crash_fleet() { start_all(); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(crashing_part_live, started_prompt_crash_fleet)

BOOST_AUTO_TEST_CASE(prompt_part_that_crashed_five_engines_reaches_no_more_than_two_others) {
    send_crashing_in_turn(30);
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(late_arrivals() <= most_late_arrivals);
}

BOOST_AUTO_TEST_CASE(part_in_resumable_streams_is_not_repeated_into_ever_new_engines) {
    play_load(seconds(1), false);
    send_crashing_in_turn(20, milliseconds(200), "/resume/");
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(late_arrivals() <= most_late_arrivals);
}

BOOST_AUTO_TEST_CASE(sound_requests_beside_a_crashing_part_are_served_as_before) {
    play_load(seconds(2), false);
    finish_calls();
    const double before = service_since({}).share();
    play_load(seconds(3), true);
    const instant known = monotonic_now();
    play_load(seconds(4), true);
    finish_calls();
    const service after = service_since(known);
    BOOST_TEST_MESSAGE("sound requests served: " << before << " before, " << after.share()
                                                 << " after, of " << after.sent);
    BOOST_TEST(before > 0.95);
    BOOST_TEST(after.share() >= 0.9 * before);
    BOOST_TEST(after.quarantined == 0U);
    BOOST_TEST(late_arrivals() <= most_late_arrivals);
}

BOOST_AUTO_TEST_CASE(part_is_the_same_one_under_two_accounts) {
    for (std::size_t turn = 0; turn < 20; ++turn) {
        send_crashing(entry_in_turn(turn), "/stream/", turn % 2 == 0 ? "key-1" : "key-2");
        run_for(milliseconds(200));
    }
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(late_arrivals() <= most_late_arrivals);
}

BOOST_AUTO_TEST_CASE(entries_that_start_again_hold_to_the_part_that_killed_ones_knew) {
    send_crashing_in_turn(5, milliseconds(400));
    for (entry& each : entries) {
        each.process->signal(SIGKILL);
    }
    start_all();
    const instant restarted = monotonic_now();
    run_for(contact);
    until_all_run();
    send_crashing_in_turn(12);
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(late_arrivals(restarted + contact) == 0U);
}

BOOST_AUTO_TEST_CASE(part_is_known_to_all_entries_while_the_log_is_dark_and_to_new_ones_after) {
    store.silent = true;
    run_for(seconds(1));
    send_crashing_in_turn(5, milliseconds(400));
    run_for(seconds(1));
    send_crashing_in_turn(9);
    BOOST_TEST(late_arrivals() <= most_late_arrivals);
    // The entry that saw the last crash is gone before the log is back.
    launch(entries.back());
    store.silent = false;
    until_ready(entries.back());
    const instant restarted = monotonic_now();
    run_for(contact);
    until_all_run();
    send_crashing_in_turn(9);
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(late_arrivals(restarted + contact) == 0U);
}

BOOST_AUTO_TEST_CASE(entry_that_joins_later_holds_to_the_part) {
    send_crashing_in_turn(6, milliseconds(400));
    add_entry();
    launch(entries.back());
    until_ready(entries.back());
    until_all_run();
    const instant joined = monotonic_now();
    for (int turn = 0; turn < 6; ++turn) {
        send_crashing(entries.back());
        run_for(milliseconds(200));
    }
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(late_arrivals(joined) == 0U);
}

BOOST_AUTO_TEST_CASE(entry_that_was_frozen_holds_to_the_part_that_it_did_not_see) {
    entries.back().process->signal(SIGSTOP);
    for (std::size_t turn = 0; turn < 6; ++turn) {
        send_crashing(entries[turn % 2]);
        run_for(milliseconds(400));
    }
    run_for(seconds(2));
    entries.back().process->signal(SIGCONT);
    const instant resumed = monotonic_now();
    run_for(contact);
    until_all_run();
    for (int turn = 0; turn < 6; ++turn) {
        send_crashing(entries.back());
        run_for(milliseconds(200));
    }
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(late_arrivals(resumed + contact) == 0U);
}

BOOST_AUTO_TEST_CASE(crash_that_looks_like_the_end_of_a_response_without_length_counts) {
    for (const auto& engine : engines) {
        engine->delimiter = body_end::connection;
        engine->crashes_inside_event = false;
        engine->events_before_crash = 1;
    }
    send_crashing_in_turn(30);
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(late_arrivals() <= most_late_arrivals);
}

BOOST_AUTO_TEST_CASE(stream_without_length_that_ends_inside_an_event_is_evidence_of_a_crash) {
    for (const auto& engine : engines) {
        engine->delimiter = body_end::connection;
        engine->events_before_crash = 1;
    }
    send_crashing_in_turn(30);
    finish_calls();
    BOOST_TEST(crashes.size() >= 3U);
    BOOST_TEST(late_arrivals() <= most_late_arrivals);
    for (call& each : calls) {
        BOOST_TEST(!each.is_served());
    }
}

BOOST_AUTO_TEST_CASE(
    continuation_that_ends_with_its_connection_before_an_event_is_no_end_of_the_stream) {
    play_load(seconds(1), false);
    finish_calls();
    calls.clear();
    // The first engine sends an event, and the one that goes on ends before one of its own.
    for (const auto& engine : engines) {
        engine->events_before_crash = 1;
    }
    send_crashing(entries.front(), "/resume/");
    BOOST_REQUIRE(run_until([this] { return crashes.size() == 1; }));
    for (const auto& engine : engines) {
        engine->delimiter = body_end::connection;
        engine->events_before_crash = 0;
        engine->crashes_inside_event = false;
    }
    finish_calls();
    BOOST_TEST(crashes.size() == 2U);
    BOOST_TEST(calls.front().socket.received().find("id: 1") != std::string::npos);
    BOOST_TEST(!calls.front().is_served());
}

BOOST_AUTO_TEST_CASE(requests_beside_engines_that_crash_in_waves_are_not_quarantined) {
    const instant until = monotonic_now() + seconds(8);
    for (std::size_t turn = 0; monotonic_now() < until; ++turn) {
        for (const entry& each : entries) {
            send_sound(each, turn % 2 == 0 ? "/stream/" : "/resume/");
        }
        if (turn % 10 == 0) {
            end(*engines[turn / 10 % engines.size()]);
            end(*engines[(turn / 10 + 3) % engines.size()]);
        }
        run_for(milliseconds(40));
    }
    finish_calls();
    const service total = service_since({});
    BOOST_TEST_MESSAGE(total.sent << " requests, served " << total.served);
    BOOST_TEST(total.sent > 400U);
    BOOST_TEST(total.quarantined == 0U);
}

BOOST_AUTO_TEST_CASE(
    part_that_all_requests_share_is_served_again_soon_after_a_mistaken_quarantine) {
    // Nothing has survived the part yet when all engines crash for reasons of their own.
    for (std::size_t turn = 0; turn < 4 * engines.size(); ++turn) {
        send_sound(entry_in_turn(turn));
    }
    run_for(milliseconds(20));
    for (const auto& engine : engines) {
        end(*engine);
    }
    until_all_run();
    play_load(seconds(3), false);
    const instant recovered = monotonic_now();
    play_load(seconds(2), false);
    finish_calls();
    BOOST_TEST(sum_of("gateway_parts_quarantined_total") > 0.0);
    BOOST_TEST(service_since(recovered).share() >= 0.9);
    BOOST_TEST(service_since(recovered).quarantined == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
