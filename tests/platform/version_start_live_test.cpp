#include "platform/stream_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// One gateway that starts while targets of two versions serve without an order.
struct version_start : stream_fleet {
    version_start() : stream_fleet(1) {
        add_targets("app", "v1", 2);
        add_targets("app", "v2", 2);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(version_start_live_test, version_start)

BOOST_AUTO_TEST_CASE(entry_that_starts_beside_two_versions_refuses_no_request) {
    launch(entries[0]);
    until_ready(entries[0]);
    for (int turn = 0; turn < 10; ++turn) {
        begin("/plain/", entries[0]);
        run_for(milliseconds(20));
    }
    finish_attempts();
    BOOST_TEST(whole() == calls.size());
}

BOOST_AUTO_TEST_SUITE_END()
