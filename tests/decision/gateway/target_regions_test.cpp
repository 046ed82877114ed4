#include <boost/test/unit_test.hpp>
#include <set>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

/// Targets and engines in two regions, and one of each in a failure domain that isn't in the region
/// table. The gateway is in the south.
struct region_constraints_fixture {
    random_source random{3};
    target_pool_settings settings;
    std::unique_ptr<target_pool> pool;

    region_constraints_fixture() {
        settings.failure_domain = "s1";
        settings.regions.add("n1", "north");
        settings.regions.add("n2", "north");
        settings.regions.add("s1", "south");
        make_pool();
    }

    void make_pool() {
        pool = std::make_unique<target_pool>(settings, random);
        for (const char* domain : {"n1", "n2", "s1", "x"}) {
            pool->apply(target("plain", domain));
            pool->apply(target("engine", domain));
        }
    }

    static gateway_target target(const std::string& service, const std::string& domain) {
        return {
            service + "-" + domain, service, "127.0.0.1:" + service + domain, domain, 6, false, {}};
    }

    static candidate_constraints in(region_set regions) { return {std::move(regions), {}}; }

    /// The targets that 60 requests with these constraints get, with an empty name for none.
    std::set<std::string> picked(const candidate_constraints& constraints,
                                 std::vector<std::string> tried = {}) {
        std::set<std::string> found;
        std::vector<std::string> sent;
        for (int attempt = 0; attempt < 60; ++attempt) {
            const target_choice choice = pool->pick(now, "plain", tried, {}, false, constraints);
            found.insert(choice.target == nullptr ? "" : choice.target->id);
            if (choice.target != nullptr) {
                pool->on_sent(choice.target->id);
                sent.push_back(choice.target->id);
            }
        }
        for (const std::string& id : sent) {
            pool->on_finished(id);
        }
        return found;
    }

    static engine_request prompt(std::uint64_t session, const candidate_constraints& constraints) {
        engine_request request;
        request.prompt = {3000, 100, 50, {{1, 1000}, {session, 1000}, {session + 1, 1000}}};
        request.engine = {3, 200'000, 0.002};
        request.first_event_objective = milliseconds(600);
        request.constraints = constraints;
        return request;
    }

    target_choice choose(const engine_request& request, const std::string& only = {}) {
        return pool->pick_engine(
            now, "engine", request, {},
            [&only](std::string_view id) { return only.empty() || id == only; },
            permit_share::coordinator);
    }
};

using names = std::set<std::string>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_pool_region_constraints_test, region_constraints_fixture)

BOOST_AUTO_TEST_CASE(restricted_request_goes_only_to_targets_of_allowed_regions) {
    BOOST_TEST((picked(in({"north"})) == names{"plain-n1", "plain-n2"}));
    BOOST_TEST((picked(in({"south"})) == names{"plain-s1"}));
    BOOST_TEST((picked(in({"north", "south"})) == names{"plain-n1", "plain-n2", "plain-s1"}));
    BOOST_TEST((picked({}) == names{"plain-n1", "plain-n2", "plain-s1", "plain-x"}));
}

BOOST_AUTO_TEST_CASE(request_without_allowed_region_gets_no_target) {
    BOOST_TEST((picked(in({})) == names{""}));
    BOOST_TEST((picked(in({"nowhere", ""})) == names{""}));
    BOOST_TEST(!pool->has_target_in(now, "plain", in({}).regions));
    BOOST_TEST(!pool->has_target_in(now, "plain", in({"nowhere", ""}).regions));
    BOOST_TEST(!pool->has_target_in(now, "unknown", in({"north"}).regions));
    BOOST_TEST(pool->has_target_in(now, "plain", in({"north"}).regions));
}

BOOST_AUTO_TEST_CASE(untried_target_has_to_be_allowed) {
    const auto has_untried = [this](std::vector<std::string> tried,
                                    const candidate_constraints& constraints) {
        return pool->has_untried(now, "plain", tried, constraints);
    };
    BOOST_TEST(has_untried({"plain-n1"}, in({"north"})));
    BOOST_TEST(!has_untried({"plain-s1"}, in({"south"})));
    BOOST_TEST(has_untried({"plain-s1"}, {}));
    BOOST_TEST(!has_untried({}, in({})));
}

BOOST_AUTO_TEST_CASE(retry_of_restricted_request_stays_in_allowed_regions) {
    BOOST_TEST((picked(in({"north"}), {"plain-n1"}) == names{"plain-n2"}));
    BOOST_TEST((picked(in({"north"}), {"plain-n1", "plain-n2"}) == names{""}));
}

BOOST_AUTO_TEST_CASE(restricted_request_prefers_ejected_or_unlisted_target_to_forbidden_one) {
    pool->on_failure(now, "plain-s1");
    BOOST_TEST((picked(in({"south"})) == names{"plain-s1"}));
    pool->remove(now, "plain-s1");
    BOOST_TEST((picked(in({"south"})) == names{"plain-s1"}));
    for (const char* domain : {"n1", "n2", "x"}) {
        pool->remove(now, "plain-" + std::string(domain));
    }
    BOOST_TEST((picked(in({"north"})) == names{"plain-n1", "plain-n2"}));
}

/// Where a region allowed it no other target, a request went to one that had left the list.
BOOST_AUTO_TEST_CASE(restricted_request_is_not_sent_to_target_that_has_gone) {
    pool->remove(now, "plain-s1");
    const instant gone = now + seconds(2);
    BOOST_TEST(pool->has_target_in(now, "plain", in({"south"}).regions));
    BOOST_TEST(!pool->has_target_in(gone, "plain", in({"south"}).regions));
    BOOST_TEST((pool->pick(gone, "plain", {}, {}, false, in({"south"})).target == nullptr));
}

BOOST_AUTO_TEST_CASE(restricted_request_whose_region_is_evacuated_gets_no_target) {
    pool->set_evacuated(now, "s1", true);
    BOOST_TEST((picked(in({"south"})) == names{""}));
}

BOOST_AUTO_TEST_CASE(restricted_request_gets_no_permit_at_cold_target_elsewhere) {
    pool->set_warmup(now, "plain", {seconds(30), 1.0});
    pool->mark_cold(now, "plain-s1", seconds(30));
    const std::set<std::string> found = picked(in({"south"}));
    BOOST_TEST(found.contains(""));
    BOOST_TEST(found.size() <= 2U);
    const target_choice last = pool->pick(now, "plain", {}, {}, false, in({"south"}));
    BOOST_TEST(last.all_cold);
    BOOST_TEST(!pool->is_usable(now, "plain-n1", "plain", in({"south"})));
}

BOOST_AUTO_TEST_CASE(target_listed_again_in_other_domain_has_the_new_region) {
    pool->apply({"plain-s1", "plain", "127.0.0.1:2", "n1", 6, false, {}}, 7);
    BOOST_TEST((picked(in({"south"})) == names{""}));
    BOOST_TEST(pool->region_of("plain-s1") == "north");
    BOOST_TEST(pool->region_of("plain-x").empty());
    BOOST_TEST(pool->region_of("unknown").empty());
}

BOOST_AUTO_TEST_CASE(engines_and_rendezvous_engines_of_restricted_prompt_are_allowed) {
    for (std::uint64_t session = 10; session < 60; session += 2) {
        const engine_request restricted = prompt(session, in({"north"}));
        const target_choice choice = choose(restricted);
        BOOST_TEST(pool->region_of(choice.target->id) == "north");
        pool->begin_attempt(now, choice.target->id, restricted, choice.uncached_tokens, true);
        BOOST_TEST(pool->region_of(pool->rendezvous_engine(now, "engine", restricted, {})) ==
                   "north");
    }
    BOOST_TEST(pool->rendezvous_engine(now, "engine", prompt(7, in({})), {}).empty());
    BOOST_TEST((choose(prompt(7, in({}))).target == nullptr));
}

BOOST_AUTO_TEST_CASE(prompt_memory_is_not_copied_into_other_region) {
    const engine_request restricted = prompt(7, in({"north"}));
    pool->begin_attempt(now, "engine-n1", restricted, 3000, true);
    // Another caller's prompt shares these parts and isn't restricted: the engine processes all of
    // it itself.
    for (const char* elsewhere : {"engine-s1", "engine-x"}) {
        const target_choice choice = choose(prompt(7, {}), elsewhere);
        BOOST_TEST((choice.copy_from == nullptr));
        BOOST_TEST(choice.uncached_tokens == 3000);
    }
    const target_choice in_same_region = choose(restricted, "engine-n2");
    BOOST_REQUIRE((in_same_region.copy_from != nullptr));
    BOOST_TEST(in_same_region.copy_from->id == "engine-n1");
}

BOOST_AUTO_TEST_CASE(copy_source_is_not_improved_across_regions) {
    const engine_request unrestricted = prompt(7, {});
    pool->begin_attempt(now, "engine-n1", unrestricted, 3000, true);
    target_choice choice;
    choice.target = pool->find("engine-s1");
    choice.uncached_tokens = 3000;
    pool->improve_copy_source(now, unrestricted, choice);
    BOOST_TEST((choice.copy_from == nullptr));
    choice.target = pool->find("engine-n2");
    pool->improve_copy_source(now, unrestricted, choice);
    BOOST_REQUIRE((choice.copy_from != nullptr));
    BOOST_TEST(choice.copy_from->id == "engine-n1");
}

BOOST_AUTO_TEST_CASE(memory_is_not_copied_from_or_to_forbidden_region) {
    BOOST_TEST(pool->may_copy("engine-n1", "engine-n2", in({"north"}).regions));
    BOOST_TEST(!pool->may_copy("engine-n1", "engine-n2", in({"south"}).regions));
    BOOST_TEST(!pool->may_copy("engine-n1", "engine-s1", in({"north", "south"}).regions));
    BOOST_TEST(!pool->may_copy("", "engine-s1", std::nullopt));
    BOOST_TEST(pool->may_copy("engine-x", "plain-x", std::nullopt));
}

BOOST_AUTO_TEST_CASE(gateway_without_region_table_serves_unrestricted_requests) {
    settings.regions = {};
    make_pool();
    BOOST_TEST((picked(in({"north"})) == names{""}));
    BOOST_TEST((picked({}) == names{"plain-n1", "plain-n2", "plain-s1", "plain-x"}));
    pool->begin_attempt(now, "engine-n1", prompt(7, {}), 3000, true);
    const target_choice choice = choose(prompt(7, {}), "engine-s1");
    BOOST_REQUIRE((choice.copy_from != nullptr));
    BOOST_TEST(choice.copy_from->id == "engine-n1");
}

BOOST_AUTO_TEST_SUITE_END()
