// Targets that say that they leave, or ask for rest: the story of the failure.
//
// What users saw: requests reached a target seconds after an answer had told the entry that sent
// them that it leaves, while the list of targets could not change; targets that turned an entry
// away and asked it for some seconds of rest got many more requests from it in that time.
// Order of events: the store takes no writes; a target that is to end says so in each answer, its
// entry in the list stays "ready", and all entries send on. Or: a target turns requests away, each
// time with the seconds for which it wants nothing; the next request is offered to it again.
// Cause: what a target says of itself on the way of an answer was heard by nobody but for its load.
// That it leaves was known from the list alone, and the time in a refusal was read nowhere.
// Evidence: here the list doesn't change and nothing waits, all entries were told, and on two runs
// of two 64 and 61 requests came later than they may (an engine: 245 and 245), and 27 and 26 in one
// rest (68 and 69).

#include "platform/signal_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

constexpr microseconds between_requests = milliseconds(12);

struct started_signal_fleet : signal_fleet {
    started_signal_fleet() { start_all(); }

    void leave(worker_standin& target) { say(target, {{"Server-Leaving", "1"}}); }
};

BOOST_AUTO_TEST_SUITE(target_signal_live)

BOOST_FIXTURE_TEST_CASE(plain_target_that_says_it_leaves_gets_nothing_while_the_store_is_dark,
                        started_signal_fleet) {
    worker_standin& target = *plain.front();
    ask_for(seconds(1), between_requests, "/once/x");
    store.silent = true;
    leave(target);
    ask_for(seconds(5), between_requests, "/once/x");
    until_answered();
    BOOST_TEST(records[target.id()].entries_told() > 0U);
    BOOST_TEST(records[target.id()].got_after_drained() == 0U);
    BOOST_TEST(answered("200") == callers.size());
}

BOOST_FIXTURE_TEST_CASE(engine_that_says_it_leaves_gets_nothing_while_the_store_is_dark,
                        started_signal_fleet) {
    ask_for(seconds(1), between_requests, "/stream/x");
    worker_standin& target = busiest(engines);
    store.silent = true;
    leave(target);
    ask_for(seconds(5), between_requests, "/stream/x");
    until_answered();
    BOOST_TEST(records[target.id()].entries_told() > 0U);
    BOOST_TEST(records[target.id()].got_after_drained() == 0U);
    BOOST_TEST(answered("200") == callers.size());
}

BOOST_FIXTURE_TEST_CASE(plain_target_that_asks_for_rest_gets_no_more_than_two_requests_in_it,
                        started_signal_fleet) {
    worker_standin& target = *plain.front();
    ask_for(seconds(2), between_requests, "/again/x");
    turning_away[target.id()] = seconds(3);
    ask_for(seconds(7), between_requests, "/again/x");
    until_answered();
    BOOST_TEST(records[target.id()].rests() >= entries.size());
    BOOST_TEST(records[target.id()].most_in_a_rest() <= signal_record::most_in_rest);
}

BOOST_FIXTURE_TEST_CASE(engine_that_asks_for_rest_gets_no_more_than_two_requests_in_it,
                        started_signal_fleet) {
    ask_for(seconds(2), between_requests, "/stream/x");
    worker_standin& target = busiest(engines);
    turning_away[target.id()] = seconds(3);
    ask_for(seconds(7), between_requests, "/stream/x");
    until_answered();
    BOOST_TEST(records[target.id()].rests() > 0U);
    BOOST_TEST(records[target.id()].most_in_a_rest() <= signal_record::most_in_rest);
}

BOOST_FIXTURE_TEST_CASE(list_that_is_stale_does_not_bring_back_a_target_that_said_it_leaves,
                        started_signal_fleet) {
    worker_standin& target = *plain.front();
    leave(target);
    ask_for(seconds(1), between_requests, "/once/x");
    list(target, "app");
    run_for(milliseconds(600));
    const instant from = monotonic_now();
    ask_for(seconds(2), between_requests, "/once/x");
    until_answered();
    BOOST_TEST(got_since(target, from) == 0U);
}

BOOST_FIXTURE_TEST_CASE(target_that_said_it_leaves_is_used_again_in_its_next_life,
                        started_signal_fleet) {
    worker_standin& target = *plain.front();
    leave(target);
    ask_for(seconds(1), between_requests, "/once/x");
    until_answered();
    target.crash();
    target.said.clear();
    target.start_again();
    list(target, "app");
    run_for(milliseconds(600));
    const instant from = monotonic_now();
    ask_for(seconds(2), between_requests, "/once/x");
    until_answered();
    BOOST_TEST(got_since(target, from) > 0U);
}

BOOST_FIXTURE_TEST_CASE(entries_that_a_leaving_target_has_not_told_hear_it_from_others,
                        started_signal_fleet) {
    worker_standin& target = *plain.front();
    leave(target);
    const instant until = monotonic_now() + seconds(5);
    while (monotonic_now() < until && records[target.id()].entries_told() == 0) {
        send(0, "/once/x");
        run_for(between_requests);
    }
    run_for(milliseconds(300));
    const instant from = monotonic_now();
    ask_for(seconds(1), between_requests, "/once/x");
    until_answered();
    BOOST_TEST(got_since(target, from) == 0U);
}

BOOST_FIXTURE_TEST_CASE(callers_whose_last_targets_leave_are_refused_at_once_with_a_time,
                        started_signal_fleet) {
    for (const auto& target : plain) {
        leave(*target);
    }
    ask_for(seconds(1), between_requests, "/once/x");
    until_answered();
    callers.clear();
    ask_for(seconds(1), between_requests, "/once/x");
    until_answered();
    for (caller& each : callers) {
        BOOST_TEST(each.socket.received().starts_with("HTTP/1.1 503"));
        BOOST_TEST(each.socket.received().find("Retry-After: ") != std::string::npos);
        BOOST_TEST((each.ended - each.sent < milliseconds(150)));
    }
}

BOOST_FIXTURE_TEST_CASE(callers_whose_targets_all_rest_are_told_when_the_first_is_back,
                        started_signal_fleet) {
    for (const auto& target : plain) {
        turning_away[target->id()] = seconds(3);
    }
    ask_for(seconds(1), between_requests, "/once/x");
    until_answered();
    callers.clear();
    send(0, "/once/x");
    until_answered();
    const std::string answer = callers.front().socket.received();
    const std::size_t at = answer.find("Retry-After: ");
    BOOST_TEST(answer.starts_with("HTTP/1.1 503"));
    BOOST_REQUIRE(at != std::string::npos);
    BOOST_TEST(std::stod(answer.substr(at + 13)) > 1.0);
    BOOST_TEST(answer.find("targets_resting") != std::string::npos);
    ask_for(seconds(4), between_requests, "/once/x");
    for (const auto& target : plain) {
        BOOST_TEST(records[target->id()].most_in_a_rest() <= signal_record::most_in_rest);
    }
    turning_away.clear();
    run_for(seconds(4));
    until_answered();
    callers.clear();
    ask_for(seconds(1), between_requests, "/once/x");
    until_answered();
    BOOST_TEST(answered("200") == callers.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
