#include <boost/test/unit_test.hpp>
#include <string>

#include "platform/gateway_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

struct gateway_start_fixture : gateway_fleet {
    gateway_start_fixture() : gateway_fleet(1) {}

    bool has_written(const std::string& text) const {
        return entries[0].process->output().find(text) != std::string::npos;
    }
};

}  // namespace

/// Guard against a process that is started and doesn't come to life without a line that says why.
BOOST_FIXTURE_TEST_SUITE(gateway_start_live_test, gateway_start_fixture)

BOOST_AUTO_TEST_CASE(gateway_without_configuration_logs_what_it_is_missing) {
    launch(entries[0]);
    BOOST_TEST(run_until([&] { return has_written("event=gateway_started "); }));
    BOOST_TEST(run_until([&] { return has_written("event=gateway_not_ready "); }, seconds(8)));
    BOOST_TEST(entries[0].process->field("gateway_not_ready", "missing") == "configuration");
    store.put("keyed.op", "config", R"({"version":1,"routes":[],"services":[],"tenants":[]})");
    BOOST_TEST(run_until([&] { return has_written("event=gateway_ready "); }));
}

BOOST_AUTO_TEST_CASE(gateway_that_finds_its_port_taken_logs_what_it_was_opening) {
    const raw_socket taken = raw_socket::listen(entries[0].admin);
    launch(entries[0]);
    BOOST_REQUIRE(run_until([&] { return entries[0].process->ended(); }));
    BOOST_TEST(has_written("event=process_starting "));
    BOOST_TEST(has_written("event=gateway_opening part=admin "));
    BOOST_TEST(has_written("event=gateway_cannot_start "));
}

BOOST_AUTO_TEST_SUITE_END()
