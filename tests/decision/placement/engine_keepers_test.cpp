#include "wrenswitch/decision/placement/engine_keepers.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

/// Twenty entries, four of which are larger than the others, and 180 engines.
struct keepers_fixture {
    token_homes members{"h3", {}};
    engine_keepers keepers{members};

    keepers_fixture() {
        for (int number = 1; number <= 20; ++number) {
            members.apply(member(number));
        }
    }

    static ledger_member member(int number) {
        const std::string host = "h" + std::to_string(number);
        return {host, incarnation_id{1}, "tcp://" + host, number <= 4 ? 0.5 : 0.1, {}, {}};
    }

    std::map<std::string, int> engines_by_keeper(instant at = now) {
        std::map<std::string, int> counts;
        for (int engine = 0; engine < 180; ++engine) {
            counts[keepers.keeper_of(at, "e" + std::to_string(engine))->host] += 1;
        }
        return counts;
    }
};

/// The same entries in two regions, odd ones in the north, with engines of both.
struct regional_keepers_fixture {
    token_homes members{"h3", regional_settings("north")};
    engine_keepers keepers{members, region_of};

    regional_keepers_fixture() { fill(members); }

    static token_home_settings regional_settings(const std::string& region) {
        token_home_settings settings;
        settings.own_region = region;
        return settings;
    }

    static void fill(token_homes& directory) {
        for (int number = 1; number <= 20; ++number) {
            ledger_member each = keepers_fixture::member(number);
            each.region = number % 2 == 0 ? "south" : "north";
            directory.apply(each);
        }
    }

    static std::string_view region_of(std::string_view engine) {
        return (engine.back() - '0') % 2 == 0 ? "south" : "north";
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(engine_keepers_test, keepers_fixture)

BOOST_AUTO_TEST_CASE(largest_entries_keep_about_as_many_engines_each) {
    const auto counts = engines_by_keeper();
    BOOST_TEST(counts.size() == 4U);
    for (const auto& [host, engines] : counts) {
        BOOST_TEST(members.largest(now, 4).size() == 4U);
        BOOST_TEST(engines > 25);
    }
}

BOOST_AUTO_TEST_CASE(entries_that_take_each_other_for_lost_do_not_both_keep_an_engine_for_all) {
    token_homes others{"h1", {}};
    engine_keepers theirs{others};
    for (int number = 1; number <= 20; ++number) {
        others.apply(member(number));
    }
    members.failed(now, "h1");
    others.failed(now, "h3");
    unsigned both = 0;
    for (int engine = 0; engine < 180; ++engine) {
        const std::string id = "e" + std::to_string(engine);
        both += keepers.is_own(now, id) && theirs.is_own(now, id) ? 1 : 0;
        BOOST_TEST(!(keepers.is_own_for_all(now, id) && theirs.is_own_for_all(now, id)));
    }
    // What makes a choice a little worse elsewhere must not double the turns of a cold engine.
    BOOST_TEST(both > 0U);
}

BOOST_AUTO_TEST_CASE(keeper_without_room_is_followed_by_one_that_was_not_asked) {
    const std::vector<std::string> asked{"h1", "h2", "h4"};
    BOOST_TEST(keepers.another(now, asked, 0.99)->host == "h3");
    const std::vector<std::string> all{"h1", "h2", "h3", "h4"};
    BOOST_TEST(!keepers.another(now, all, 0.5).has_value());
}

BOOST_AUTO_TEST_CASE(entries_name_the_same_keepers) {
    token_homes others("h9", {});
    for (int number = 20; number >= 1; --number) {
        others.apply(member(number));
    }
    engine_keepers elsewhere(others);
    for (int engine = 0; engine < 180; ++engine) {
        const std::string id = "e" + std::to_string(engine);
        BOOST_TEST(elsewhere.keeper_of(now, id)->host == keepers.keeper_of(now, id)->host);
    }
}

BOOST_AUTO_TEST_CASE(own_engines_are_those_that_this_host_keeps) {
    for (int engine = 0; engine < 180; ++engine) {
        const std::string id = "e" + std::to_string(engine);
        BOOST_TEST(keepers.is_own(now, id) == (keepers.keeper_of(now, id)->host == "h3"));
    }
}

BOOST_AUTO_TEST_CASE(engines_of_a_silent_keeper_alone_move) {
    std::map<std::string, std::string> before;
    for (int engine = 0; engine < 180; ++engine) {
        const std::string id = "e" + std::to_string(engine);
        before[id] = keepers.keeper_of(now, id)->host;
    }
    members.failed(now, "h2");
    int kept = 0;
    for (const auto& [id, host] : before) {
        const std::string after = keepers.keeper_of(now, id)->host;
        BOOST_TEST(after != "h2");
        kept += after == host ? 1 : 0;
    }
    // The one that takes its place may take some of the others' engines over too.
    BOOST_TEST(kept > 80);
    BOOST_TEST(engines_by_keeper(now + seconds(2)).contains("h2"));
}

BOOST_AUTO_TEST_CASE(without_members_there_is_no_keeper) {
    token_homes nobody("h1", {});
    engine_keepers none(nobody);
    BOOST_TEST(!none.keeper_of(now, "e1").has_value());
    BOOST_TEST(!none.is_own(now, "e1"));
}

BOOST_FIXTURE_TEST_CASE(engine_is_kept_by_an_entry_of_its_own_region, regional_keepers_fixture) {
    token_homes others{"h8", regional_settings("south")};
    engine_keepers theirs{others, region_of};
    fill(others);
    std::set<std::string> named;
    for (int engine = 0; engine < 180; ++engine) {
        const std::string id = "e" + std::to_string(engine);
        const ledger_member keeper = *keepers.keeper_of(now, id);
        BOOST_TEST(keeper.region == region_of(id));
        BOOST_TEST(theirs.keeper_of(now, id)->host == keeper.host);
        BOOST_TEST(keepers.is_own_for_all(now, id) == (keeper.host == "h3"));
        named.insert(keeper.host);
    }
    // Two for the ten entries of each region: the largest ones.
    BOOST_TEST(named == (std::set<std::string>{"h1", "h2", "h3", "h4"}));
}

BOOST_FIXTURE_TEST_CASE(region_without_an_entry_that_answers_is_kept_from_another_one,
                        regional_keepers_fixture) {
    for (int number = 2; number <= 20; number += 2) {
        members.failed(now, "h" + std::to_string(number));
    }
    BOOST_TEST(keepers.keeper_of(now, "e2")->region == "north");
    // Who gives turns at cold engines doesn't depend on who is reached from here.
    for (int engine = 0; engine < 180; engine += 2) {
        BOOST_TEST(!keepers.is_own_for_all(now, "e" + std::to_string(engine)));
    }
    BOOST_TEST(keepers.keeper_of(now + seconds(2), "e2")->region == "south");
}

BOOST_FIXTURE_TEST_CASE(region_whose_entries_have_left_is_kept_for_all_from_another_one,
                        regional_keepers_fixture) {
    const std::uint64_t before = keepers.changes(now);
    for (int number = 2; number <= 20; number += 2) {
        members.remove("h" + std::to_string(number));
    }
    bool is_own = false;
    for (int engine = 0; engine < 180; engine += 2) {
        const std::string id = "e" + std::to_string(engine);
        BOOST_TEST(keepers.keeper_of(now, id)->region == "north");
        is_own = is_own || keepers.is_own_for_all(now, id);
    }
    BOOST_TEST(is_own);
    BOOST_TEST(keepers.changes(now) > before);
}

BOOST_FIXTURE_TEST_CASE(keeper_without_room_is_followed_by_one_of_the_own_region_first,
                        regional_keepers_fixture) {
    BOOST_TEST(keepers.another(now, std::vector<std::string>{"h3"}, 0.99)->host == "h1");
    const std::vector<std::string> near{"h1", "h3"};
    BOOST_TEST(keepers.another(now, near, 0.0)->region == "south");
    const std::vector<std::string> all{"h1", "h2", "h3", "h4"};
    BOOST_TEST(!keepers.another(now, all, 0.5).has_value());
}

BOOST_FIXTURE_TEST_CASE(one_region_has_the_keepers_that_no_region_has, keepers_fixture) {
    token_homes single{"h3", regional_keepers_fixture::regional_settings("north")};
    engine_keepers theirs{single};
    for (int number = 1; number <= 20; ++number) {
        ledger_member each = member(number);
        each.region = "north";
        single.apply(each);
    }
    for (int engine = 0; engine < 180; ++engine) {
        const std::string id = "e" + std::to_string(engine);
        BOOST_TEST(theirs.keeper_of(now, id)->host == keepers.keeper_of(now, id)->host);
    }
}

BOOST_AUTO_TEST_SUITE_END()
