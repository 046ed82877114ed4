#include "wrenswitch/decision/ingress/intake_memory.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

namespace {

using namespace wrenswitch;

constexpr std::size_t max_bytes = 1'000'000;
constexpr std::size_t max_connections = 10;

/// A memory and holders that give their parts back when they are asked to.
struct intake_memory_fixture {
    struct holder {
        std::unique_ptr<intake_claim> claim;
        int revoked = 0;
    };

    intake_memory memory{{max_bytes, max_connections}};
    instant now{seconds(1000)};
    std::vector<std::unique_ptr<holder>> holders;

    holder& add(intake_kind kind = intake_kind::request, bool revocable = true) {
        holders.push_back(std::make_unique<holder>());
        holder& made = *holders.back();
        made.claim = std::make_unique<intake_claim>(memory, kind, now, [&made](intake_shortage) {
            made.revoked += 1;
            made.claim.reset();
        });
        made.claim->set_revocable(revocable);
        return made;
    }

    /// A holder whose peer has just sent all that it holds.
    holder& add_with(std::size_t bytes, bool revocable = true) {
        holder& made = add(intake_kind::request, revocable);
        BOOST_TEST(made.claim->hold(now, bytes));
        made.claim->record_arrival(now, bytes);
        return made;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(intake_memory_test, intake_memory_fixture)

BOOST_AUTO_TEST_CASE(bytes_of_claims_are_counted_until_they_end) {
    holder& one = add_with(1000);
    holder& other = add_with(500);
    BOOST_TEST(memory.used_bytes() == 1500U);
    BOOST_TEST(one.claim->hold(now, 200));
    other.claim.reset();
    BOOST_TEST(memory.used_bytes() == 200U);
}

BOOST_AUTO_TEST_CASE(largest_claim_alone_is_granted_and_a_larger_one_is_not) {
    holder& single = add();
    BOOST_TEST(single.claim->hold(now, memory.max_claim_bytes()));
    BOOST_TEST(!single.claim->hold(now, memory.max_claim_bytes() + 2));
    BOOST_TEST(single.claim->bytes() == memory.max_claim_bytes());
}

BOOST_AUTO_TEST_CASE(silent_claim_gives_way_to_one_that_moves) {
    holder& silent = add_with(600'000);
    now += seconds(5);
    holder& moving = add_with(200'000);
    BOOST_TEST(moving.claim->hold(now, 400'000));
    BOOST_TEST(silent.revoked == 1);
    BOOST_TEST(moving.revoked == 0);
    BOOST_TEST(memory.counts().for_memory == 1U);
}

BOOST_AUTO_TEST_CASE(claim_that_drips_gives_way_to_one_that_moves) {
    holder& dripping = add_with(600'000);
    for (int second = 0; second < 10; ++second) {
        now += seconds(1);
        dripping.claim->record_arrival(now, 1);
    }
    holder& moving = add_with(200'000);
    BOOST_TEST(moving.claim->hold(now, 400'000));
    BOOST_TEST(dripping.revoked == 1);
}

BOOST_AUTO_TEST_CASE(claim_that_has_been_silent_longest_gives_way_itself) {
    add_with(600'000);
    holder& slow = add();
    now += seconds(20);
    holders[0]->claim->record_arrival(now, 600'000);
    BOOST_TEST(!slow.claim->hold(now, 500'000));
    BOOST_TEST(holders[0]->revoked == 0);
    BOOST_TEST(slow.claim->bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(claim_that_is_not_revocable_keeps_its_memory) {
    holder& running = add_with(600'000, false);
    now += seconds(60);
    holder& next = add();
    BOOST_TEST(!next.claim->hold(now, 500'000));
    BOOST_TEST(running.revoked == 0);
    BOOST_TEST(running.claim->bytes() == 600'000U);
}

BOOST_AUTO_TEST_CASE(large_claims_leave_room_for_usual_ones) {
    constexpr std::size_t usual = 10'000;
    while (add(intake_kind::request, false).claim->hold(now, 200'000)) {
    }
    for (int number = 0; number < 10; ++number) {
        BOOST_TEST(add(intake_kind::request, false).claim->hold(now, usual));
    }
}

BOOST_AUTO_TEST_CASE(of_silent_claims_the_larger_one_gives_way) {
    holder& small = add_with(100'000);
    holder& large = add_with(500'000);
    now += seconds(10);
    BOOST_TEST(add_with(200'000).claim->hold(now, 400'000));
    BOOST_TEST(large.revoked == 1);
    BOOST_TEST(small.revoked == 0);
}

BOOST_AUTO_TEST_CASE(connection_that_rests_longest_gives_way_to_a_new_one) {
    for (std::size_t number = 0; number < max_connections; ++number) {
        now += seconds(1);
        BOOST_TEST(memory.make_room_for_connection(now));
        add(intake_kind::connection);
    }
    BOOST_TEST(memory.make_room_for_connection(now));
    BOOST_TEST(holders[0]->revoked == 1);
    BOOST_TEST(holders[1]->revoked == 0);
    BOOST_TEST(memory.connections() == max_connections - 1);
}

BOOST_AUTO_TEST_CASE(new_connection_is_turned_away_while_all_are_in_use) {
    for (std::size_t number = 0; number < max_connections; ++number) {
        add(intake_kind::connection, false);
    }
    now += seconds(60);
    BOOST_TEST(!memory.make_room_for_connection(now));
    BOOST_TEST(memory.counts().for_connections == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
