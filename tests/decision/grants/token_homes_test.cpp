#include "wrenswitch/decision/grants/token_homes.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(100)};

ledger_member member(int number, double capacity = 1.0, std::uint64_t process = 1) {
    return {"h" + std::to_string(number),
            incarnation_id{process},
            "tcp://10.0.0." + std::to_string(number) + ":1",
            capacity,
            {},
            {}};
}

/// Twelve members of equal capacity, of which four are homes.
struct homes_fixture {
    token_home_settings settings{.most_homes = 4};
    token_homes homes{"h1", settings};

    homes_fixture() {
        for (int number = 1; number <= 12; ++number) {
            homes.apply(member(number));
        }
    }

    std::string home_of(const std::string& account, instant when = now) const {
        const auto home = homes.home_of(when, account);
        return home ? home->host : "";
    }

    /// An account whose home is another host than this one.
    std::string account_elsewhere() const {
        std::string account = "a";
        while (home_of(account) == "h1") {
            account += "x";
        }
        return account;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(token_homes_test, homes_fixture)

BOOST_AUTO_TEST_CASE(homes_of_many_accounts_are_few_hosts) {
    std::map<std::string, int> accounts;
    for (int number = 0; number < 200; ++number) {
        accounts[home_of("a" + std::to_string(number))] += 1;
    }
    BOOST_TEST(accounts.size() == 4U);
    for (const auto& [host, count] : accounts) {
        BOOST_TEST(count > 20);
    }
}

BOOST_AUTO_TEST_CASE(every_member_names_the_same_home) {
    token_homes other("h9", settings);
    for (int number = 12; number >= 1; --number) {
        other.apply(member(number));
    }
    for (int number = 0; number < 50; ++number) {
        const std::string account = "a" + std::to_string(number);
        BOOST_TEST(other.home_of(now, account)->host == home_of(account));
    }
}

BOOST_AUTO_TEST_CASE(home_without_members_is_none) {
    const token_homes empty("h1", settings);
    BOOST_TEST(!empty.home_of(now, "a").has_value());
    BOOST_TEST(!empty.is_home(now, "a"));
}

BOOST_AUTO_TEST_CASE(home_that_left_is_replaced) {
    const std::string first = home_of("a");
    homes.remove(first);
    BOOST_TEST(home_of("a") != first);
    BOOST_TEST(!home_of("a").empty());
}

BOOST_AUTO_TEST_CASE(home_that_failed_is_passed_over_for_a_while) {
    const std::string account = account_elsewhere();
    const std::string first = home_of(account);
    BOOST_TEST(homes.failed(now, first));
    BOOST_TEST(home_of(account) != first);
    BOOST_TEST(home_of(account, now + settings.first_rest) == first);
}

BOOST_AUTO_TEST_CASE(home_that_fails_again_rests_longer) {
    const std::string account = account_elsewhere();
    const std::string first = home_of(account);
    BOOST_TEST(homes.failed(now, first));
    BOOST_TEST(!homes.failed(now, first));
    const instant later = now + settings.first_rest;
    BOOST_TEST(!homes.failed(later, first));
    BOOST_TEST(home_of(account, later + settings.first_rest) != first);
    BOOST_TEST(home_of(account, later + settings.first_rest * 2) == first);
}

BOOST_AUTO_TEST_CASE(home_with_a_new_process_is_asked_at_once) {
    const std::string account = account_elsewhere();
    const std::string first = home_of(account);
    homes.failed(now, first);
    homes.apply(member(std::stoi(first.substr(1)), 1.0, 2));
    BOOST_TEST(home_of(account) == first);
}

BOOST_AUTO_TEST_CASE(home_that_answers_is_believed_to_be_well) {
    const std::string account = account_elsewhere();
    const std::string first = home_of(account);
    homes.failed(now, first);
    BOOST_TEST(homes.answered(first));
    BOOST_TEST(!homes.answered(first));
    BOOST_TEST(home_of(account) == first);
}

BOOST_AUTO_TEST_CASE(tried_hosts_are_left_out) {
    std::vector<std::string> tried;
    for (int count = 0; count < 4; ++count) {
        const auto home = homes.home_of(now, "a", tried);
        BOOST_REQUIRE(home.has_value());
        BOOST_TEST((std::find(tried.begin(), tried.end(), home->host) == tried.end()));
        tried.push_back(home->host);
    }
    BOOST_TEST(!homes.home_of(now, "a", tried).has_value());
}

BOOST_AUTO_TEST_CASE(larger_members_are_homes_before_smaller_ones) {
    int large = 0;
    for (int round = 0; round < 100; ++round) {
        token_homes mixed("none", {.most_homes = 1});
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
        large += mixed.home_of(now, "a")->host.starts_with("large") ? 1 : 0;
    }
    BOOST_TEST(large > 55);
    BOOST_TEST(large < 90);
}

BOOST_AUTO_TEST_CASE(largest_members_are_those_with_most_capacity_that_answer) {
    const auto largest = [this](std::size_t count) {
        std::vector<std::string> hosts;
        for (const ledger_member& each : homes.largest(now, count)) {
            hosts.push_back(each.host);
        }
        return hosts;
    };
    homes.apply(member(7, 4.0));
    homes.apply(member(9, 2.0));
    BOOST_TEST((largest(2) == std::vector<std::string>{"h7", "h9"}));
    homes.failed(now, "h7");
    BOOST_TEST(largest(1).front() == "h9");
    homes.remove("h9");
    homes.remove("h7");
    BOOST_TEST(homes.largest(now, 1).front().capacity == 1.0);
    BOOST_TEST(largest(100).size() == homes.members());
}

BOOST_AUTO_TEST_CASE(version_rises_with_members_and_with_silence) {
    const std::uint64_t before = homes.version();
    homes.apply(member(7, 4.0));
    const std::uint64_t joined = homes.version();
    BOOST_TEST(joined > before);
    homes.failed(now, "h7");
    const std::uint64_t silent = homes.version();
    BOOST_TEST(silent > joined);
    homes.answered("h7");
    BOOST_TEST(homes.version() > silent);
}

BOOST_AUTO_TEST_CASE(answers_and_silences_are_counted_by_process) {
    homes.answered("h2");
    homes.answered("h2");
    homes.failed(now, "h2");
    homes.failed(now, "unknown");
    homes.answered("unknown");
    const auto of_h2 = [this] {
        const std::vector<member_answers> all = homes.answers();
        BOOST_REQUIRE(all.size() == 12U);
        return *std::find_if(all.begin(), all.end(),
                             [](const auto& each) { return each.host == "h2"; });
    };
    BOOST_TEST(of_h2().answers == 2U);
    BOOST_TEST(of_h2().silences == 1U);
    homes.apply(member(2, 1.0, 2));
    BOOST_TEST(of_h2().answers == 0U);
    BOOST_TEST(of_h2().silences == 0U);
}

BOOST_AUTO_TEST_CASE(homes_are_in_the_region_that_is_nearest_to_the_store) {
    for (int number = 1; number <= 12; ++number) {
        ledger_member each = member(number);
        each.region = number % 2 == 0 ? "south" : "north";
        // One process in the south was busy, one in the north didn't find out.
        each.store_call = milliseconds(number % 2 == 1 ? 43 : number == 4 ? 90 : 3);
        each.store_call = number == 5 ? microseconds(0) : each.store_call;
        homes.apply(each);
    }
    for (int number = 0; number < 200; ++number) {
        BOOST_TEST(homes.home_of(now, "a" + std::to_string(number))->region == "south");
    }
    for (int number = 2; number <= 12; number += 2) {
        homes.remove("h" + std::to_string(number));
    }
    BOOST_TEST(homes.home_of(now, "a")->region == "north");
}

BOOST_AUTO_TEST_CASE(one_region_has_the_homes_that_no_region_has) {
    token_homes single{"h1", settings};
    for (int number = 1; number <= 12; ++number) {
        ledger_member each = member(number);
        each.region = "north";
        each.store_call = milliseconds(10 * number);
        single.apply(each);
    }
    for (int number = 0; number < 200; ++number) {
        const std::string account = "a" + std::to_string(number);
        BOOST_TEST(single.home_of(now, account)->host == home_of(account));
    }
}

BOOST_AUTO_TEST_CASE(regions_whose_way_to_the_store_is_not_known_all_have_homes) {
    std::map<std::string, int> regions;
    for (int number = 1; number <= 12; ++number) {
        ledger_member each = member(number);
        each.region = number % 2 == 0 ? "south" : "north";
        homes.apply(each);
    }
    for (int number = 0; number < 200; ++number) {
        regions[homes.home_of(now, "a" + std::to_string(number))->region] += 1;
    }
    BOOST_TEST(regions.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
