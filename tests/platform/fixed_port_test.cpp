#include "support/fixed_port.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using namespace wrenswitch::testing;

/// More than one block has.
constexpr std::size_t many_ports = 120;

std::set<std::uint16_t> take(port_blocks& blocks, std::size_t count) {
    std::set<std::uint16_t> ports;
    while (ports.size() < count) {
        ports.insert(blocks.next());
    }
    return ports;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(fixed_port_test)

/// Guards against a test process that takes the ports of another one's dead process, which can then
/// not be started anew.
BOOST_AUTO_TEST_CASE(processes_with_the_same_first_block_share_no_ports) {
    port_blocks first(7);
    port_blocks second(7);
    const std::set<std::uint16_t> taken = take(first, many_ports);
    for (const std::uint16_t port : take(second, many_ports)) {
        BOOST_TEST(!taken.contains(port));
    }
}

BOOST_AUTO_TEST_CASE(ports_of_one_process_are_handed_out_once) {
    port_blocks blocks(port_blocks::block_count - 1);
    std::set<std::uint16_t> seen;
    for (std::size_t count = 0; count < many_ports; ++count) {
        BOOST_TEST(seen.insert(blocks.next()).second);
    }
}

BOOST_AUTO_TEST_SUITE_END()
