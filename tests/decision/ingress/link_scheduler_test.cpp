#include "wrenswitch/decision/ingress/link_scheduler.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace wrenswitch;

/// The load of one account: Poisson arrivals, half of them long prompts and half short ones unless
/// only one kind is asked for.
struct offered_load {
    std::string account;
    double requests_per_second = 0.0;
    double long_share = 0.5;
    /// Priorities of long and of short requests.
    unsigned long_priority = 2;
    unsigned short_priority = 0;
    double first_second = 0.0;
};

/// What became of the requests of an account of one priority.
struct account_result {
    std::vector<double> delays_ms;
    double served_bytes = 0.0;
    double refused_bytes = 0.0;
    std::size_t offered = 0;
    std::size_t refused = 0;
    std::size_t held = 0;
    double smallest_refused = 1e9;

    double delay_ms(double quantile) {
        BOOST_REQUIRE(!delays_ms.empty());
        std::sort(delays_ms.begin(), delays_ms.end());
        return delays_ms[static_cast<std::size_t>(quantile *
                                                  static_cast<double>(delays_ms.size() - 1))];
    }
    double refused_share() const {
        return offered == 0 ? 0.0 : static_cast<double>(refused) / static_cast<double>(offered);
    }
};

/// Requests that pass the scheduler and are then sent over a FIFO link of 10 Mbit/s.
class simulated_link {
public:
    static constexpr double bandwidth = 1.25e6;

    explicit simulated_link(unsigned seed) : random_(seed) {}

    /// Bytes per second of messages between hosts, which share the link.
    double other_bytes_per_second = 0.0;
    /// How much more the scheduler believes that a request takes than it does.
    double estimate_factor = 1.0;

    void run(double length_seconds, const std::vector<offered_load>& loads) {
        for (const offered_load& load : loads) {
            plan_arrivals(load, length_seconds);
        }
        const instant end = now_ + from_seconds(length_seconds);
        for (; now_ < end; now_ += milliseconds(1)) {
            others_.sent += static_cast<std::uint64_t>(other_bytes_per_second / 1000.0);
            occupy(other_bytes_per_second / 1000.0);
            scheduler.observe(now_, {callers_.sent, callers_.sent}, others_);
            for (; !arrivals_.empty() && arrivals_.top().time <= now_; arrivals_.pop()) {
                arrive(arrivals_.top());
            }
            for (const link_resolution& each : scheduler.resolve(now_)) {
                const auto found = waiting_.find(each.ticket);
                const arrival request = found->second;
                waiting_.erase(found);
                each.proceeds ? start(request) : refuse(request);
            }
        }
    }

    account_result& of(const std::string& account, unsigned priority) {
        return results_[{account, priority}];
    }

    double served_bytes_per_second(const std::string& account, double length_seconds) {
        double bytes = 0.0;
        for (const auto& [key, result] : results_) {
            bytes += key.first == account ? result.served_bytes : 0.0;
        }
        return bytes / length_seconds;
    }

    double longest_queue_ms() const { return longest_queue_ms_; }

    link_scheduler scheduler{bandwidth};

private:
    struct arrival {
        instant time{};
        std::string account;
        unsigned priority = 0;
        double bytes = 0.0;
        microseconds longest_wait{};

        bool operator<(const arrival& other) const { return time > other.time; }
    };

    void plan_arrivals(const offered_load& load, double length_seconds) {
        std::exponential_distribution<double> gap(load.requests_per_second);
        std::uniform_real_distribution<double> unit(0.0, 1.0);
        std::exponential_distribution<double> long_body(1.0 / 8400.0);
        for (double at = load.first_second + gap(random_); at < length_seconds;
             at += gap(random_)) {
            const bool is_long = unit(random_) < load.long_share;
            const double bytes = is_long ? std::min(55'000.0, 800.0 + long_body(random_)) : 830.0;
            arrivals_.push({now_ + from_seconds(at), load.account,
                            is_long ? load.long_priority : load.short_priority, bytes,
                            is_long ? milliseconds(400) : milliseconds(125)});
        }
    }

    void arrive(const arrival& request) {
        account_result& result = of(request.account, request.priority);
        result.offered += 1;
        const link_decision decision =
            scheduler.submit(now_, {request.account, request.priority,
                                    request.bytes * estimate_factor, request.longest_wait});
        switch (decision.action) {
            case link_action::proceed:
                start(request);
                break;
            case link_action::wait:
                result.held += 1;
                waiting_.emplace(decision.ticket, request);
                break;
            case link_action::refuse:
                refuse(request);
                break;
        }
    }

    void occupy(double bytes) {
        idle_at_ = std::max(idle_at_, now_) + from_seconds(bytes / bandwidth);
        longest_queue_ms_ = std::max(longest_queue_ms_, as_milliseconds(idle_at_ - now_));
    }

    void start(const arrival& request) {
        callers_.sent += static_cast<std::uint64_t>(request.bytes);
        occupy(request.bytes);
        account_result& result = of(request.account, request.priority);
        result.served_bytes += request.bytes;
        result.delays_ms.push_back(as_milliseconds(idle_at_ - request.time));
    }

    void refuse(const arrival& request) {
        account_result& result = of(request.account, request.priority);
        result.refused += 1;
        result.refused_bytes += request.bytes;
        result.smallest_refused = std::min(result.smallest_refused, request.bytes);
    }

    std::mt19937 random_;
    instant now_{seconds(100)};
    instant idle_at_{};
    double longest_queue_ms_ = 0.0;
    link_bytes callers_;
    link_bytes others_;
    std::priority_queue<arrival> arrivals_;
    std::map<std::uint64_t, arrival> waiting_;
    std::map<std::pair<std::string, unsigned>, account_result> results_;
};

const offered_load light_a{"a", 40.0};
const offered_load light_b{"b", 40.0};
/// Five times what the link carries.
const offered_load flood{"flood", 680.0, 1.0};

}  // namespace

BOOST_AUTO_TEST_SUITE(link_scheduler_test)

/// Load: two accounts with 0.16 of the link each, one with five times the link, for 120 s.
BOOST_AUTO_TEST_CASE(flooding_account_does_not_delay_the_others) {
    for (const unsigned seed : {1U, 2U, 3U}) {
        simulated_link alone(seed);
        alone.run(120.0, {light_a, light_b});
        simulated_link flooded(seed);
        flooded.run(120.0, {light_a, light_b, flood});
        for (const char* account : {"a", "b"}) {
            for (const unsigned priority : {0U, 2U}) {
                BOOST_TEST_CONTEXT("seed " << seed << " account " << account << priority) {
                    const double before = alone.of(account, priority).delay_ms(0.99);
                    const double with_flood = flooded.of(account, priority).delay_ms(0.99);
                    BOOST_TEST_MESSAGE(account << priority << " p99 " << before
                                               << " ms, with flood " << with_flood << " ms");
                    BOOST_TEST(with_flood <= 1.5 * before);
                    BOOST_TEST(flooded.of(account, priority).refused == 0U);
                }
            }
        }
    }
}

/// Load: as above. The flooding account gets what the others leave of the capacity.
BOOST_AUTO_TEST_CASE(flooding_account_gets_what_the_others_leave) {
    simulated_link link(4);
    link.run(30.0, {light_a, light_b, flood});
    const double others =
        link.served_bytes_per_second("a", 30.0) + link.served_bytes_per_second("b", 30.0);
    const double own = link.served_bytes_per_second("flood", 30.0);
    BOOST_TEST(own >= 0.95 * (0.85 * simulated_link::bandwidth - others));
    BOOST_TEST(own + others <= 0.88 * simulated_link::bandwidth);
    BOOST_TEST_MESSAGE("longest queue " << link.longest_queue_ms() << " ms");
}

/// Load: three accounts with twice the link each.
BOOST_AUTO_TEST_CASE(accounts_that_all_flood_get_equal_shares) {
    simulated_link link(5);
    link.run(20.0, {{"x", 270.0, 1.0}, {"y", 270.0, 1.0}, {"z", 270.0, 1.0}});
    const double share = 0.85 * simulated_link::bandwidth / 3.0;
    for (const char* account : {"x", "y", "z"}) {
        const double own = link.served_bytes_per_second(account, 20.0);
        BOOST_TEST(own >= 0.95 * share);
        BOOST_TEST(own <= 1.08 * share);
    }
}

/// Load: one account with 1.8 times the link of long requests and 0.12 of urgent short ones, beside
/// two others. Guards against urgent requests that are refused or wait behind long ones.
BOOST_AUTO_TEST_CASE(urgent_requests_of_the_flooding_account_go_first_and_are_not_refused) {
    simulated_link link(6);
    link.run(30.0, {light_a, light_b, {"mixed", 425.0, 0.58}});
    account_result& urgent = link.of("mixed", 0);
    account_result& rest = link.of("mixed", 2);
    BOOST_TEST(urgent.refused == 0U);
    BOOST_TEST(rest.refused_share() > 0.3);
    BOOST_TEST(urgent.delay_ms(0.99) < 80.0);
    BOOST_TEST(urgent.delay_ms(0.5) < 0.5 * rest.delay_ms(0.5));
    BOOST_TEST(urgent.delay_ms(0.99) < 0.5 * rest.delay_ms(0.99));
}

/// Load: urgent requests alone at twice the account's share. Only then are they refused.
BOOST_AUTO_TEST_CASE(urgent_requests_above_the_share_are_refused) {
    simulated_link link(7);
    link.run(15.0, {{"x", 270.0, 1.0}, {"urgent", 1300.0, 0.0}});
    BOOST_TEST(link.of("urgent", 0).refused_share() > 0.3);
    BOOST_TEST(link.served_bytes_per_second("urgent", 15.0) >=
               0.95 * 0.85 * simulated_link::bandwidth / 2.0);
}

/// Load: one account with twice the link in requests of one priority and all sizes. Guards against
/// refusals of small requests in favour of large ones.
BOOST_AUTO_TEST_CASE(large_requests_are_refused_before_small_ones) {
    simulated_link link(8);
    link.run(20.0, {{"x", 540.0, 0.5, 2, 2}});
    BOOST_TEST(link.of("x", 2).refused > 100U);
    BOOST_TEST(link.of("x", 2).smallest_refused > 3000.0);
}

/// Load: 0.45 of the link, in bursts of Poisson arrivals.
BOOST_AUTO_TEST_CASE(nothing_is_refused_and_next_to_nothing_held_below_half_of_the_bandwidth) {
    simulated_link link(9);
    link.run(30.0, {{"x", 110.0}});
    BOOST_TEST(link.of("x", 0).refused + link.of("x", 2).refused == 0U);
    const auto held = link.of("x", 0).held + link.of("x", 2).held;
    BOOST_TEST(held * 50 < link.of("x", 0).offered + link.of("x", 2).offered);
}

/// Load: 0.26 of the link in short requests. Estimates that are ten times too high must not hold
/// anything, since the measured use stays below half.
BOOST_AUTO_TEST_CASE(wrong_estimates_hold_nothing_while_the_link_has_room) {
    simulated_link link(10);
    link.estimate_factor = 10.0;
    link.run(20.0, {{"x", 200.0, 0.0}, {"y", 200.0, 0.0}});
    for (const char* account : {"x", "y"}) {
        for (const unsigned priority : {0U, 2U}) {
            BOOST_TEST(link.of(account, priority).refused == 0U);
            BOOST_TEST(link.of(account, priority).held == 0U);
        }
    }
}

/// Load: a flood beside 0.2 of the link of messages between hosts, which time out after 20 ms at
/// the earliest: their queue must stay short.
BOOST_AUTO_TEST_CASE(other_traffic_keeps_its_part_of_the_link) {
    simulated_link link(11);
    link.other_bytes_per_second = 0.2 * simulated_link::bandwidth;
    link.run(20.0, {light_a, light_b, flood});
    const double callers = link.served_bytes_per_second("a", 20.0) +
                           link.served_bytes_per_second("b", 20.0) +
                           link.served_bytes_per_second("flood", 20.0);
    BOOST_TEST(callers <= 0.69 * simulated_link::bandwidth);
    BOOST_TEST(callers >= 0.58 * simulated_link::bandwidth);
}

/// Load: six accounts that begin to flood at once on an idle link. Guards against a queue of the
/// bursts of all of them.
BOOST_AUTO_TEST_CASE(many_floods_that_begin_together_fill_the_link_for_a_bounded_time) {
    simulated_link link(12);
    std::vector<offered_load> floods;
    for (int i = 0; i < 6; ++i) {
        floods.push_back({"x" + std::to_string(i), 300.0, 1.0});
    }
    link.run(10.0, floods);
    BOOST_TEST(link.longest_queue_ms() < 250.0);
}

BOOST_AUTO_TEST_CASE(capacity_is_never_less_than_half_of_the_bandwidth) {
    link_scheduler scheduler(1000.0);
    instant now{seconds(10)};
    link_bytes others;
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(20);
        others.received += 100;
        scheduler.observe(now, {}, others);
    }
    BOOST_TEST(scheduler.capacity() == 500.0);
}

/// The bytes of refused heads are assigned to other traffic after they were counted. An unsigned
/// difference below zero made the link look full for good.
BOOST_AUTO_TEST_CASE(total_that_becomes_smaller_is_not_a_full_link) {
    link_scheduler scheduler(1.25e6);
    instant now{seconds(10)};
    for (const std::uint64_t total : {1000U, 2000U, 1900U, 2000U, 2100U}) {
        now += milliseconds(20);
        scheduler.observe(now, {total, total}, {});
        BOOST_TEST(scheduler.utilization() < 0.1);
    }
}

BOOST_AUTO_TEST_CASE(unknown_bandwidth_lets_everything_proceed) {
    link_scheduler scheduler(0.0);
    const instant now{seconds(10)};
    for (int i = 0; i < 1000; ++i) {
        scheduler.observe(now + milliseconds(i), {std::uint64_t(i) * 100'000, 0}, {});
        BOOST_TEST(
            (scheduler.submit(now, {"a", 2, 1e6, milliseconds(1)}).action == link_action::proceed));
    }
    BOOST_TEST(scheduler.waiting() == 0U);
}

/// A scheduler of a saturated link whose time a test sets.
struct saturated_fixture {
    static constexpr double bandwidth = 1.25e6;

    saturated_fixture() { pass(seconds(1)); }

    /// Lets time pass while the link is in full use.
    void pass(microseconds length) {
        for (const instant end = now + length; now < end;) {
            now += milliseconds(1);
            total += 1100;
            scheduler.observe(now, {total, total}, {});
        }
    }

    link_decision submit(std::string account, unsigned priority, double bytes,
                         microseconds longest_wait = milliseconds(200)) {
        return scheduler.submit(now, {std::move(account), priority, bytes, longest_wait});
    }

    link_scheduler scheduler{bandwidth};
    instant now{seconds(10)};
    std::uint64_t total = 0;
};

/// A refused request that comes back after the time that it was told must be served at once.
BOOST_FIXTURE_TEST_CASE(retry_after_is_true, saturated_fixture) {
    link_decision refused;
    while (refused.action != link_action::refuse) {
        refused = submit("a", 2, 9200.0);
    }
    BOOST_TEST((refused.time >= milliseconds(100)));
    const instant told = now + refused.time;
    while (now < told) {
        pass(milliseconds(1));
        scheduler.resolve(now);
    }
    BOOST_TEST((submit("a", 2, 9200.0).action == link_action::proceed));
}

/// A time that is much too long leaves the link idle.
BOOST_FIXTURE_TEST_CASE(retry_after_is_not_longer_than_needed, saturated_fixture) {
    link_decision refused;
    while (refused.action != link_action::refuse) {
        refused = submit("a", 2, 9200.0);
    }
    while (now < instant(seconds(10)) + seconds(1) + refused.time / 2) {
        pass(milliseconds(1));
        scheduler.resolve(now);
    }
    BOOST_TEST((submit("a", 2, 9200.0).action != link_action::proceed));
}

/// Guards against a thousand callers that all come back for the same free share.
BOOST_FIXTURE_TEST_CASE(refused_requests_are_told_different_times, saturated_fixture) {
    while (submit("a", 2, 9200.0).action != link_action::refuse) {
    }
    const link_decision second = submit("a", 2, 9200.0);
    const link_decision third = submit("a", 2, 9200.0);
    BOOST_TEST((third.time > second.time + milliseconds(5)));
    for (int i = 0; i < 1000; ++i) {
        BOOST_TEST((submit("a", 2, 9200.0).time < seconds(1)));
    }
}

/// An urgent request that arrives later displaces waiting ones that can then no longer start.
BOOST_FIXTURE_TEST_CASE(later_urgent_requests_displace_the_least_urgent, saturated_fixture) {
    std::size_t waits = 0;
    for (link_decision each; each.action != link_action::refuse;) {
        each = submit("a", 2, 9200.0);
        waits += each.action == link_action::wait ? 1 : 0;
    }
    BOOST_REQUIRE(waits > 5U);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST((submit("a", 0, 2000.0).action != link_action::refuse));
    }
    std::size_t displaced = 0;
    for (const link_resolution& each : scheduler.resolve(now)) {
        displaced += each.proceeds ? 0 : 1;
    }
    BOOST_TEST(displaced > 0U);
}

/// A caller that disconnects while it waits must not use its account's share.
BOOST_FIXTURE_TEST_CASE(cancelled_request_leaves_its_place, saturated_fixture) {
    std::vector<std::uint64_t> tickets;
    for (link_decision each; each.action != link_action::refuse;) {
        each = submit("a", 2, 9200.0);
        if (each.action == link_action::wait) {
            tickets.push_back(each.ticket);
        }
    }
    for (const std::uint64_t ticket : tickets) {
        scheduler.cancel(ticket);
    }
    BOOST_TEST(scheduler.waiting() == 0U);
    BOOST_TEST((submit("a", 2, 9200.0).action == link_action::wait));
}

BOOST_FIXTURE_TEST_CASE(waiting_requests_proceed_once_the_link_has_room, saturated_fixture) {
    std::size_t waits = 0;
    for (int i = 0; i < 24; ++i) {
        waits += submit("a", 2, 9200.0, seconds(2)).action == link_action::wait ? 1 : 0;
    }
    BOOST_REQUIRE(waits > 3U);
    now += milliseconds(150);
    scheduler.observe(now, {total, total}, {});
    BOOST_TEST(scheduler.has_room());
    std::size_t started = 0;
    for (int i = 0; i < 5; ++i) {
        now += milliseconds(5);
        scheduler.observe(now, {total, total}, {});
        for (const link_resolution& each : scheduler.resolve(now)) {
            started += each.proceeds ? 1 : 0;
        }
    }
    BOOST_TEST(started == waits);
}

/// Guards against memory and work that grow with an account's connections.
BOOST_FIXTURE_TEST_CASE(thousand_connections_of_one_account_wait_within_a_bound,
                        saturated_fixture) {
    for (int i = 0; i < 5000; ++i) {
        submit("a", 2, 10.0, seconds(30));
    }
    BOOST_TEST(scheduler.waiting() <= 512U);
    BOOST_TEST((submit("b", 2, 9200.0).action == link_action::proceed));
}

BOOST_FIXTURE_TEST_CASE(state_shows_share_and_backlog, saturated_fixture) {
    submit("a", 2, 9200.0);
    submit("b", 2, 9200.0);
    for (int i = 0; i < 30; ++i) {
        submit("b", 2, 9200.0, seconds(2));
    }
    const link_account_state state = scheduler.state_of("b");
    BOOST_TEST(state.share == 0.85 * bandwidth / 2.0, boost::test_tools::tolerance(0.01));
    BOOST_TEST(state.backlog_bytes > 100'000.0);
    BOOST_TEST(scheduler.is_saturated());
}

BOOST_AUTO_TEST_SUITE_END()
