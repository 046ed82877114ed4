#include "core/output_queue.hpp"

#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// A pipe that nobody reads until a test does.
struct pipe_fixture {
    std::array<int, 2> ends{};
    pipe_fixture() { BOOST_REQUIRE(::pipe(ends.data()) == 0); }
    ~pipe_fixture() {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string read_all(output_queue& queue) const {
        std::string text;
        std::array<char, 4096> buffer{};
        for (int round = 0; round < 1000; ++round) {
            queue.flush();
            // A mark at the end, so that the read never waits.
            const ssize_t length = ::read(ends[0], buffer.data(), buffer.size());
            text.append(buffer.data(), static_cast<std::size_t>(length));
            if (text.ends_with("last\n")) {
                break;
            }
        }
        return text;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(output_queue_test, pipe_fixture)

BOOST_AUTO_TEST_CASE(reader_that_stands_still_holds_nothing_up) {
    output_queue queue(ends[1], 100'000);
    const std::string line(100, 'x');
    // Far more than a pipe and the queue hold together: a writer that waits would never return.
    for (int count = 0; count < 10'000; ++count) {
        queue.add(line + "\n");
    }
    BOOST_TEST(queue.dropped() > 5000U);
}

BOOST_AUTO_TEST_CASE(dropped_lines_are_said_once_there_is_room) {
    output_queue queue(ends[1], 1000);
    const std::string line(99, 'x');
    for (int count = 0; count < 2000; ++count) {
        queue.add(line + "\n");
    }
    const std::uint64_t dropped = queue.dropped();
    BOOST_REQUIRE(dropped > 0U);
    std::array<char, 65536> buffer{};
    BOOST_REQUIRE(::read(ends[0], buffer.data(), buffer.size()) > 0);
    queue.add("last\n");
    const std::string text = read_all(queue);
    BOOST_TEST(text.find("event=log_lines_dropped lines=" + std::to_string(dropped)) !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(lines_come_whole_and_in_order) {
    output_queue queue(ends[1], 100'000);
    queue.add("first\n");
    queue.add(std::string(2000, 'y') + "\n");
    queue.add("last\n");
    BOOST_TEST(read_all(queue) == "first\n" + std::string(2000, 'y') + "\nlast\n");
}

BOOST_AUTO_TEST_SUITE_END()
