#include <boost/test/unit_test.hpp>
#include <csignal>

#include "support/fleet_fixture.hpp"

using namespace wrenswitch;
using wrenswitch::test::fleet_fixture;

BOOST_FIXTURE_TEST_SUITE(failure_test, fleet_fixture)

BOOST_AUTO_TEST_CASE(entry_killed_mid_stream_leaves_an_answer_that_a_repeat_joins) {
    start_usual_fleet(100'000);
    // The home of the account's budget must live on, so the other entry is the one that dies.
    start_entry("entry3");
    wait_for_event("entry3", "entry_active");
    wait_until([&] { return number("entry3", "show configuration", "version") >= 3; },
               "entry3 has the configuration");
    const auto first = complete("entry3", "a long review", 250, true, "review-1");
    wait_until([&] { return !first->body.empty(); }, "the first token");
    kill_process("entry3");
    const auto repeat = complete("entry1", "a long review", 250, true, "review-1");
    wait_for(repeat, "the repeat's answer");
    BOOST_TEST(repeat->status == 200U);
    BOOST_TEST(repeat->body.find("[DONE]") != std::string::npos);
    BOOST_TEST(repeat->body.find("\"t0 \"") != std::string::npos);
    // If the entry that died was the home, a second run is allowed; it is billed once.
    wait_for_balance("entry1");
    BOOST_TEST(most_runs_of_a_key() <= 2);
    BOOST_TEST(number("entry1", "show budget", "unbacked") == 0);
}

BOOST_AUTO_TEST_CASE(guard_killed_mid_answer_costs_one_try_and_the_answer_comes_whole) {
    start_usual_fleet(100'000);
    const auto call = complete("entry1", "a long review", 250);
    std::string busy;
    wait_until(
        [&] {
            for (const char* engine : {"engine1", "engine2"}) {
                if (get(engine, "/counts")["runs"].get<long>() > 0) {
                    busy = engine;
                }
            }
            return !busy.empty();
        },
        "the run starts");
    kill_process(busy == "engine1" ? "guard1" : "guard2");
    wait_for(call, "the answer from the other target");
    BOOST_TEST(call->status == 200U);
    BOOST_TEST(call->json()["usage"]["completion_tokens"].get<long>() > 0);
    // What the lost guard had is charged at its bound once the guard is fenced.
    wait_until([&] { return number("entry1", "show budget", "burnt") > 0; },
               "the lost run is charged");
    const long charged =
        number("entry1", "show budget", "billed") + number("entry1", "show budget", "burnt");
    BOOST_TEST(charged >= counted_tokens());
}

BOOST_AUTO_TEST_CASE(
    call_that_may_not_be_repeated_and_lost_its_guard_is_unknown_and_never_runs_again) {
    start_usual_fleet(100'000);
    post("service1", "/faults", R"({"duration_ms": 20000})");
    const auto first = call_service("entry1", "override-1");
    wait_until([&] { return counted_runs() == 1; }, "the call runs");
    kill_process("guard3");
    start_guard("guard4", "plain", "service1");
    wait_for_event("guard4", "guard_active");
    wait_for(first, "the outcome");
    BOOST_TEST(first->status == 502U);
    BOOST_TEST(first->ran() == "unknown");
    for (const char* entry : {"entry1", "entry2"}) {
        const auto repeat = call_service(entry, "override-1");
        wait_for(repeat, "the repeat's outcome");
        BOOST_TEST(repeat->status != 200U);
        BOOST_TEST(repeat->ran() == "unknown");
    }
    BOOST_TEST(most_runs_of_a_key() == 1);
}

BOOST_AUTO_TEST_CASE(call_that_may_not_be_repeated_sent_through_all_entries_at_once_runs_once) {
    start_usual_fleet(100'000);
    std::vector<std::shared_ptr<test::caller_call>> calls;
    for (int round = 0; round < 10; ++round) {
        for (const char* entry : {"entry1", "entry2"}) {
            calls.push_back(call_service(entry, "override-" + std::to_string(round)));
            calls.push_back(call_service(entry, "override-" + std::to_string(round)));
        }
    }
    for (const auto& call : calls) {
        wait_for(call, "an answer");
        BOOST_TEST(call->status == 200U);
    }
    BOOST_TEST(most_runs_of_a_key() == 1);
    BOOST_TEST(counted_runs() == 10);
}

BOOST_AUTO_TEST_CASE(
    call_that_may_not_be_repeated_stays_known_after_its_home_and_the_log_were_lost) {
    start_usual_fleet(100'000);
    // Whichever of both entries answers this holds the key grant, before a third one comes.
    wait_for(call_service("entry1", "first"), "an answer");
    start_entry("entry3");
    wait_for_event("entry3", "entry_active");
    wait_until([&] { return number("entry3", "show configuration", "version") >= 3; },
               "entry3 has the configuration");
    post("log", "/faults", R"({"outage": true})");
    wait_for_event("entry1", "log_unreachable");
    wait_for_event("entry2", "log_unreachable");
    const auto alarm = call_service("entry2", "frost-alarm-1");
    wait_for(alarm, "the alarm's answer");
    BOOST_TEST(alarm->status == 200U);
    // Nothing of that run is written. Both first homes die with what they know.
    kill_process("entry1");
    kill_process("entry2");
    post("log", "/faults", R"({"outage": false})");
    wait_until(
        [&] {
            const auto repeat = call_service("entry3", "frost-alarm-1");
            wait_for(repeat, "the repeat's outcome");
            BOOST_TEST(repeat->status != 200U);
            return repeat->ran() == "unknown";
        },
        "the guards' marks tell that the alarm ran");
    const auto next = call_service("entry3", "frost-alarm-2");
    wait_for(next, "the next alarm's answer");
    BOOST_TEST(next->status == 200U);
    BOOST_TEST(most_runs_of_a_key() == 1);
}

BOOST_AUTO_TEST_CASE(reply_lost_by_the_target_is_unknown_and_not_repeated) {
    start_usual_fleet(100'000);
    post("service1", "/faults", R"({"lose_replies": true})");
    const auto call = call_service("entry1", "override-1");
    wait_for(call, "the outcome");
    BOOST_TEST(call->ran() == "unknown");
    BOOST_TEST(counted_runs() == 1);
}

BOOST_AUTO_TEST_CASE(key_with_another_body_is_refused) {
    start_usual_fleet(100'000);
    const auto first = complete("entry1", "one", 5, false, "key-1");
    wait_for(first, "the answer");
    const auto second = complete("entry2", "two", 5, false, "key-1");
    wait_for(second, "the refusal");
    BOOST_TEST(second->status == 422U);
    const auto same = complete("entry2", "one", 5, false, "key-1");
    wait_for(same, "the same answer");
    BOOST_TEST(same->body == first->body);
    BOOST_TEST(counted_runs() == 1);
}

BOOST_AUTO_TEST_CASE(holder_paused_past_its_fence_wakes_without_spending_twice) {
    constexpr long limit = 6000;
    start_usual_fleet(limit);
    start_entry("entry3");
    wait_for_event("entry3", "entry_active");
    for (const char* entry : {"entry1", "entry2", "entry3"}) {
        wait_for(complete(entry, "warm up", 5), "an answer");
    }
    process("entry1").signal(SIGSTOP);
    wait_until([&] { return number("entry2", "show fence", "awaited") == 0; },
               "entry1 is fenced and all guards have marked it");
    wait_until(
        [&] {
            const auto answer = script("entry2", "show grant where state = \"in doubt\"");
            return answer["results"][0]["rows"].empty();
        },
        "the grants of entry1 are reclaimed");
    std::vector<std::shared_ptr<test::caller_call>> calls;
    for (int index = 0; index < 60; ++index) {
        calls.push_back(complete(index % 2 == 0 ? "entry2" : "entry3",
                                 "cold room " + std::to_string(index), 40));
    }
    process("entry1").signal(SIGCONT);
    for (int index = 0; index < 60; ++index) {
        calls.push_back(complete("entry1", "back again " + std::to_string(index), 40));
    }
    for (const auto& call : calls) {
        wait_for(call, "an answer or a refusal");
    }
    wait_for_event("entry1", "entry_fenced");
    wait_for_balance("entry2");
    BOOST_TEST(counted_tokens() <= limit);
    BOOST_TEST(number("entry2", "show budget", "unbacked") == 0);
    // It goes on under a new incarnation.
    wait_until(
        [&] {
            const auto call = complete("entry1", "after", 1);
            wait_for(call, "an answer");
            return call->status == 200 || call->status == 429 || call->status == 402;
        },
        "entry1 serves again");
}

BOOST_AUTO_TEST_CASE(
    home_killed_while_requests_run_has_its_grants_reclaimed_and_the_bill_balances) {
    start_usual_fleet(100'000);
    std::vector<std::shared_ptr<test::caller_call>> calls;
    for (int index = 0; index < 10; ++index) {
        calls.push_back(complete("entry1", "a " + std::to_string(index), 60));
        calls.push_back(complete("entry2", "b " + std::to_string(index), 60));
    }
    wait_until([&] { return counted_runs() >= 10; }, "requests run");
    kill_process("entry1");
    for (std::size_t index = 1; index < calls.size(); index += 2) {
        wait_for(calls[index], "an answer through the entry that lives");
    }
    wait_until(
        [&] {
            const auto answer = script("entry2", "show grant where state = \"in doubt\"");
            return number("entry2", "show fence", "awaited") == 0 &&
                   answer["results"][0]["rows"].empty();
        },
        "the grants of entry1 are reclaimed");
    wait_for_balance("entry2");
    BOOST_TEST(number("entry2", "show budget", "unbacked") == 0);
    BOOST_TEST(number("entry2", "show budget", "running") == 0);
}

BOOST_AUTO_TEST_CASE(log_outage_lets_requests_run_on_what_is_held_and_the_bill_balances_after) {
    start_usual_fleet(100'000);
    wait_for(complete("entry1", "warm up", 5), "an answer");
    wait_for(complete("entry2", "warm up", 5), "an answer");
    // The key grant is taken before need, within a second, or at the first such call.
    wait_for(call_service("entry1", "warm up"), "an answer");
    post("log", "/faults", R"({"outage": true})");
    wait_for_event("entry1", "log_unreachable");
    std::vector<std::shared_ptr<test::caller_call>> calls;
    for (int index = 0; index < 30; ++index) {
        calls.push_back(
            complete(index % 2 == 0 ? "entry1" : "entry2", "during " + std::to_string(index), 20));
    }
    for (const auto& call : calls) {
        wait_for(call, "an answer");
        BOOST_TEST(call->status == 200U);
    }
    // Calls that may not be repeated run under the key grant, through any entry, and once.
    for (const char* entry : {"entry1", "entry2", "entry1"}) {
        const auto alarm = call_service(entry, "frost-alarm-1");
        wait_for(alarm, "the alarm's answer");
        BOOST_TEST(alarm->status == 200U);
    }
    BOOST_TEST(most_runs_of_a_key() == 1);
    post("log", "/faults", R"({"outage": false})");
    wait_for_balance("entry1");
    BOOST_TEST(number("entry1", "show budget", "burnt") == 0);
}

BOOST_AUTO_TEST_CASE(answers_of_the_log_lost_after_their_effect_change_nothing_twice) {
    start_usual_fleet(100'000);
    post("log", "/faults", R"({"lose_answers": 0.6})");
    std::vector<std::shared_ptr<test::caller_call>> calls;
    for (int index = 0; index < 30; ++index) {
        calls.push_back(
            complete(index % 2 == 0 ? "entry1" : "entry2", "lost " + std::to_string(index), 20));
    }
    for (int index = 0; index < 10; ++index) {
        const auto answer =
            script("entry1", "create client_account a" + std::to_string(index) + " key = k" +
                                 std::to_string(index) + " budget = schools");
        BOOST_TEST(answer.value("outcome", "") == "done");
    }
    for (const auto& call : calls) {
        wait_for(call, "an answer");
        BOOST_TEST(call->status == 200U);
    }
    wait_for_balance("entry2");
    BOOST_TEST(number("entry2", "show configuration", "version") == 13);
    BOOST_TEST(number("entry2", "show budget", "burnt") == 0);
}

BOOST_AUTO_TEST_CASE(planned_stop_of_a_guard_and_of_an_entry_cuts_no_stream) {
    start_usual_fleet(100'000);
    const auto stream = complete("entry1", "a long review", 250, true);
    wait_until([&] { return !stream->body.empty(); }, "the first token");
    const bool at_first = get("engine1", "/counts")["runs"].get<long>() > 0;
    const std::string guard = at_first ? "guard1" : "guard2";
    process(guard).signal(SIGTERM);
    wait_for_event(guard, "drain_started");
    process("entry1").signal(SIGTERM);
    wait_for(stream, "the stream's end");
    BOOST_TEST(stream->status == 200U);
    BOOST_TEST(stream->body.find("[DONE]") != std::string::npos);
    for (const std::string& name : {guard, std::string("entry1")}) {
        wait_until([&] { return process(name).ended(); }, name + " ends");
        BOOST_TEST(process(name).exit_code() == 0);
    }
    const auto after = complete("entry2", "next", 5);
    wait_for(after, "an answer from what is left");
    BOOST_TEST(after->status == 200U);
    // The entry that stopped as planned left nothing in doubt and held nothing back.
    const auto grants = script("entry2", "show grant where host = entry1");
    BOOST_TEST(grants["results"][0]["rows"].empty());
    wait_for_balance("entry2");
}

BOOST_AUTO_TEST_CASE(newcomer_after_records_expired_starts_from_a_snapshot) {
    start_usual_fleet(100'000, ", \"snapshot_records\": 20");
    const auto has_snapshot = [&](const std::string& stream) {
        bool found = false;
        for (const char* name : {"entry1", "entry2"}) {
            const std::string line = "event=snapshot_written stream=" + stream;
            found = found || process(name).output().find(line) != std::string::npos;
        }
        return found;
    };
    int round = 0;
    wait_until(
        [&] {
            // Each round adds records to the control stream and to the budget's ledger stream.
            ++round;
            wait_for(complete("entry1", "round " + std::to_string(round), 3), "an answer");
            script("entry1",
                   "change client_account schools priority = " + std::to_string(round % 5));
            return round > 30 && has_snapshot("control") && has_snapshot("ledger-");
        },
        "snapshots");
    wait_for_balance("entry1");
    post("log", "/faults", R"({"retention_records": 30})");
    BOOST_TEST(get("log", "/state")["streams"]["control"]["first"].get<long>() > 1);
    start_entry("entry3", ", \"snapshot_records\": 20");
    wait_for_event("entry3", "stream_resumed_from_snapshot");
    wait_for_event("entry3", "entry_active");
    wait_until(
        [&] {
            return number("entry3", "show configuration", "version") ==
                       number("entry1", "show configuration", "version") &&
                   number("entry3", "show budget", "billed") ==
                       number("entry1", "show budget", "billed");
        },
        "the newcomer has the same state");
    const auto call = complete("entry3", "from the newcomer", 5);
    wait_for(call, "an answer");
    BOOST_TEST(call->status == 200U);
}

BOOST_AUTO_TEST_CASE(host_drained_by_an_operator_gets_no_new_work_until_it_is_undrained) {
    start_usual_fleet(100'000);
    BOOST_TEST(script("entry1", "drain host guard1")["outcome"] == "done");
    wait_until([&] { return process("guard1").output().find("host_drained") != std::string::npos; },
               "the guard knows");
    for (int index = 0; index < 10; ++index) {
        wait_for(complete("entry2", "x " + std::to_string(index), 3), "an answer");
    }
    BOOST_TEST(get("engine1", "/counts")["runs"].get<long>() == 0);
    BOOST_TEST(get("engine2", "/counts")["runs"].get<long>() == 10);
    BOOST_TEST(script("entry1", "undrain host guard1")["outcome"] == "done");
}

BOOST_AUTO_TEST_SUITE_END()
