#include "roles/gateway/event_splitter.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

struct splitter_fixture {
    event_splitter splitter;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(event_splitter_test, splitter_fixture)

BOOST_AUTO_TEST_CASE(partial_event_is_withheld) {
    BOOST_TEST(splitter.add("id: 1\ndata: a").count == 0U);
    BOOST_TEST(splitter.has_partial_event());
    const complete_events complete = splitter.add("bc\n\nid: 2\n");
    BOOST_TEST(complete.count == 1U);
    BOOST_TEST(complete.bytes == "id: 1\ndata: abc\n\n");
    BOOST_TEST(splitter.last_event_id() == "1");
}

BOOST_AUTO_TEST_CASE(events_fed_byte_by_byte_are_counted_individually) {
    const std::string text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    std::size_t count = 0;
    std::string passed;
    for (const char character : text) {
        const complete_events complete = splitter.add({&character, 1});
        count += complete.count;
        passed += complete.bytes;
    }
    BOOST_TEST(count == 2U);
    BOOST_TEST(passed == text);
    BOOST_TEST(splitter.last_event_id() == "2");
    BOOST_TEST(!splitter.has_partial_event());
}

BOOST_AUTO_TEST_CASE(event_with_crlf_line_ends_is_complete) {
    const complete_events complete = splitter.add("id: 7\r\ndata: a\r\n\r\n");
    BOOST_TEST(complete.count == 1U);
    BOOST_TEST(splitter.last_event_id() == "7");
}

BOOST_AUTO_TEST_CASE(discarded_partial_event_does_not_join_the_next_attempt) {
    splitter.add("id: 1\ndata: a\n\nid: 2\ndata: ha");
    splitter.discard_partial_event();
    const complete_events complete = splitter.add("id: 2\ndata: half\n\n");
    BOOST_TEST(complete.bytes == "id: 2\ndata: half\n\n");
}

BOOST_AUTO_TEST_CASE(event_without_an_identifier_keeps_the_last_identifier) {
    splitter.add("id: 1\n\ndata: x\n\n");
    BOOST_TEST(splitter.last_event_id() == "1");
}

BOOST_AUTO_TEST_SUITE_END()
