#include "wrenswitch/decision/placement/engine_coordinators.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

/// Twenty entries, four of which have more capacity than the others, and 180 engines.
struct coordinators_fixture {
    token_allocator_selector members{"h3", {}};
    engine_coordinators coordinators{members};

    coordinators_fixture() {
        for (int number = 1; number <= 20; ++number) {
            members.apply(member(number));
        }
    }

    static cluster_member member(int number) {
        const std::string host = "h" + std::to_string(number);
        return {host, incarnation_id{1}, "tcp://" + host, number <= 4 ? 0.5 : 0.1, {}, {}};
    }

    std::map<std::string, int> engines_by_coordinator(instant at = now) {
        std::map<std::string, int> counts;
        for (int engine = 0; engine < 180; ++engine) {
            counts[coordinators.coordinator_of(at, "e" + std::to_string(engine))->host] += 1;
        }
        return counts;
    }
};

/// The same entries in two regions, odd numbers in the north, and engines in both regions.
struct regional_coordinators_fixture {
    token_allocator_selector members{"h3", regional_settings("north")};
    engine_coordinators coordinators{members, region_of};

    regional_coordinators_fixture() { fill(members); }

    static token_allocator_settings regional_settings(const std::string& region) {
        token_allocator_settings settings;
        settings.own_region = region;
        return settings;
    }

    static void fill(token_allocator_selector& directory) {
        for (int number = 1; number <= 20; ++number) {
            cluster_member each = coordinators_fixture::member(number);
            each.region = number % 2 == 0 ? "south" : "north";
            directory.apply(each);
        }
    }

    static std::string_view region_of(std::string_view engine) {
        return (engine.back() - '0') % 2 == 0 ? "south" : "north";
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(engine_coordinators_test, coordinators_fixture)

BOOST_AUTO_TEST_CASE(engines_are_spread_evenly_over_the_largest_entries) {
    const auto counts = engines_by_coordinator();
    BOOST_TEST(counts.size() == 4U);
    for (const auto& [host, engines] : counts) {
        BOOST_TEST(members.largest_reachable(now, 4).size() == 4U);
        BOOST_TEST(engines > 25);
    }
}

BOOST_AUTO_TEST_CASE(
    entries_that_cannot_reach_each_other_do_not_both_coordinate_an_engine_exclusively) {
    token_allocator_selector others{"h1", {}};
    engine_coordinators their_coordinators{others};
    for (int number = 1; number <= 20; ++number) {
        others.apply(member(number));
    }
    members.record_failure(now, "h1");
    others.record_failure(now, "h3");
    unsigned both = 0;
    for (int engine = 0; engine < 180; ++engine) {
        const std::string id = "e" + std::to_string(engine);
        both +=
            coordinators.coordinates(now, id) && their_coordinators.coordinates(now, id) ? 1 : 0;
        BOOST_TEST(!(coordinators.coordinates_exclusively(now, id) &&
                     their_coordinators.coordinates_exclusively(now, id)));
    }
    // Two coordinators only make placement slightly worse, but would double the send rate to a cold
    // engine.
    BOOST_TEST(both > 0U);
}

BOOST_AUTO_TEST_CASE(alternative_coordinator_is_not_among_the_excluded_hosts) {
    const std::vector<std::string> excluded{"h1", "h2", "h4"};
    BOOST_TEST(coordinators.alternative_coordinator(now, excluded, 0.99)->host == "h3");
    const std::vector<std::string> all{"h1", "h2", "h3", "h4"};
    BOOST_TEST(!coordinators.alternative_coordinator(now, all, 0.5).has_value());
}

BOOST_AUTO_TEST_CASE(entries_with_the_same_members_select_the_same_coordinators) {
    token_allocator_selector others("h9", {});
    for (int number = 20; number >= 1; --number) {
        others.apply(member(number));
    }
    engine_coordinators elsewhere(others);
    for (int engine = 0; engine < 180; ++engine) {
        const std::string id = "e" + std::to_string(engine);
        BOOST_TEST(elsewhere.coordinator_of(now, id)->host ==
                   coordinators.coordinator_of(now, id)->host);
    }
}

BOOST_AUTO_TEST_CASE(coordinates_is_true_only_on_the_coordinators_host) {
    for (int engine = 0; engine < 180; ++engine) {
        const std::string id = "e" + std::to_string(engine);
        BOOST_TEST(coordinators.coordinates(now, id) ==
                   (coordinators.coordinator_of(now, id)->host == "h3"));
    }
}

BOOST_AUTO_TEST_CASE(engines_of_a_failed_coordinator_move_and_most_others_stay) {
    std::map<std::string, std::string> before;
    for (int engine = 0; engine < 180; ++engine) {
        const std::string id = "e" + std::to_string(engine);
        before[id] = coordinators.coordinator_of(now, id)->host;
    }
    members.record_failure(now, "h2");
    int unchanged = 0;
    for (const auto& [id, host] : before) {
        const std::string after = coordinators.coordinator_of(now, id)->host;
        BOOST_TEST(after != "h2");
        unchanged += after == host ? 1 : 0;
    }
    // The entry that replaces it may also take over engines of other coordinators.
    BOOST_TEST(unchanged > 80);
    BOOST_TEST(engines_by_coordinator(now + seconds(2)).contains("h2"));
}

BOOST_AUTO_TEST_CASE(coordinator_without_members_is_none) {
    token_allocator_selector no_members("h1", {});
    engine_coordinators none(no_members);
    BOOST_TEST(!none.coordinator_of(now, "e1").has_value());
    BOOST_TEST(!none.coordinates(now, "e1"));
}

BOOST_FIXTURE_TEST_CASE(engine_is_coordinated_by_an_entry_of_its_own_region,
                        regional_coordinators_fixture) {
    token_allocator_selector others{"h8", regional_settings("south")};
    engine_coordinators their_coordinators{others, region_of};
    fill(others);
    std::set<std::string> hosts;
    for (int engine = 0; engine < 180; ++engine) {
        const std::string id = "e" + std::to_string(engine);
        const cluster_member coordinator = *coordinators.coordinator_of(now, id);
        BOOST_TEST(coordinator.region == region_of(id));
        BOOST_TEST(their_coordinators.coordinator_of(now, id)->host == coordinator.host);
        BOOST_TEST(coordinators.coordinates_exclusively(now, id) == (coordinator.host == "h3"));
        hosts.insert(coordinator.host);
    }
    // Two coordinators for the ten entries of each region: the largest ones.
    BOOST_TEST(hosts == (std::set<std::string>{"h1", "h2", "h3", "h4"}));
}

BOOST_FIXTURE_TEST_CASE(engine_is_coordinated_from_another_region_if_no_entry_of_its_own_answers,
                        regional_coordinators_fixture) {
    for (int number = 2; number <= 20; number += 2) {
        members.record_failure(now, "h" + std::to_string(number));
    }
    BOOST_TEST(coordinators.coordinator_of(now, "e2")->region == "north");
    // The exclusive coordinator does not depend on which entries are reachable from here.
    for (int engine = 0; engine < 180; engine += 2) {
        BOOST_TEST(!coordinators.coordinates_exclusively(now, "e" + std::to_string(engine)));
    }
    BOOST_TEST(coordinators.coordinator_of(now + seconds(2), "e2")->region == "south");
}

BOOST_FIXTURE_TEST_CASE(engine_is_coordinated_exclusively_from_another_region_if_its_entries_left,
                        regional_coordinators_fixture) {
    const std::uint64_t before = coordinators.assignment_version(now);
    for (int number = 2; number <= 20; number += 2) {
        members.remove("h" + std::to_string(number));
    }
    bool coordinates = false;
    for (int engine = 0; engine < 180; engine += 2) {
        const std::string id = "e" + std::to_string(engine);
        BOOST_TEST(coordinators.coordinator_of(now, id)->region == "north");
        coordinates = coordinates || coordinators.coordinates_exclusively(now, id);
    }
    BOOST_TEST(coordinates);
    BOOST_TEST(coordinators.assignment_version(now) > before);
}

BOOST_FIXTURE_TEST_CASE(alternative_coordinator_is_of_the_own_region_first,
                        regional_coordinators_fixture) {
    BOOST_TEST(
        coordinators.alternative_coordinator(now, std::vector<std::string>{"h3"}, 0.99)->host ==
        "h1");
    const std::vector<std::string> same_region{"h1", "h3"};
    BOOST_TEST(coordinators.alternative_coordinator(now, same_region, 0.0)->region == "south");
    const std::vector<std::string> all{"h1", "h2", "h3", "h4"};
    BOOST_TEST(!coordinators.alternative_coordinator(now, all, 0.5).has_value());
}

BOOST_FIXTURE_TEST_CASE(single_region_has_the_same_coordinators_as_no_region,
                        coordinators_fixture) {
    token_allocator_selector single{"h3",
                                    regional_coordinators_fixture::regional_settings("north")};
    engine_coordinators their_coordinators{single};
    for (int number = 1; number <= 20; ++number) {
        cluster_member each = member(number);
        each.region = "north";
        single.apply(each);
    }
    for (int engine = 0; engine < 180; ++engine) {
        const std::string id = "e" + std::to_string(engine);
        BOOST_TEST(their_coordinators.coordinator_of(now, id)->host ==
                   coordinators.coordinator_of(now, id)->host);
    }
}

BOOST_AUTO_TEST_SUITE_END()
