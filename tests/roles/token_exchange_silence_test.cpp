#include <bus.pb.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "roles/token_gateways.hpp"

using namespace wrenswitch;
using namespace wrenswitch::testing;

namespace {

/// The longest time from a query's timeout until a silent allocator is in backoff, with an
/// allowance for a busy machine.
constexpr microseconds longest_loss = milliseconds(1150);

/// An allocator that answers each query after a delay, which lies between the 100 ms after which
/// the query times out and the time after which a silent allocator is lost.
struct slow_allocator_fixture : exchange_fixture {
    static constexpr microseconds delay = milliseconds(300);

    gateway_process& slow = allocator();
    gateway_process& gateway = requester();
    std::size_t queries = 0;

    slow_allocator_fixture() {
        slow.bus->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            queries += message.has_token_ask() ? 1 : 0;
            loop.call_after(delay,
                            [this, origin, message] { slow.exchange.on_message(origin, message); });
        });
    }

    bool is_queried() {
        return gateway.allocators.allocator_of(monotonic_now(), account)->host == slow.host;
    }

    bool owns_account() {
        return gateway.allocators.owner_of(monotonic_now(), account)->host == slow.host;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(token_exchange_silence_test, slow_allocator_fixture)

/// Guards against an allocator behind a saturated link that is taken for lost, so that its accounts
/// move to another one.
BOOST_AUTO_TEST_CASE(allocator_with_late_replies_is_not_taken_for_lost) {
    const std::uint64_t version = gateway.allocators.version();
    BOOST_TEST((reserve(gateway, 5000) == reserve_outcome::reserved));
    BOOST_TEST(!is_queried());
    BOOST_TEST(owns_account());
    BOOST_REQUIRE(run_until([this] { return is_queried(); }));
    run_for(longest_loss);
    BOOST_TEST(owns_account());
    BOOST_TEST(gateway.allocators.version() == version);
}

/// Guards against requests that each wait for an allocator that answers late for long.
BOOST_AUTO_TEST_CASE(allocator_with_late_replies_delays_few_requests) {
    constexpr int requests = 30;
    int delayed = 0;
    for (int round = 0; round < requests; ++round) {
        const instant began = monotonic_now();
        BOOST_REQUIRE((reserve(gateway, 1000) == reserve_outcome::reserved));
        gateway.grants.spend(monotonic_now(), account, 1000);
        delayed += monotonic_now() - began > milliseconds(90) ? 1 : 0;
        run_for(milliseconds(20));
    }
    BOOST_TEST(delayed >= 1);
    BOOST_TEST(delayed <= 4);
}

BOOST_AUTO_TEST_CASE(silent_allocator_is_skipped_at_once_and_lost_in_time) {
    slow.bus->on_message([](const message_origin&, const wire::Envelope&) {});
    const std::uint64_t version = gateway.allocators.version();
    BOOST_TEST((reserve(gateway, 5000) == reserve_outcome::reserved));
    BOOST_TEST(!is_queried());
    BOOST_TEST(run_until([this] { return !owns_account(); }, longest_loss));
    BOOST_TEST(gateway.allocators.version() > version);
}

/// Guards against an answer that is credited to the allocator that was queried last instead of to
/// its sender.
BOOST_AUTO_TEST_CASE(late_reply_ends_the_backoff_of_its_sender_only) {
    gateway_process& second = second_allocator();
    second.accepts_messages = false;
    gateway.allocators.record_failure(monotonic_now(), second.host);
    const std::vector<std::string> tried{slow.host};
    const auto is_second_skipped = [&] {
        const auto next = gateway.allocators.allocator_of(monotonic_now(), account, tried);
        return !next || next->host != second.host;
    };
    BOOST_TEST((reserve(gateway, 5000) == reserve_outcome::reserved));
    gateway.allocators.record_failure(monotonic_now(), slow.host);
    BOOST_TEST(run_until([this] { return owns_account(); }, slow_allocator_fixture::delay));
    BOOST_TEST(is_second_skipped());
}

/// Guards against free tokens that are sent to a frozen allocator, which keeps them, or to another
/// one because a reply was late.
BOOST_AUTO_TEST_CASE(free_tokens_wait_for_a_suspected_allocator) {
    BOOST_REQUIRE((reserve(gateway, 5000) == reserve_outcome::reserved));
    gateway.grants.release(account, 5000);
    BOOST_REQUIRE(!is_queried());
    const tokens kept = gateway.grants.free_tokens(account);
    BOOST_TEST(kept >= 5000);
    gateway.exchange.return_free_tokens(monotonic_now());
    BOOST_TEST(gateway.grants.free_tokens(account) == kept);
    BOOST_REQUIRE(run_until([this] { return is_queried(); }));
    const tokens before = slow.grants.free_tokens(account);
    gateway.exchange.return_free_tokens(monotonic_now());
    BOOST_TEST(run_until([&] { return slow.grants.free_tokens(account) >= before + 5000; }));
}

BOOST_AUTO_TEST_SUITE_END()
