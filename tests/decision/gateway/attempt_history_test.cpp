#include "wrenswitch/decision/gateway/attempt_history.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// A request after its first attempt.
struct history_fixture {
    attempt_history history;

    history_fixture() { history.begin("t1"); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(attempt_history_test, history_fixture)

BOOST_AUTO_TEST_CASE(request_that_may_have_run_is_sent_again_only_if_repeatable) {
    history.note_may_have_run();
    BOOST_TEST(history.may_send_again(request_kind::repeatable, 2));
    BOOST_TEST(history.may_send_again(request_kind::resumable_stream, 2));
    BOOST_TEST(!history.may_send_again(request_kind::single_run, 2));
    BOOST_TEST(!history.may_send_again(request_kind::stream, 2));
}

BOOST_AUTO_TEST_CASE(run_that_was_followed_by_a_refusal_still_may_have_run) {
    history.note_may_have_run();
    history.begin("t2");
    history.note_refused();
    BOOST_TEST(history.may_have_run());
    BOOST_TEST(!history.may_send_again(request_kind::single_run, 5));
}

BOOST_AUTO_TEST_CASE(runs_never_exceed_the_most_attempts) {
    history.note_may_have_run();
    BOOST_TEST(history.may_send_again(request_kind::repeatable, 2));
    history.begin("t2");
    BOOST_TEST(!history.may_send_again(request_kind::repeatable, 2));
}

BOOST_AUTO_TEST_CASE(refusals_use_up_no_attempt) {
    history.note_refused();
    BOOST_TEST(history.may_send_again(request_kind::single_run, 1));
    history.begin("t2");
    history.note_refused();
    BOOST_TEST(history.may_send_again(request_kind::single_run, 1));
    history.begin("t3");
    history.note_refused();
    BOOST_TEST(!history.may_send_again(request_kind::single_run, 1));
}

BOOST_AUTO_TEST_CASE(unreachable_targets_are_given_up_after_a_few) {
    for (int turn = 0; turn < 3; ++turn) {
        history.note_unsent();
        BOOST_TEST(history.may_offer_again());
        history.begin("t");
    }
    history.note_unsent();
    BOOST_TEST(!history.may_offer_again());
    BOOST_TEST(!history.may_have_run());
}

BOOST_AUTO_TEST_CASE(tried_targets_are_told_in_order) {
    history.begin("t2");
    BOOST_TEST(history.number() == 2U);
    BOOST_TEST((std::vector<std::string>(history.tried().begin(), history.tried().end()) ==
                std::vector<std::string>{"t1", "t2"}));
}

BOOST_AUTO_TEST_SUITE_END()
