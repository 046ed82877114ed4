#include "wrenswitch/drivers/message_bus.hpp"

#include <bus.pb.h>

#include <boost/test/unit_test.hpp>

#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// One process that answers each ask, and one that asks it.
struct bus_fixture : loop_runner {
    std::unique_ptr<message_bus> asker = open();
    std::unique_ptr<message_bus> other = open();
    int answers = 0;
    int asks = 0;

    bus_fixture() {
        other->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            asks += 1;
            if (message.has_token_ask()) {
                other->answer(origin, answer_to(message));
            }
        });
        asker->on_message([this](const message_origin&, const wire::Envelope&) { answers += 1; });
    }

    std::unique_ptr<message_bus> open() {
        return std::move(message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value());
    }

    static wire::Envelope ask(std::uint64_t number) {
        wire::Envelope message;
        message.mutable_token_ask()->set_ask(number);
        return message;
    }

    static wire::Envelope answer_to(const wire::Envelope& message) {
        wire::Envelope answer;
        answer.mutable_token_answer()->set_ask(message.token_ask().ask());
        return answer;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(message_bus_test, bus_fixture)

BOOST_AUTO_TEST_CASE(answers_that_come_while_others_are_sent_are_all_taken) {
    constexpr int rounds = 500;
    for (int round = 0; round < rounds; ++round) {
        asker->send(other->endpoint(), ask(static_cast<std::uint64_t>(round)));
        // Lets answers arrive in the middle of further sends.
        run_until([&] { return round % 7 != 0; }, milliseconds(1));
    }
    BOOST_TEST(run_until([&] { return answers == rounds; }));
}

BOOST_AUTO_TEST_CASE(messages_both_ways_over_many_connections_are_all_taken) {
    constexpr int peers = 20;
    std::vector<std::unique_ptr<message_bus>> others;
    for (int peer = 0; peer < peers; ++peer) {
        others.push_back(open());
        message_bus& self = *others.back();
        self.on_message([&self](const message_origin& origin, const wire::Envelope& message) {
            if (message.has_token_ask()) {
                self.answer(origin, answer_to(message));
            }
        });
    }
    constexpr int rounds = 50;
    for (int round = 0; round < rounds; ++round) {
        for (const auto& peer : others) {
            asker->send(peer->endpoint(), ask(1));
        }
        run_until([] { return false; }, milliseconds(1));
    }
    BOOST_TEST(run_until([&] { return answers == rounds * peers; }));
}

BOOST_AUTO_TEST_SUITE_END()
