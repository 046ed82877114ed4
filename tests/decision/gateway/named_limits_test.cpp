#include "wrenswitch/decision/gateway/named_limits.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};
constexpr microseconds step = milliseconds(10);

/// A target that names a limit to a request that was sent before.
struct named_limits_fixture {
    named_limits limits;

    named_limits_fixture() { limits.heard(now, "t", now - step, 2.0); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(named_limits_test, named_limits_fixture)

BOOST_AUTO_TEST_CASE(target_that_names_none_has_none) {
    BOOST_TEST((limits.heard(now, "other", now - step, std::nullopt) == limit_news::none));
    BOOST_TEST(!limits.limit_of("other").has_value());
    BOOST_TEST(limits.size() == 1U);
}

BOOST_AUTO_TEST_CASE(limit_that_was_named_holds_without_further_answers) {
    BOOST_TEST(*limits.limit_of("t") == 2.0);
}

BOOST_AUTO_TEST_CASE(answer_without_a_limit_to_a_later_request_ends_it) {
    BOOST_TEST((limits.heard(now + 3 * step, "t", now + step, std::nullopt) == limit_news::ended));
    BOOST_TEST(!limits.limit_of("t").has_value());
}

BOOST_AUTO_TEST_CASE(answer_to_a_request_that_was_sent_before_ends_no_limit_and_raises_none) {
    BOOST_TEST((limits.heard(now + step, "t", now - step, std::nullopt) == limit_news::none));
    BOOST_TEST((limits.heard(now + step, "t", now - step, 5.0) == limit_news::none));
    BOOST_TEST(*limits.limit_of("t") == 2.0);
}

BOOST_AUTO_TEST_CASE(lower_limit_holds_whenever_its_request_was_sent) {
    BOOST_TEST((limits.heard(now + step, "t", now - seconds(9), 0.5) == limit_news::changed));
    BOOST_TEST(*limits.limit_of("t") == 0.5);
}

BOOST_AUTO_TEST_CASE(sends_are_counted_for_four_seconds_while_a_limit_is_known) {
    limits.note_sent(now, "other");
    limits.note_sent(now, "t");
    limits.note_sent(now + seconds(3), "t");
    BOOST_TEST(limits.sent_lately(now + seconds(3), "t") == 2U);
    BOOST_TEST(limits.sent_lately(now + seconds(5), "t") == 1U);
    BOOST_TEST(limits.sent_lately(now, "other") == 0U);
}

BOOST_AUTO_TEST_CASE(target_that_starts_anew_has_no_limit) {
    limits.forget("t");
    BOOST_TEST(!limits.limit_of("t").has_value());
}

BOOST_AUTO_TEST_SUITE_END()
