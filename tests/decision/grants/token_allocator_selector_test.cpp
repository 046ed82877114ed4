#include "wrenswitch/decision/grants/token_allocator_selector.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(100)};

cluster_member member(int number, double capacity = 1.0, std::uint64_t process = 1) {
    return {"h" + std::to_string(number),
            incarnation_id{process},
            "tcp://10.0.0." + std::to_string(number) + ":1",
            capacity,
            {},
            {}};
}

/// Twelve members with equal capacity, four of which are allocators.
struct selector_fixture {
    token_allocator_settings settings{.max_allocators = 4};
    token_allocator_selector selector{"h1", settings};

    selector_fixture() {
        for (int number = 1; number <= 12; ++number) {
            selector.apply(member(number));
        }
    }

    std::string allocator_of(const std::string& account, instant when = now) const {
        const auto allocator = selector.allocator_of(when, account);
        return allocator ? allocator->host : "";
    }

    /// An account whose allocator is not this host.
    std::string account_with_other_allocator() const {
        std::string account = "a";
        while (allocator_of(account) == "h1") {
            account += "x";
        }
        return account;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(token_allocator_selector_test, selector_fixture)

BOOST_AUTO_TEST_CASE(accounts_are_spread_over_few_allocators) {
    std::map<std::string, int> accounts;
    for (int number = 0; number < 200; ++number) {
        accounts[allocator_of("a" + std::to_string(number))] += 1;
    }
    BOOST_TEST(accounts.size() == 4U);
    for (const auto& [host, count] : accounts) {
        BOOST_TEST(count > 20);
    }
}

BOOST_AUTO_TEST_CASE(every_member_selects_the_same_allocator) {
    token_allocator_selector other("h9", settings);
    for (int number = 12; number >= 1; --number) {
        other.apply(member(number));
    }
    for (int number = 0; number < 50; ++number) {
        const std::string account = "a" + std::to_string(number);
        BOOST_TEST(other.allocator_of(now, account)->host == allocator_of(account));
    }
}

BOOST_AUTO_TEST_CASE(allocator_without_members_is_none) {
    const token_allocator_selector empty("h1", settings);
    BOOST_TEST(!empty.allocator_of(now, "a").has_value());
    BOOST_TEST(!empty.is_allocator(now, "a"));
}

BOOST_AUTO_TEST_CASE(allocator_that_left_is_replaced) {
    const std::string first = allocator_of("a");
    selector.remove(first);
    BOOST_TEST(allocator_of("a") != first);
    BOOST_TEST(!allocator_of("a").empty());
}

BOOST_AUTO_TEST_CASE(failed_allocator_is_skipped_during_its_backoff) {
    const std::string account = account_with_other_allocator();
    const std::string first = allocator_of(account);
    BOOST_TEST(selector.record_failure(now, first));
    BOOST_TEST(allocator_of(account) != first);
    BOOST_TEST(allocator_of(account, now + settings.initial_backoff) == first);
}

BOOST_AUTO_TEST_CASE(repeated_failure_doubles_the_backoff) {
    const std::string account = account_with_other_allocator();
    const std::string first = allocator_of(account);
    BOOST_TEST(selector.record_failure(now, first));
    BOOST_TEST(!selector.record_failure(now, first));
    const instant later = now + settings.initial_backoff;
    BOOST_TEST(!selector.record_failure(later, first));
    BOOST_TEST(allocator_of(account, later + settings.initial_backoff) != first);
    BOOST_TEST(allocator_of(account, later + settings.initial_backoff * 2) == first);
}

BOOST_AUTO_TEST_CASE(new_process_on_a_host_ends_its_backoff) {
    const std::string account = account_with_other_allocator();
    const std::string first = allocator_of(account);
    selector.record_failure(now, first);
    selector.apply(member(std::stoi(first.substr(1)), 1.0, 2));
    BOOST_TEST(allocator_of(account) == first);
}

BOOST_AUTO_TEST_CASE(answer_ends_the_backoff) {
    const std::string account = account_with_other_allocator();
    const std::string first = allocator_of(account);
    selector.record_failure(now, first);
    BOOST_TEST(selector.record_answer(first));
    BOOST_TEST(!selector.record_answer(first));
    BOOST_TEST(allocator_of(account) == first);
}

BOOST_AUTO_TEST_CASE(excluded_hosts_are_skipped) {
    std::vector<std::string> excluded;
    for (int count = 0; count < 4; ++count) {
        const auto allocator = selector.allocator_of(now, "a", excluded);
        BOOST_REQUIRE(allocator.has_value());
        BOOST_TEST(
            (std::find(excluded.begin(), excluded.end(), allocator->host) == excluded.end()));
        excluded.push_back(allocator->host);
    }
    BOOST_TEST(!selector.allocator_of(now, "a", excluded).has_value());
}

/// An allocator that is slower than the others loses the race for most of its appends, and the
/// requests of its accounts wait for tokens past their deadline.
BOOST_AUTO_TEST_CASE(larger_members_are_allocators_before_smaller_ones) {
    int large = 0;
    for (int round = 0; round < 100; ++round) {
        token_allocator_selector mixed("none", {.max_allocators = 1});
        for (int number = 0; number < 10; ++number) {
            const bool is_large = number < 2;
            mixed.apply({(is_large ? "large-" : "small-") + std::to_string(round) + "-" +
                             std::to_string(number),
                         incarnation_id{1},
                         "tcp://x",
                         is_large ? 0.5 : 0.05,
                         {},
                         {}});
        }
        large += mixed.allocator_of(now, "a")->host.starts_with("large") ? 1 : 0;
    }
    BOOST_TEST(large == 100);
}

BOOST_AUTO_TEST_CASE(largest_reachable_members_exclude_those_in_backoff) {
    const auto largest = [this](std::size_t count) {
        std::vector<std::string> hosts;
        for (const cluster_member& each : selector.largest_reachable(now, count)) {
            hosts.push_back(each.host);
        }
        return hosts;
    };
    selector.apply(member(7, 4.0));
    selector.apply(member(9, 2.0));
    BOOST_TEST((largest(2) == std::vector<std::string>{"h7", "h9"}));
    selector.record_failure(now, "h7");
    BOOST_TEST(largest(1).front() == "h9");
    selector.remove("h9");
    selector.remove("h7");
    BOOST_TEST(selector.largest_reachable(now, 1).front().capacity == 1.0);
    BOOST_TEST(largest(100).size() == selector.members());
}

BOOST_AUTO_TEST_CASE(version_increases_with_members_and_with_failures) {
    const std::uint64_t before = selector.version();
    selector.apply(member(7, 4.0));
    const std::uint64_t joined = selector.version();
    BOOST_TEST(joined > before);
    selector.record_failure(now, "h7");
    const std::uint64_t after_failure = selector.version();
    BOOST_TEST(after_failure > joined);
    selector.record_answer("h7");
    BOOST_TEST(selector.version() > after_failure);
}

BOOST_AUTO_TEST_CASE(calls_are_counted_by_process) {
    selector.record_answer("h2");
    selector.record_answer("h2");
    selector.record_failure(now, "h2");
    selector.record_failure(now, "unknown");
    selector.record_answer("unknown");
    const auto of_h2 = [this] {
        const std::vector<member_call_counts> all = selector.call_counts();
        BOOST_REQUIRE(all.size() == 12U);
        return *std::find_if(all.begin(), all.end(),
                             [](const auto& each) { return each.host == "h2"; });
    };
    BOOST_TEST(of_h2().answers == 2U);
    BOOST_TEST(of_h2().failures == 1U);
    selector.apply(member(2, 1.0, 2));
    BOOST_TEST(of_h2().answers == 0U);
    BOOST_TEST(of_h2().failures == 0U);
}

BOOST_AUTO_TEST_CASE(allocators_are_in_the_region_nearest_to_the_store) {
    for (int number = 1; number <= 12; ++number) {
        cluster_member each = member(number);
        each.region = number % 2 == 0 ? "south" : "north";
        // One process in the south measured a high latency, one in the north has no measurement.
        each.store_latency = milliseconds(number % 2 == 1 ? 43 : number == 4 ? 90 : 3);
        each.store_latency = number == 5 ? microseconds(0) : each.store_latency;
        selector.apply(each);
    }
    for (int number = 0; number < 200; ++number) {
        BOOST_TEST(selector.allocator_of(now, "a" + std::to_string(number))->region == "south");
    }
    for (int number = 2; number <= 12; number += 2) {
        selector.remove("h" + std::to_string(number));
    }
    BOOST_TEST(selector.allocator_of(now, "a")->region == "north");
}

BOOST_AUTO_TEST_CASE(single_region_has_the_same_allocators_as_no_region) {
    token_allocator_selector single{"h1", settings};
    for (int number = 1; number <= 12; ++number) {
        cluster_member each = member(number);
        each.region = "north";
        each.store_latency = milliseconds(10 * number);
        single.apply(each);
    }
    for (int number = 0; number < 200; ++number) {
        const std::string account = "a" + std::to_string(number);
        BOOST_TEST(single.allocator_of(now, account)->host == allocator_of(account));
    }
}

BOOST_AUTO_TEST_CASE(regions_with_unknown_store_latency_all_have_allocators) {
    std::map<std::string, int> regions;
    for (int number = 1; number <= 12; ++number) {
        cluster_member each = member(number);
        each.region = number % 2 == 0 ? "south" : "north";
        selector.apply(each);
    }
    for (int number = 0; number < 200; ++number) {
        regions[selector.allocator_of(now, "a" + std::to_string(number))->region] += 1;
    }
    BOOST_TEST(regions.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
