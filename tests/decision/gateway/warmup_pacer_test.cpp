#include "wrenswitch/decision/gateway/warmup_pacer.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};
constexpr microseconds interval = milliseconds(125);

/// The pacer of a target that has just become cold for three seconds.
struct warmup_pacer_fixture {
    warmup_pacer pacer;

    warmup_pacer_fixture() { pacer.begin(now, now + seconds(3), interval); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(warmup_pacer_test, warmup_pacer_fixture)

BOOST_AUTO_TEST_CASE(warm_target_has_no_delay) {
    warmup_pacer warm;
    BOOST_TEST(!warm.is_cold(now));
    warm.reserve(now, interval);
    BOOST_TEST((warm.delay(now) == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(target_that_just_became_cold_has_no_permit_yet) {
    BOOST_TEST((pacer.delay(now) == interval));
    BOOST_TEST((pacer.delay(now + interval) == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(simultaneous_requests_get_consecutive_permits) {
    for (int position = 1; position <= 10; ++position) {
        BOOST_TEST((pacer.delay(now) == position * interval));
        pacer.reserve(now, interval);
    }
}

BOOST_AUTO_TEST_CASE(unused_permits_do_not_accumulate) {
    const instant later = now + seconds(2);
    pacer.reserve(later, interval);
    BOOST_TEST((pacer.delay(later) == interval));
}

BOOST_AUTO_TEST_CASE(target_is_warm_after_its_warmup) {
    BOOST_TEST(pacer.is_cold(now + milliseconds(2999)));
    BOOST_TEST(!pacer.is_cold(now + seconds(3)));
    for (int position = 0; position < 100; ++position) {
        pacer.reserve(now, interval);
    }
    BOOST_TEST((pacer.delay(now) == seconds(3)));
    BOOST_TEST((pacer.delay(now + seconds(3)) == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(repeated_report_of_the_same_warmup_gives_no_new_permits) {
    pacer.reserve(now, interval);
    pacer.begin(now + milliseconds(1), now + milliseconds(2900), microseconds(0));
    BOOST_TEST((pacer.delay(now) == 2 * interval));
    BOOST_TEST(pacer.is_cold(now + milliseconds(2950)));
}

BOOST_AUTO_TEST_CASE(longer_warmup_extends_the_cold_period) {
    pacer.begin(now + seconds(1), now + seconds(9), interval);
    BOOST_TEST(pacer.is_cold(now + seconds(8)));
}

BOOST_AUTO_TEST_CASE(permits_that_others_may_have_issued_are_not_issued_again) {
    pacer.defer(now + seconds(1), interval);
    BOOST_TEST((pacer.delay(now + seconds(1)) == interval));
    pacer.reserve(now + seconds(1), interval);
    pacer.defer(now + seconds(1), interval);
    BOOST_TEST((pacer.delay(now + seconds(1)) == 2 * interval));
}

BOOST_AUTO_TEST_SUITE_END()
