#include "wrenswitch/decision/guard/response_buffer.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

struct response_buffer_fixture {
    response_buffer buffer{{10, seconds(60)}};
    digest first{0, 1};
    digest second{0, 2};
    instant now{};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(response_buffer_test, response_buffer_fixture)

BOOST_AUTO_TEST_CASE(response_beyond_the_bound_evicts_the_one_that_finished_first) {
    buffer.begin(first);
    buffer.append(first, "12345678");
    buffer.finish(first, now, true, 1);
    buffer.begin(second);
    buffer.append(second, "1234");
    BOOST_TEST((buffer.find(first) == nullptr));
    BOOST_REQUIRE(buffer.find(second) != nullptr);
    BOOST_TEST(buffer.bytes() == 4U);
}

BOOST_AUTO_TEST_CASE(response_larger_than_the_buffer_is_not_kept_in_part) {
    buffer.begin(first);
    buffer.append(first, "12345678");
    buffer.append(first, "90ab");
    BOOST_TEST((buffer.find(first) == nullptr));
    BOOST_TEST(buffer.bytes() == 0U);
    buffer.append(first, "c");
    BOOST_TEST((buffer.find(first) == nullptr));
}

BOOST_AUTO_TEST_CASE(finished_response_is_kept_for_its_retention_time_only) {
    buffer.begin(first);
    buffer.append(first, "1");
    buffer.finish(first, now, true, 1);
    buffer.expire(now + seconds(59));
    BOOST_TEST((buffer.find(first) != nullptr));
    buffer.expire(now + seconds(60));
    BOOST_TEST((buffer.find(first) == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
