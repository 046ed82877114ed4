#include "wrenswitch/decision/gateway/answer_times.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

struct answer_times_fixture {
    answer_times times;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(answer_times_test, answer_times_fixture)

BOOST_AUTO_TEST_CASE(silence_is_measured_against_the_usual_answers_of_the_service) {
    BOOST_TEST((times.longest_usual("plain") == milliseconds(200)));
    for (int turn = 0; turn < 500; ++turn) {
        times.observe("plain", milliseconds(turn % 2 == 0 ? 60 : 120));
    }
    BOOST_TEST((times.longest_usual("plain") > milliseconds(500)));
    BOOST_TEST((times.longest_usual("plain") < milliseconds(580)));
    BOOST_TEST((times.longest_usual("other") == milliseconds(200)));
}

BOOST_AUTO_TEST_CASE(service_that_answers_at_once_has_the_least_silence) {
    for (int turn = 0; turn < 500; ++turn) {
        times.observe("plain", milliseconds(2));
    }
    BOOST_TEST((times.longest_usual("plain") == milliseconds(200)));
}

BOOST_AUTO_TEST_SUITE_END()
