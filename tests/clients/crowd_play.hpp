#pragma once

#include <boost/test/unit_test.hpp>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "clients/client_crowd.hpp"
#include "support/process_watch.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch::testing {

/// The limits of the processes under test, lowered so that a small crowd exceeds them.
constexpr std::size_t crowd_memory_mb = 64;
constexpr std::size_t crowd_memory_bytes = crowd_memory_mb * 1'000'000;
constexpr std::size_t crowd_descriptors = 200;
/// The largest body and head that the processes take.
constexpr std::size_t crowd_body_bytes = 1'000'000;
constexpr std::size_t crowd_head_bytes = 32'000;
/// Clients that send, and clients that only connect.
constexpr std::size_t crowd_clients = 100;
constexpr std::size_t crowd_silent_clients = 300;

/// The members of a settings file that lower the limits.
inline std::string crowd_settings() {
    return R"(,"memory_mb":)" + std::to_string(crowd_memory_mb) + R"(,"most_descriptors":)" +
           std::to_string(crowd_descriptors);
}

/// One process with a crowd before it.
struct crowd_play {
    test::child_process& process;
    /// Where the crowd connects, and all ports at which the process listens.
    std::uint16_t port;
    std::set<std::uint16_t> ports;
    /// Turns the event loop of the test for a moment.
    std::function<void()> turn;
    /// Sends one ordinary request and waits for its answer. True if it is served.
    std::function<bool()> ask;

    /// Plays a crowd that stays open while ordinary requests come, and then leaves.
    void play(const crowd_script& script, std::size_t clients = crowd_clients) const {
        process_watch watch(process, ports);
        {
            client_crowd crowd(port, clients, script);
            send_all(crowd, watch);
            BOOST_TEST_MESSAGE(crowd.summary() << "; " << watch.most_bytes() << " bytes, "
                                               << watch.most_descriptors() << " descriptors");
            BOOST_REQUIRE_MESSAGE(!process.ended(), "The process lives.\n" << process.output());
            BOOST_TEST(is_served(), "An ordinary request is served while the crowd stays.");
            watch.sample();
        }
        BOOST_TEST(is_served(), "An ordinary request is served after the crowd.");
        watch.sample();
        BOOST_REQUIRE_MESSAGE(!process.ended(), "The process lives.\n" << process.output());
        BOOST_TEST(watch.most_bytes() <= crowd_memory_bytes);
        BOOST_TEST(watch.most_descriptors() <= crowd_descriptors);
        BOOST_TEST(falls_to_half(watch), "The memory is given back: " << watch.bytes());
    }

private:
    /// How long the crowd may stand still before it counts as having sent all that is taken.
    static constexpr microseconds standstill = milliseconds(500);
    /// Far more than anything here takes; reaching it is a failure.
    static constexpr microseconds patience = seconds(20);
    static constexpr microseconds retry_pause = milliseconds(100);

    void send_all(client_crowd& crowd, process_watch& watch) const {
        instant moved_at = monotonic_now();
        while (monotonic_now() - moved_at < standstill) {
            if (crowd.send_pieces()) {
                moved_at = monotonic_now();
            }
            turn();
            watch.sample();
        }
    }

    /// Refused requests come again, as a client's do.
    bool is_served() const {
        return comes_true([this] { return ask(); });
    }

    bool falls_to_half(const process_watch& watch) const {
        return comes_true([&watch] { return watch.bytes() <= crowd_memory_bytes / 2; });
    }

    bool comes_true(const std::function<bool()>& condition) const {
        const instant end = monotonic_now() + patience;
        while (!condition()) {
            if (monotonic_now() > end || process.ended()) {
                return false;
            }
            const instant next = monotonic_now() + retry_pause;
            while (monotonic_now() < next) {
                turn();
            }
        }
        return true;
    }
};

}  // namespace wrenswitch::testing
