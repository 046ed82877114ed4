#include "wrenswitch/decision/gateway/attempt_history.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// A request that is in its first attempt.
struct history_fixture {
    attempt_history history;

    history_fixture() { history.begin_attempt("t1"); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(attempt_history_test, history_fixture)

BOOST_AUTO_TEST_CASE(request_that_may_have_run_is_resent_only_if_repeatable) {
    history.record_possible_run();
    BOOST_TEST(history.can_resend(request_kind::repeatable, 2));
    BOOST_TEST(history.can_resend(request_kind::resumable_stream, 2));
    BOOST_TEST(!history.can_resend(request_kind::single_run, 2));
    BOOST_TEST(!history.can_resend(request_kind::stream, 2));
}

BOOST_AUTO_TEST_CASE(request_that_may_have_run_and_was_refused_later_may_still_have_run) {
    history.record_possible_run();
    history.begin_attempt("t2");
    history.record_refusal();
    BOOST_TEST(history.may_have_run());
    BOOST_TEST(!history.can_resend(request_kind::single_run, 5));
}

BOOST_AUTO_TEST_CASE(possible_runs_never_exceed_max_attempts) {
    history.record_possible_run();
    BOOST_TEST(history.can_resend(request_kind::repeatable, 2));
    history.begin_attempt("t2");
    BOOST_TEST(!history.can_resend(request_kind::repeatable, 2));
}

BOOST_AUTO_TEST_CASE(refusal_does_not_count_as_an_attempt) {
    history.record_refusal();
    BOOST_TEST(history.can_resend(request_kind::single_run, 1));
    history.begin_attempt("t2");
    history.record_refusal();
    BOOST_TEST(history.can_resend(request_kind::single_run, 1));
    history.begin_attempt("t3");
    history.record_refusal();
    BOOST_TEST(!history.can_resend(request_kind::single_run, 1));
}

BOOST_AUTO_TEST_CASE(unsent_attempts_are_limited) {
    for (int round = 0; round < 3; ++round) {
        history.record_unsent();
        BOOST_TEST(history.can_retry_unsent());
        history.begin_attempt("t");
    }
    history.record_unsent();
    BOOST_TEST(!history.can_retry_unsent());
    BOOST_TEST(!history.may_have_run());
}

BOOST_AUTO_TEST_CASE(tried_targets_are_listed_in_order) {
    history.begin_attempt("t2");
    BOOST_TEST(history.attempt_number() == 2U);
    BOOST_TEST(
        (std::vector<std::string>(history.tried_targets().begin(), history.tried_targets().end()) ==
         std::vector<std::string>{"t1", "t2"}));
}

BOOST_AUTO_TEST_SUITE_END()
