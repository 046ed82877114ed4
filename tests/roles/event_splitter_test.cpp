#include "roles/gateway/event_splitter.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// A fresh splitter.
struct splitter_fixture {
    event_splitter splitter;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(event_splitter_test, splitter_fixture)

BOOST_AUTO_TEST_CASE(half_event_is_kept_back) {
    BOOST_TEST(splitter.add("id: 1\ndata: a").count == 0U);
    BOOST_TEST(splitter.has_rest());
    const whole_events whole = splitter.add("bc\n\nid: 2\n");
    BOOST_TEST(whole.count == 1U);
    BOOST_TEST(whole.bytes == "id: 1\ndata: abc\n\n");
    BOOST_TEST(splitter.last_id() == "1");
}

BOOST_AUTO_TEST_CASE(events_in_single_bytes_are_told_one_by_one) {
    const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    std::size_t count = 0;
    std::string passed;
    for (const char letter : text) {
        const whole_events whole = splitter.add({&letter, 1});
        count += whole.count;
        passed += whole.bytes;
    }
    BOOST_TEST(count == 2U);
    BOOST_TEST(passed == text);
    BOOST_TEST(splitter.last_id() == "2");
    BOOST_TEST(!splitter.has_rest());
}

BOOST_AUTO_TEST_CASE(carriage_returns_end_events_too) {
    const whole_events whole = splitter.add("id: 7\r\ndata: a\r\n\r\n");
    BOOST_TEST(whole.count == 1U);
    BOOST_TEST(splitter.last_id() == "7");
}

BOOST_AUTO_TEST_CASE(dropped_rest_does_not_join_the_next_run) {
    splitter.add("id: 1\ndata: a\n\nid: 2\ndata: ha");
    splitter.drop_rest();
    const whole_events whole = splitter.add("id: 2\ndata: half\n\n");
    BOOST_TEST(whole.bytes == "id: 2\ndata: half\n\n");
}

BOOST_AUTO_TEST_CASE(event_without_an_identifier_leaves_the_last) {
    splitter.add("id: 1\n\ndata: x\n\n");
    BOOST_TEST(splitter.last_id() == "1");
}

BOOST_AUTO_TEST_SUITE_END()
