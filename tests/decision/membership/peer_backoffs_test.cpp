#include "wrenswitch/decision/membership/peer_backoffs.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

struct peer_backoffs_fixture {
    peer_backoffs backoffs{seconds(1), seconds(3)};
    instant now = monotonic_now();
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_backoffs_test, peer_backoffs_fixture)

BOOST_AUTO_TEST_CASE(backoff_doubles_with_each_failure_up_to_its_maximum) {
    BOOST_TEST((backoffs.record_failure(now, "a") == peer_backoffs::outcome::first));
    BOOST_TEST(backoffs.is_backed_off(now + milliseconds(999), "a"));
    BOOST_TEST(!backoffs.is_backed_off(now + seconds(1), "a"));
    now += seconds(1);
    BOOST_TEST((backoffs.record_failure(now, "a") == peer_backoffs::outcome::repeated));
    BOOST_TEST(!backoffs.is_backed_off(now + seconds(2), "a"));
    now += seconds(2);
    backoffs.record_failure(now, "a");
    BOOST_TEST(backoffs.is_backed_off(now + milliseconds(2999), "a"));
    BOOST_TEST(!backoffs.is_backed_off(now + seconds(3), "a"));
}

BOOST_AUTO_TEST_CASE(failure_during_a_backoff_does_not_count) {
    backoffs.record_failure(now, "a");
    BOOST_TEST(
        (backoffs.record_failure(now + milliseconds(500), "a") == peer_backoffs::outcome::ignored));
    BOOST_TEST(!backoffs.is_backed_off(now + seconds(1), "a"));
}

BOOST_AUTO_TEST_CASE(answer_ends_a_backoff_and_the_next_failure_is_the_first_again) {
    backoffs.record_failure(now, "a");
    BOOST_TEST(backoffs.clear("a"));
    BOOST_TEST(!backoffs.clear("a"));
    BOOST_TEST(!backoffs.is_backed_off(now, "a"));
    BOOST_TEST((backoffs.record_failure(now, "a") == peer_backoffs::outcome::first));
}

BOOST_AUTO_TEST_CASE(peers_that_are_not_kept_are_forgotten) {
    backoffs.record_failure(now, "a");
    backoffs.record_failure(now, "b");
    backoffs.keep_only([](std::string_view host) { return host == "a"; });
    BOOST_TEST(backoffs.is_backed_off(now, "a"));
    BOOST_TEST(!backoffs.is_backed_off(now, "b"));
}

BOOST_AUTO_TEST_SUITE_END()
