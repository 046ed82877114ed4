#include <bus.pb.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>

#include "clients/crowd_play.hpp"
#include "support/fixed_port.hpp"
#include "support/loop_runner.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// A frame of ZMTP 1.0: a length of eight bytes that counts the flags, the flags, and the body.
std::string long_frame(std::uint64_t body_bytes, std::string body) {
    constexpr unsigned bits_in_byte = 8;
    constexpr std::uint64_t low_byte = 0xff;
    std::string frame(1, static_cast<char>(low_byte));
    for (unsigned shift = 64; shift > 0; shift -= bits_in_byte) {
        frame += static_cast<char>((body_bytes + 1) >> (shift - bits_in_byte) & low_byte);
    }
    return frame + '\0' + std::move(body);
}

/// What a peer of ZMTP 1.0 sends first: its empty identity.
const std::string identity_frame("\1\0", 2);

/// A real wrenrelay between strangers at its bus, a peer, and a service that the test plays.
struct relay_crowd_fixture : loop_runner {
    raw_socket service = raw_socket::listen();
    std::uint16_t port = fixed_port();
    std::string file = "/tmp/wrenrelay_crowd_" + std::to_string(port) + ".json";
    std::unique_ptr<test::child_process> relay;
    std::unique_ptr<message_bus> peer;
    std::size_t replies = 0;
    std::uint64_t calls = 0;
    crowd_scripts crowd{"POST / HTTP/1.1\r\nHost: h\r\n", crowd_body_bytes, crowd_head_bytes};

    relay_crowd_fixture() {
        std::ofstream(file) << R"({"host":"side-1","bus_endpoint":"tcp://127.0.0.1:)" << port
                            << R"(","service":"127.0.0.1:)" << service.port() << R"(")"
                            << crowd_settings() << "}";
        relay = std::make_unique<test::child_process>(
            std::vector<std::string>{WRENSWITCH_BINARIES "/wrenrelay", "--settings", file},
            file + ".log");
        peer = std::move(message_bus::open(loop, {"tcp://127.0.0.1:0", "", ""}).value());
        peer->on_message([this](const message_origin&, const wire::Envelope& message) {
            replies += message.relay_reply().status() == 200U ? 1 : 0;
        });
        BOOST_REQUIRE(
            run_until([this] { return !relay->field("relay_started", "endpoint").empty(); }));
    }
    ~relay_crowd_fixture() {
        relay.reset();
        std::remove(file.c_str());
    }

    /// Makes a call through the relay, which the service answers.
    bool is_relayed() {
        const std::size_t before = replies;
        wire::Envelope message;
        wire::RelayCall& wanted = *message.mutable_relay_call();
        wanted.set_call(++calls);
        wanted.set_method("POST");
        wanted.set_target("/append");
        wanted.set_body("record");
        wanted.set_timeout_ms(2000);
        peer->send("tcp://127.0.0.1:" + std::to_string(port), message);
        raw_socket taken;
        bool answered = false;
        return run_until(
            [&] {
                if (!taken.open()) {
                    taken = service.accept();
                }
                const bool asked =
                    taken.open() && taken.received().find("record") != std::string::npos;
                if (asked && !std::exchange(answered, true)) {
                    taken.send(
                        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\ndone");
                }
                return replies > before;
            },
            seconds(2));
    }

    void play(const crowd_script& script) {
        const crowd_play crowd_at_bus{*relay,
                                      port,
                                      {port},
                                      [this] { run_for(milliseconds(1)); },
                                      [this] { return is_relayed(); }};
        crowd_at_bus.play(script);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(relay_bus_crowd_test, relay_crowd_fixture)

BOOST_AUTO_TEST_CASE(http_bodies_stay_within_memory) {
    play(crowd.unfinished_bodies());
}

BOOST_AUTO_TEST_CASE(announced_frames_over_the_limit_stay_within_memory) {
    constexpr std::uint64_t announced = std::uint64_t{1} << 32U;
    play({identity_frame + long_frame(announced, std::string(4 * crowd_body_bytes, 'x')), 0});
}

BOOST_AUTO_TEST_CASE(unfinished_frames_stay_within_memory) {
    play({identity_frame + long_frame(crowd_body_bytes, std::string(crowd_body_bytes, 'x')), 1});
}

BOOST_AUTO_TEST_SUITE_END()
