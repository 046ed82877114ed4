#include "wrenswitch/drivers/event_loop.hpp"

#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>

#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// A loop and a pipe to read from.
struct event_loop_fixture : loop_runner {
    std::array<int, 2> ends{};

    event_loop_fixture() { BOOST_REQUIRE(::pipe(ends.data()) == 0); }
    ~event_loop_fixture() {
        ::close(ends[0]);
        ::close(ends[1]);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(event_loop_test, event_loop_fixture)

BOOST_AUTO_TEST_CASE(message_goes_before_what_else_is_due) {
    std::string order;
    const auto watch = loop.call_when_readable(ends[0], [&] {
        char byte = 0;
        BOOST_REQUIRE(::read(ends[0], &byte, 1) == 1);
        order += 'm';
    });
    constexpr int others = 50;
    for (int turn = 0; turn < others; ++turn) {
        loop.call_after(microseconds(0), [&order] { order += 'o'; });
    }
    BOOST_REQUIRE(::write(ends[1], "x", 1) == 1);
    BOOST_REQUIRE(run_until([&] { return order.size() == others + 1; }));
    BOOST_TEST(order.front() == 'm');
}

BOOST_AUTO_TEST_SUITE_END()
