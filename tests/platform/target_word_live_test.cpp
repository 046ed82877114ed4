// Targets that say that they leave, or ask for rest: the symptom.
//
// What users saw: requests reached a target seconds after an answer had told the entry that sent
// them that it leaves, while the list of targets could not change; targets that turned an entry
// away and asked it for some seconds of rest got many more requests from it in that time.

#include "platform/word_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

constexpr microseconds between_requests = milliseconds(12);

/// So long after its word a leaving target may still be sent requests.
constexpr microseconds until_drained = seconds(2);

/// So many requests may reach a target from an entry that it has asked for rest.
constexpr std::size_t most_in_rest = 2;

struct started_word_fleet : word_fleet {
    started_word_fleet() { start_all(); }

    void leave(worker_standin& target) { say(target, {{"Server-Leaving", "1"}}); }
};

BOOST_AUTO_TEST_SUITE(target_word_live)

BOOST_FIXTURE_TEST_CASE(plain_target_that_says_it_leaves_gets_nothing_while_the_store_is_dark,
                        started_word_fleet) {
    worker_standin& target = *plain.front();
    ask_for(seconds(1), between_requests, "/once/x");
    store.silent = true;
    leave(target);
    ask_for(seconds(5), between_requests, "/once/x");
    until_answered();
    BOOST_TEST(records[target.id()].told.size() > 0U);
    BOOST_TEST(got_after_told(target, until_drained) == 0U);
    BOOST_TEST(answered("200") == callers.size());
}

BOOST_FIXTURE_TEST_CASE(engine_that_says_it_leaves_gets_nothing_while_the_store_is_dark,
                        started_word_fleet) {
    ask_for(seconds(1), between_requests, "/stream/x");
    worker_standin& target = busiest(engines);
    store.silent = true;
    leave(target);
    ask_for(seconds(5), between_requests, "/stream/x");
    until_answered();
    BOOST_TEST(records[target.id()].told.size() > 0U);
    BOOST_TEST(got_after_told(target, until_drained) == 0U);
    BOOST_TEST(answered("200") == callers.size());
}

BOOST_FIXTURE_TEST_CASE(plain_target_that_asks_for_rest_gets_no_more_than_two_requests_in_it,
                        started_word_fleet) {
    worker_standin& target = *plain.front();
    ask_for(seconds(2), between_requests, "/again/x");
    turning_away[target.id()] = seconds(3);
    ask_for(seconds(7), between_requests, "/again/x");
    until_answered();
    BOOST_TEST(records[target.id()].rests.size() >= entries.size());
    BOOST_TEST(most_in_a_rest(target) <= most_in_rest);
}

BOOST_FIXTURE_TEST_CASE(engine_that_asks_for_rest_gets_no_more_than_two_requests_in_it,
                        started_word_fleet) {
    ask_for(seconds(2), between_requests, "/stream/x");
    worker_standin& target = busiest(engines);
    turning_away[target.id()] = seconds(3);
    ask_for(seconds(7), between_requests, "/stream/x");
    until_answered();
    BOOST_TEST(records[target.id()].rests.size() > 0U);
    BOOST_TEST(most_in_a_rest(target) <= most_in_rest);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
