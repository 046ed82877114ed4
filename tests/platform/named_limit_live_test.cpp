// Targets that name how many requests a second they take: the symptom.
//
// What users saw: single engines named in their answers a limit for all entries together, and got
// up to twice what it allows, from entries that had passed on such answers.

#include "platform/word_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

constexpr microseconds between_requests = milliseconds(12);

struct started_word_fleet : word_fleet {
    started_word_fleet() { start_all(); }
};

BOOST_AUTO_TEST_SUITE(named_limit_live)

BOOST_FIXTURE_TEST_CASE(plain_target_that_names_a_limit_gets_no_more_than_that_from_all_entries,
                        started_word_fleet) {
    ask_for(seconds(1), between_requests, "/once/x");
    name_limit(*plain.front(), "1.5");
    ask_for(seconds(9), between_requests, "/once/x");
    until_answered();
    BOOST_TEST(records[plain.front()->id()].told.size() == entries.size());
    BOOST_TEST(static_cast<double>(most_from_told(*plain.front())) <= allowed(1.5));
    BOOST_TEST(answered("200") == callers.size());
}

BOOST_FIXTURE_TEST_CASE(engine_that_names_a_limit_gets_no_more_than_that_from_all_entries,
                        started_word_fleet) {
    ask_for(seconds(1), between_requests, "/stream/x");
    worker_standin& engine = busiest(engines);
    name_limit(engine, "1.5");
    ask_for(seconds(9), between_requests, "/stream/x");
    until_answered();
    BOOST_TEST(records[engine.id()].told.size() == entries.size());
    BOOST_TEST(static_cast<double>(most_from_told(engine)) <= allowed(1.5));
    BOOST_TEST(answered("200") == callers.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
