#include "support/child_process.hpp"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <string>
#include <vector>

#include "platform/store_standin.hpp"
#include "support/loop_runner.hpp"
#include "support/raw_socket.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

struct child_process_fixture : loop_runner {
    std::string output_file = "/tmp/wrenchild_test_" + std::to_string(::getpid());

    static std::vector<std::string> descriptors_of(const test::child_process& process) {
        std::vector<std::string> targets;
        const std::string folder = "/proc/" + std::to_string(process.pid()) + "/fd";
        for (const auto& each : std::filesystem::directory_iterator(folder)) {
            targets.push_back(std::filesystem::read_symlink(each).string());
        }
        return targets;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(child_process_test, child_process_fixture)

/// Guards against a process that holds a copy of a connection which its test has closed: the peer
/// sees no end of it and gets no answer.
BOOST_AUTO_TEST_CASE(process_started_beside_open_sockets_holds_none_of_them) {
    const store_standin store(loop);
    const raw_socket listener = raw_socket::listen();
    const raw_socket near = raw_socket::connect(listener.port());
    const raw_socket far = listener.accept();
    // A socket that its library leaves open for processes to inherit.
    const int inheritable = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto bus = message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value();
    const test::child_process process({"/bin/sleep", "10"}, output_file);
    ::close(inheritable);
    for (const std::string& each : descriptors_of(process)) {
        BOOST_TEST(each.find("socket:") == std::string::npos, each);
    }
    BOOST_TEST(descriptors_of(process).size() == 3U);
}

/// Guards against a request without an answer on a connection that its entry has closed.
BOOST_AUTO_TEST_CASE(connection_closed_beside_a_started_process_ends_at_its_peer) {
    const raw_socket listener = raw_socket::listen();
    raw_socket near = raw_socket::connect(listener.port());
    raw_socket far = listener.accept();
    const test::child_process process({"/bin/sleep", "10"}, output_file);
    far.close();
    BOOST_TEST(run_until([&] { return near.ended(); }, seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
