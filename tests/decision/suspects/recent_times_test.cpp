#include "wrenswitch/decision/suspects/recent_times.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

const instant now{seconds(50)};

struct recent_times_fixture {
    recent_times times{3, seconds(10)};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(recent_times_test, recent_times_fixture)

BOOST_AUTO_TEST_CASE(latest_time_of_a_fingerprint_counts) {
    times.record({1, 1}, now + seconds(1));
    times.record({1, 1}, now);
    BOOST_TEST((times.latest({1, 1}) == now + seconds(1)));
    BOOST_TEST(!times.latest({2, 2}));
}

BOOST_AUTO_TEST_CASE(fingerprint_recorded_the_longest_ago_is_forgotten_first) {
    for (std::uint64_t number = 0; number < 4; ++number) {
        times.record({number, 0}, now + seconds(static_cast<std::int64_t>(number)));
    }
    BOOST_TEST(!times.latest({0, 0}));
    BOOST_TEST(times.latest({1, 0}).has_value());
}

BOOST_AUTO_TEST_CASE(fingerprint_that_is_recorded_again_is_kept) {
    times.record({0, 0}, now);
    times.record({1, 0}, now);
    times.record({0, 0}, now + seconds(11));
    times.record({2, 0}, now + seconds(12));
    times.record({3, 0}, now + seconds(12));
    BOOST_TEST(times.latest({0, 0}).has_value());
    BOOST_TEST(!times.latest({1, 0}));
}

BOOST_AUTO_TEST_SUITE_END()
