#include "wrenswitch/drivers/connection_probe.hpp"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "support/loop_runner.hpp"
#include "support/raw_socket.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

struct probe_fixture : loop_runner {
    std::optional<probe_answer> answer;
    std::unique_ptr<connection_probe> probe;

    void ask(const http_address& address) {
        probe = std::make_unique<connection_probe>(loop, address, milliseconds(100),
                                                   [this](probe_answer told) { answer = told; });
    }
};

BOOST_FIXTURE_TEST_SUITE(connection_probe_test, probe_fixture)

BOOST_AUTO_TEST_CASE(address_with_a_listener_accepts) {
    const raw_socket listener = raw_socket::listen();
    ask({"127.0.0.1", listener.port()});
    BOOST_TEST(run_until([this] { return answer.has_value(); }));
    BOOST_TEST((answer == probe_answer::accepted));
}

BOOST_AUTO_TEST_CASE(address_without_a_listener_refuses) {
    raw_socket listener = raw_socket::listen();
    const std::uint16_t port = listener.port();
    listener.close();
    ask({"127.0.0.1", port});
    BOOST_TEST(run_until([this] { return answer.has_value(); }));
    BOOST_TEST((answer == probe_answer::refused));
}

BOOST_AUTO_TEST_CASE(attempt_that_cannot_be_made_tells_nothing) {
    // A broadcast address can't be connected to.
    ask({"255.255.255.255", 9});
    BOOST_TEST(run_until([this] { return answer.has_value(); }));
    BOOST_TEST((answer == probe_answer::unknown));
}

BOOST_AUTO_TEST_CASE(probe_that_is_destroyed_tells_nothing) {
    const raw_socket listener = raw_socket::listen();
    ask({"127.0.0.1", listener.port()});
    probe.reset();
    run_for(milliseconds(50));
    BOOST_TEST(!answer.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
