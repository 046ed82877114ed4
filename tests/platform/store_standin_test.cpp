#include "platform/store_standin.hpp"

#include <boost/test/unit_test.hpp>

#include "support/loop_runner.hpp"
#include "support/raw_socket.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

struct standin_fixture : loop_runner {
    store_standin store{loop};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(store_standin_test, standin_fixture)

/// The loop's timers may be some milliseconds early. A stand-in that then goes on holding a read
/// until another call comes looks to a gateway like a store that is silent.
BOOST_AUTO_TEST_CASE(held_read_ends_in_time_without_another_call) {
    store.put("keyed.op", "k", "value");
    for (int turn = 0; turn < 20; ++turn) {
        raw_socket reader = raw_socket::connect(store.port());
        reader.send(
            "GET /-/log-read?topic=keyed.op&from=1&waitMs=20 HTTP/1.1\r\nHost: h\r\n"
            "Connection: close\r\n\r\n");
        BOOST_TEST(run_until([&reader] { return reader.ended(); }, milliseconds(320)));
        BOOST_TEST(reader.received().starts_with("HTTP/1.1 200"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
