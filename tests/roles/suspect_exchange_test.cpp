#include "roles/gateway/suspect_exchange.hpp"

#include <bus.pb.h>

#include <boost/test/unit_test.hpp>
#include <set>

#include "support/fake_keyed_log.hpp"
#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

const digest request{1, 1};

target_incarnation life(int number) {
    return {"t" + std::to_string(number), 1};
}

/// One entry's part in the fleet's knowledge, over a real bus.
class suspecting_process {
public:
    suspecting_process(event_loop& loop, keyed_log& log, int number)
        : host("h" + std::to_string(number)),
          bus(message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value()),
          members(host, {}),
          exchange(loop, log, "suspects", *bus, members, counters,
                   {[this](const digest& each) { stopped.insert(each); }, [](bool) {}}) {
        bus->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            exchange.on_message(origin, message);
        });
        exchange.start();
        ticker = loop.call_every(milliseconds(50), [this] { exchange.tick(monotonic_now()); });
    }

    cluster_member self() const { return {host, {}, bus->endpoint(), 1.0, {}, {}, {}}; }

    void sees_end(int number) { exchange.ended(life(number), std::span(&request, 1)); }
    suspicion held() const { return exchange.held_of(request); }

    std::string host;
    metrics counters;
    std::unique_ptr<message_bus> bus;
    token_allocator_selector members;
    std::set<digest> stopped;
    suspect_exchange exchange;
    std::unique_ptr<timer> ticker;
};

/// Three entries that know each other, with one log.
struct suspect_exchange_fixture : loop_runner {
    fake_keyed_log log{loop};
    suspecting_process first{loop, log, 1};
    suspecting_process second{loop, log, 2};
    suspecting_process third{loop, log, 3};

    suspect_exchange_fixture() {
        for (suspecting_process* each : {&first, &second, &third}) {
            for (const suspecting_process* other : {&first, &second, &third}) {
                each->members.apply(other->self());
            }
        }
        run_for(milliseconds(50));
    }

    bool all_hold(suspicion wanted) const {
        return first.held() == wanted && second.held() == wanted && third.held() == wanted;
    }
};

BOOST_FIXTURE_TEST_SUITE(suspect_exchange_test, suspect_exchange_fixture)

BOOST_AUTO_TEST_CASE(ends_that_different_entries_see_add_up_at_all) {
    first.sees_end(1);
    second.sees_end(2);
    BOOST_TEST(run_until([this] { return all_hold(suspicion::suspected); }));
    third.sees_end(3);
    BOOST_TEST(run_until([this] { return all_hold(suspicion::quarantined); }));
    BOOST_TEST(run_until([this] { return first.stopped.contains(request); }));
}

BOOST_AUTO_TEST_CASE(end_that_several_entries_see_counts_once) {
    first.sees_end(1);
    second.sees_end(1);
    third.sees_end(1);
    run_for(milliseconds(700));
    BOOST_TEST(all_hold(suspicion::suspected));
    BOOST_TEST(first.exchange.ends_of(request) == 1U);
}

BOOST_AUTO_TEST_CASE(request_that_ended_well_at_one_entry_is_cleared_at_all) {
    first.sees_end(1);
    first.sees_end(2);
    BOOST_TEST(run_until([this] { return all_hold(suspicion::suspected); }));
    third.exchange.ended_well(request);
    BOOST_TEST(run_until([this] { return all_hold(suspicion::none); }));
}

BOOST_AUTO_TEST_CASE(request_that_has_ended_well_before_at_one_entry_is_held_at_none_for_long) {
    third.exchange.ended_well(request);
    for (int number = 1; number <= 3; ++number) {
        first.sees_end(number);
    }
    BOOST_TEST(run_until([this] { return all_hold(suspicion::none); }, seconds(2)));
    run_for(seconds(1));
    BOOST_TEST(all_hold(suspicion::none));
}

BOOST_AUTO_TEST_CASE(ends_in_a_dark_log_are_known_to_all_and_to_who_starts_after_it) {
    log.down = true;
    first.sees_end(1);
    second.sees_end(2);
    first.sees_end(3);
    BOOST_TEST(run_until([this] { return all_hold(suspicion::quarantined); }, seconds(2)));
    log.down = false;
    suspecting_process later(loop, log, 4);
    BOOST_TEST(run_until([&] { return later.held() == suspicion::quarantined; }, seconds(3)));
}

BOOST_AUTO_TEST_CASE(news_that_are_damaged_change_nothing) {
    wire::Envelope message;
    wire::SuspectNews& news = *message.mutable_suspect_news();
    news.add_ends();
    BOOST_TEST(first.exchange.on_message({}, message));
    for (int number = 0; number < 1000; ++number) {
        news.add_ends()->set_target("t");
    }
    BOOST_TEST(first.exchange.on_message({}, message));
    BOOST_TEST(!first.exchange.any());
    BOOST_TEST(!first.exchange.on_message({}, wire::Envelope{}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
