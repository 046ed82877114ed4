#include <boost/test/unit_test.hpp>
#include <set>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

bool any_engine(std::string_view /*id*/) {
    return true;
}

/// A gateway in the north, with targets and engines in two regions of two failure domains each.
struct region_preference_fixture {
    random_source random{3};
    target_pool pool{settings(true), random};

    region_preference_fixture() { add_targets(pool); }

    static target_pool_settings settings(bool has_regions) {
        target_pool_settings result;
        result.failure_domain = "n1";
        if (has_regions) {
            result.regions.add("n1", "north");
            result.regions.add("n2", "north");
            result.regions.add("s1", "south");
            result.regions.add("s2", "south");
        }
        return result;
    }

    static void add_targets(target_pool& into) {
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

    /// Processing the shared part takes about 25 ms for 500 tokens and 200 ms for 6,000.
    static engine_request prompt(std::uint64_t session, tokens shared) {
        engine_request request;
        request.prompt = {shared + 500, 100, 50, {{session, shared}, {session + 1, 500}}};
        request.engine = {3, 200'000, 0.002};
        request.first_event_objective = milliseconds(600);
        return request;
    }

    std::set<std::string> rendezvous_regions(tokens shared, rendezvous_scope scope) {
        std::set<std::string> regions;
        for (std::uint64_t session = 1; session < 100; session += 2) {
            regions.emplace(pool.region_of(
                pool.rendezvous_engine(now, "engine", prompt(session, shared), {}, scope)));
        }
        return regions;
    }

    void process_at(const std::string& engine, const engine_request& request) {
        const std::uint64_t attempt_number =
            pool.begin_attempt(now, engine, request, request.prompt.prompt_tokens, true);
        pool.end_attempt(now, engine, attempt_number);
    }

    void fill_target(const char* id, int requests) {
        for (int request = 0; request < requests; ++request) {
            pool.on_sent(id);
        }
    }

    std::string pick(microseconds objective = milliseconds(400)) {
        return pool.pick(now, "plain", {}, objective).target->id;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_pool_region_preference_test, region_preference_fixture)

BOOST_AUTO_TEST_CASE(request_with_little_to_share_uses_rendezvous_engine_in_own_region) {
    BOOST_TEST(
        (rendezvous_regions(500, rendezvous_scope::nearest) == std::set<std::string>{"north"}));
}

BOOST_AUTO_TEST_CASE(session_with_long_shared_prompt_uses_one_engine_for_all_regions) {
    const std::set<std::string> both{"north", "south"};
    BOOST_TEST((rendezvous_regions(6000, rendezvous_scope::nearest) == both));
    target_pool_settings southern_settings = settings(true);
    southern_settings.failure_domain = "s2";
    target_pool southern_pool{southern_settings, random};
    add_targets(southern_pool);
    for (std::uint64_t session = 1; session < 100; session += 2) {
        const engine_request request = prompt(session, 6000);
        BOOST_TEST(southern_pool.rendezvous_engine(now, "engine", request, {}) ==
                   pool.rendezvous_engine(now, "engine", request, {}));
    }
}

BOOST_AUTO_TEST_CASE(rendezvous_engine_is_in_other_region_if_requested_or_own_has_none) {
    const std::set<std::string> south{"south"};
    BOOST_TEST((rendezvous_regions(500, rendezvous_scope::another_region) == south));
    pool.set_evacuated(now, "n1", true);
    pool.set_evacuated(now, "n2", true);
    BOOST_TEST((rendezvous_regions(500, rendezvous_scope::nearest) == south));
    pool.set_evacuated(now, "s1", true);
    pool.set_evacuated(now, "s2", true);
    BOOST_TEST(pool.rendezvous_engine(now, "engine", prompt(1, 500), {}).empty());
}

BOOST_AUTO_TEST_CASE(rendezvous_engine_of_restricted_request_is_in_allowed_region) {
    engine_request restricted = prompt(1, 500);
    restricted.constraints.regions = {{"south"}};
    BOOST_TEST(pool.region_of(pool.rendezvous_engine(now, "engine", restricted, {})) == "south");
    restricted.constraints.regions = {{"north"}};
    BOOST_TEST(
        pool.rendezvous_engine(now, "engine", restricted, {}, rendezvous_scope::another_region)
            .empty());
}

BOOST_AUTO_TEST_CASE(own_region_is_preferred_until_its_engines_are_busy) {
    for (std::uint64_t session = 1; session < 40; session += 2) {
        const target_choice choice = pool.pick_engine(now, "engine", prompt(session, 500), {},
                                                      any_engine, permit_share::fallback);
        BOOST_TEST(pool.region_of(choice.target->id) == "north");
    }
    for (const std::string domain : {"n1", "n2"}) {
        for (int number = 1; number <= 3; ++number) {
            const std::string id = "e" + std::to_string(number) + "-" + domain;
            pool.begin_attempt(now, id, prompt(900, 39'000), 39'500, true);
        }
    }
    const target_choice choice =
        pool.pick_engine(now, "engine", prompt(1, 500), {}, any_engine, permit_share::fallback);
    BOOST_TEST(pool.region_of(choice.target->id) == "south");
    BOOST_TEST(choice.price.first_event_ms > 40.0);
}

BOOST_AUTO_TEST_CASE(memory_is_copied_only_within_a_region) {
    const engine_request request = prompt(1, 6000);
    process_at("e1-s1", request);
    const auto is_in_own_region = [this](std::string_view id) {
        return pool.region_of(id) == "north";
    };
    const target_choice near_choice =
        pool.pick_engine(now, "engine", request, {}, is_in_own_region, permit_share::coordinator);
    BOOST_TEST(near_choice.uncached_tokens == request.prompt.prompt_tokens);
    BOOST_TEST(
        (near_choice.copy_from == nullptr || pool.region_of(near_choice.copy_from->id) == "north"));
    target_choice improved = near_choice;
    pool.improve_copy_source(now, request, improved);
    BOOST_TEST(improved.uncached_tokens == request.prompt.prompt_tokens);
    const auto is_other = [](std::string_view id) { return id == "e2-s2"; };
    const target_choice far_choice =
        pool.pick_engine(now, "engine", request, {}, is_other, permit_share::coordinator);
    BOOST_REQUIRE((far_choice.copy_from != nullptr));
    BOOST_TEST(far_choice.copy_from->id == "e1-s1");
}

BOOST_AUTO_TEST_CASE(plain_target_of_other_region_is_used_when_own_region_is_full) {
    BOOST_TEST(pick() == "p-n1");
    fill_target("p-n1", 5);
    fill_target("p-n2", 1);
    for (int attempt = 0; attempt < 20; ++attempt) {
        BOOST_TEST(pick() == "p-n2");
    }
    fill_target("p-n1", 3);
    fill_target("p-n2", 7);
    BOOST_TEST(pool.region_of(pick()) == "south");
}

BOOST_AUTO_TEST_CASE(gateway_without_region_table_has_no_remote_targets) {
    target_pool without_regions{settings(false), random};
    add_targets(without_regions);
    std::set<std::string> found;
    for (std::uint64_t session = 1; session < 200; session += 2) {
        found.emplace(without_regions.rendezvous_engine(now, "engine", prompt(session, 500), {}));
    }
    BOOST_TEST(found.size() == 12U);
    BOOST_TEST(without_regions.region_of("e1-s1").empty());
    BOOST_TEST(
        without_regions
            .rendezvous_engine(now, "engine", prompt(1, 500), {}, rendezvous_scope::another_region)
            .empty());
}

BOOST_AUTO_TEST_SUITE_END()
