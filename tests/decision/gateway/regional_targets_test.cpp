#include <boost/test/unit_test.hpp>
#include <set>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

bool any_engine(std::string_view /*id*/) {
    return true;
}

/// An entry in the north, with targets and engines of two regions and of two failure domains each.
struct regional_fixture {
    random_source random{3};
    target_pool pool{settings(true), random};

    regional_fixture() { fill(pool); }

    static target_pool_settings settings(bool has_regions) {
        target_pool_settings made;
        made.failure_domain = "n1";
        if (has_regions) {
            made.regions.add("n1", "north");
            made.regions.add("n2", "north");
            made.regions.add("s1", "south");
            made.regions.add("s2", "south");
        }
        return made;
    }

    static void fill(target_pool& into) {
        for (const std::string domain : {"n1", "n2", "s1", "s2"}) {
            into.apply(target("p-" + domain, "plain", domain));
            for (int number = 1; number <= 3; ++number) {
                into.apply(target("e" + std::to_string(number) + "-" + domain, "engine", domain));
            }
        }
    }

    static gateway_target target(std::string id, const char* service, std::string domain) {
        return {std::move(id), service, "127.0.0.1:1", std::move(domain), 6, false, {}};
    }

    /// Some 25 ms of reading what is shared by 500 tokens, 200 by 6,000.
    static engine_request prompt(std::uint64_t session, tokens shared) {
        engine_request request;
        request.shape = {shared + 500, 100, 50, {{session, shared}, {session + 1, 500}}};
        request.engine = {3, 200'000, 0.002};
        request.first_event_aim = milliseconds(600);
        return request;
    }

    std::set<std::string> meeting_regions(tokens shared, meeting_place place) {
        std::set<std::string> regions;
        for (std::uint64_t session = 1; session < 100; session += 2) {
            regions.emplace(pool.region_of(
                pool.meeting_engine(now, "engine", prompt(session, shared), {}, place)));
        }
        return regions;
    }

    void read_at(const std::string& engine, const engine_request& request) {
        const std::uint64_t run = pool.begin_run(now, engine, request, request.shape.prompt, true);
        pool.end_run(now, engine, run);
    }

    void fill_target(const char* id, int requests) {
        for (int request = 0; request < requests; ++request) {
            pool.sent(id);
        }
    }

    std::string pick(microseconds aim = milliseconds(400)) {
        return pool.pick(now, "plain", {}, aim).target->id;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(regional_targets_test, regional_fixture)

BOOST_AUTO_TEST_CASE(request_with_little_to_share_meets_in_its_own_region) {
    BOOST_TEST((meeting_regions(500, meeting_place::nearest) == std::set<std::string>{"north"}));
}

BOOST_AUTO_TEST_CASE(session_that_is_long_to_read_meets_at_one_engine_for_all_regions) {
    const std::set<std::string> both{"north", "south"};
    BOOST_TEST((meeting_regions(6000, meeting_place::nearest) == both));
    target_pool_settings southern = settings(true);
    southern.failure_domain = "s2";
    target_pool theirs{southern, random};
    fill(theirs);
    for (std::uint64_t session = 1; session < 100; session += 2) {
        const engine_request asked = prompt(session, 6000);
        BOOST_TEST(theirs.meeting_engine(now, "engine", asked, {}) ==
                   pool.meeting_engine(now, "engine", asked, {}));
    }
}

BOOST_AUTO_TEST_CASE(engine_of_another_region_is_met_if_that_is_asked_for_or_none_is_near) {
    const std::set<std::string> south{"south"};
    BOOST_TEST((meeting_regions(500, meeting_place::another_region) == south));
    pool.set_emptied(now, "n1", true);
    pool.set_emptied(now, "n2", true);
    BOOST_TEST((meeting_regions(500, meeting_place::nearest) == south));
    pool.set_emptied(now, "s1", true);
    pool.set_emptied(now, "s2", true);
    BOOST_TEST(pool.meeting_engine(now, "engine", prompt(1, 500), {}).empty());
}

BOOST_AUTO_TEST_CASE(request_that_is_bound_meets_where_it_may_be) {
    engine_request bound = prompt(1, 500);
    bound.limits.regions = {{"south"}};
    BOOST_TEST(pool.region_of(pool.meeting_engine(now, "engine", bound, {})) == "south");
    bound.limits.regions = {{"north"}};
    BOOST_TEST(
        pool.meeting_engine(now, "engine", bound, {}, meeting_place::another_region).empty());
}

BOOST_AUTO_TEST_CASE(engine_chosen_alone_is_near_and_one_that_reads_is_left_for_a_far_one) {
    for (std::uint64_t session = 1; session < 40; session += 2) {
        const target_choice choice = pool.pick_engine(now, "engine", prompt(session, 500), {},
                                                      any_engine, turn_owner::stand_in);
        BOOST_TEST(pool.region_of(choice.target->id) == "north");
    }
    for (const std::string domain : {"n1", "n2"}) {
        for (int number = 1; number <= 3; ++number) {
            const std::string id = "e" + std::to_string(number) + "-" + domain;
            pool.begin_run(now, id, prompt(900, 39'000), 39'500, true);
        }
    }
    const target_choice choice =
        pool.pick_engine(now, "engine", prompt(1, 500), {}, any_engine, turn_owner::stand_in);
    BOOST_TEST(pool.region_of(choice.target->id) == "south");
    BOOST_TEST(choice.price.first_event_ms > 40.0);
}

BOOST_AUTO_TEST_CASE(memory_is_copied_within_a_region_alone) {
    const engine_request asked = prompt(1, 6000);
    read_at("e1-s1", asked);
    const auto is_near = [this](std::string_view id) { return pool.region_of(id) == "north"; };
    const target_choice near =
        pool.pick_engine(now, "engine", asked, {}, is_near, turn_owner::keeper);
    BOOST_TEST(near.unread == asked.shape.prompt);
    BOOST_TEST((near.copy_from == nullptr || pool.region_of(near.copy_from->id) == "north"));
    target_choice improved = near;
    pool.improve_source(now, asked, improved);
    BOOST_TEST(improved.unread == asked.shape.prompt);
    const auto is_other = [](std::string_view id) { return id == "e2-s2"; };
    const target_choice far =
        pool.pick_engine(now, "engine", asked, {}, is_other, turn_owner::keeper);
    BOOST_REQUIRE((far.copy_from != nullptr));
    BOOST_TEST(far.copy_from->id == "e1-s1");
}

BOOST_AUTO_TEST_CASE(plain_target_of_another_region_is_used_when_those_of_the_own_are_full) {
    BOOST_TEST(pick() == "p-n1");
    fill_target("p-n1", 5);
    fill_target("p-n2", 1);
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(pick() == "p-n2");
    }
    fill_target("p-n1", 3);
    fill_target("p-n2", 7);
    BOOST_TEST(pool.region_of(pick()) == "south");
}

BOOST_AUTO_TEST_CASE(entry_whose_regions_are_not_known_has_no_far_targets) {
    target_pool without{settings(false), random};
    fill(without);
    std::set<std::string> met;
    for (std::uint64_t session = 1; session < 200; session += 2) {
        met.emplace(without.meeting_engine(now, "engine", prompt(session, 500), {}));
    }
    BOOST_TEST(met.size() == 12U);
    BOOST_TEST(without.region_of("e1-s1").empty());
    BOOST_TEST(
        without.meeting_engine(now, "engine", prompt(1, 500), {}, meeting_place::another_region)
            .empty());
}

BOOST_AUTO_TEST_SUITE_END()
