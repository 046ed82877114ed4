#include <boost/test/unit_test.hpp>
#include <set>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

/// Targets and engines in two regions, and one of each in a failure domain that no table names. The
/// entry stands in the south.
struct target_regions_fixture {
    random_source random{3};
    target_pool_settings settings;
    std::unique_ptr<target_pool> pool;

    target_regions_fixture() {
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

    static candidate_limits in(region_set regions) { return {std::move(regions), {}}; }

    /// All targets that many requests with these limits get.
    std::set<std::string> picked(const candidate_limits& limits,
                                 std::vector<std::string> tried = {}) {
        std::set<std::string> found;
        std::vector<std::string> sent;
        for (int turn = 0; turn < 60; ++turn) {
            const target_choice choice = pool->pick(now, "plain", tried, {}, false, limits);
            found.insert(choice.target == nullptr ? "" : choice.target->id);
            if (choice.target != nullptr) {
                pool->sent(choice.target->id);
                sent.push_back(choice.target->id);
            }
        }
        for (const std::string& id : sent) {
            pool->finished(id);
        }
        return found;
    }

    static engine_request prompt(std::uint64_t session, const candidate_limits& limits) {
        engine_request request;
        request.shape = {3000, 100, 50, {{1, 1000}, {session, 1000}, {session + 1, 1000}}};
        request.engine = {3, 200'000, 0.002};
        request.first_event_aim = milliseconds(600);
        request.limits = limits;
        return request;
    }

    target_choice choose(const engine_request& request, const std::string& only = {}) {
        return pool->pick_engine(
            now, "engine", request, {},
            [&only](std::string_view id) { return only.empty() || id == only; },
            turn_owner::keeper);
    }
};

using names = std::set<std::string>;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_regions_test, target_regions_fixture)

BOOST_AUTO_TEST_CASE(bound_request_goes_only_to_targets_of_its_regions) {
    BOOST_TEST((picked(in({"north"})) == names{"plain-n1", "plain-n2"}));
    BOOST_TEST((picked(in({"south"})) == names{"plain-s1"}));
    BOOST_TEST((picked(in({"north", "south"})) == names{"plain-n1", "plain-n2", "plain-s1"}));
    BOOST_TEST((picked({}) == names{"plain-n1", "plain-n2", "plain-s1", "plain-x"}));
}

BOOST_AUTO_TEST_CASE(request_that_may_be_nowhere_gets_no_target) {
    BOOST_TEST((picked(in({})) == names{""}));
    BOOST_TEST((picked(in({"nowhere", ""})) == names{""}));
    BOOST_TEST(!pool->has_target_in("plain", in({}).regions));
    BOOST_TEST(!pool->has_target_in("plain", in({"nowhere", ""}).regions));
    BOOST_TEST(!pool->has_target_in("unknown", in({"north"}).regions));
    BOOST_TEST(pool->has_target_in("plain", in({"north"}).regions));
}

BOOST_AUTO_TEST_CASE(another_target_is_one_that_is_allowed_and_untried) {
    const auto another = [this](std::vector<std::string> tried, const candidate_limits& limits) {
        return pool->has_another(now, "plain", tried, limits);
    };
    BOOST_TEST(another({"plain-n1"}, in({"north"})));
    BOOST_TEST(!another({"plain-s1"}, in({"south"})));
    BOOST_TEST(another({"plain-s1"}, {}));
    BOOST_TEST(!another({}, in({})));
}

BOOST_AUTO_TEST_CASE(retry_of_a_bound_request_stays_in_its_regions) {
    BOOST_TEST((picked(in({"north"}), {"plain-n1"}) == names{"plain-n2"}));
    BOOST_TEST((picked(in({"north"}), {"plain-n1", "plain-n2"}) == names{""}));
}

BOOST_AUTO_TEST_CASE(
    bound_request_takes_an_ejected_or_unlisted_target_rather_than_a_forbidden_one) {
    pool->failed(now, "plain-s1");
    BOOST_TEST((picked(in({"south"})) == names{"plain-s1"}));
    pool->remove(now, "plain-s1");
    BOOST_TEST((picked(in({"south"})) == names{"plain-s1"}));
    for (const char* domain : {"n1", "n2", "x"}) {
        pool->remove(now, "plain-" + std::string(domain));
    }
    BOOST_TEST((picked(in({"north"})) == names{"plain-n1", "plain-n2"}));
}

BOOST_AUTO_TEST_CASE(bound_request_whose_region_is_emptied_gets_no_target) {
    pool->set_emptied(now, "s1", true);
    BOOST_TEST((picked(in({"south"})) == names{""}));
}

BOOST_AUTO_TEST_CASE(bound_request_waits_for_no_turn_at_a_cold_target_elsewhere) {
    pool->set_warmup(now, "plain", {seconds(30), 1.0});
    pool->note_cold(now, "plain-s1", seconds(30));
    const std::set<std::string> found = picked(in({"south"}));
    BOOST_TEST(found.contains(""));
    BOOST_TEST(found.size() <= 2U);
    const target_choice last = pool->pick(now, "plain", {}, {}, false, in({"south"}));
    BOOST_TEST(last.all_cold);
    BOOST_TEST(!pool->usable("plain-n1", "plain", in({"south"})));
}

BOOST_AUTO_TEST_CASE(target_that_is_listed_anew_elsewhere_has_the_new_region) {
    pool->apply({"plain-s1", "plain", "127.0.0.1:2", "n1", 6, false, {}}, 7);
    BOOST_TEST((picked(in({"south"})) == names{""}));
    BOOST_TEST(pool->region_of("plain-s1") == "north");
    BOOST_TEST(pool->region_of("plain-x").empty());
    BOOST_TEST(pool->region_of("unknown").empty());
}

BOOST_AUTO_TEST_CASE(engines_and_keepers_of_a_bound_prompt_are_in_its_regions) {
    for (std::uint64_t session = 10; session < 60; session += 2) {
        const engine_request bound = prompt(session, in({"north"}));
        const target_choice choice = choose(bound);
        BOOST_TEST(pool->region_of(choice.target->id) == "north");
        pool->begin_run(now, choice.target->id, bound, choice.unread, true);
        BOOST_TEST(pool->region_of(pool->meeting_engine(now, "engine", bound, {})) == "north");
    }
    BOOST_TEST(pool->meeting_engine(now, "engine", prompt(7, in({})), {}).empty());
    BOOST_TEST((choose(prompt(7, in({}))).target == nullptr));
}

BOOST_AUTO_TEST_CASE(memory_of_a_prompt_is_not_copied_into_another_region) {
    const engine_request bound = prompt(7, in({"north"}));
    pool->begin_run(now, "engine-n1", bound, 3000, true);
    // Another caller has the same parts and isn't bound: what it reads itself is its own.
    for (const char* elsewhere : {"engine-s1", "engine-x"}) {
        const target_choice choice = choose(prompt(7, {}), elsewhere);
        BOOST_TEST((choice.copy_from == nullptr));
        BOOST_TEST(choice.unread == 3000);
    }
    const target_choice beside = choose(bound, "engine-n2");
    BOOST_REQUIRE((beside.copy_from != nullptr));
    BOOST_TEST(beside.copy_from->id == "engine-n1");
}

BOOST_AUTO_TEST_CASE(source_for_a_keepers_choice_is_not_improved_across_regions) {
    const engine_request free = prompt(7, {});
    pool->begin_run(now, "engine-n1", free, 3000, true);
    target_choice choice;
    choice.target = pool->find("engine-s1");
    choice.unread = 3000;
    pool->improve_source(now, free, choice);
    BOOST_TEST((choice.copy_from == nullptr));
    choice.target = pool->find("engine-n2");
    pool->improve_source(now, free, choice);
    BOOST_REQUIRE((choice.copy_from != nullptr));
    BOOST_TEST(choice.copy_from->id == "engine-n1");
}

BOOST_AUTO_TEST_CASE(source_or_goal_that_is_not_allowed_is_not_copied_from_or_to) {
    BOOST_TEST(pool->may_copy("engine-n1", "engine-n2", in({"north"}).regions));
    BOOST_TEST(!pool->may_copy("engine-n1", "engine-n2", in({"south"}).regions));
    BOOST_TEST(!pool->may_copy("engine-n1", "engine-s1", in({"north", "south"}).regions));
    BOOST_TEST(!pool->may_copy("", "engine-s1", std::nullopt));
    BOOST_TEST(pool->may_copy("engine-x", "plain-x", std::nullopt));
}

BOOST_AUTO_TEST_CASE(entry_without_a_table_serves_what_is_not_bound_as_ever) {
    settings.regions = {};
    make_pool();
    BOOST_TEST((picked(in({"north"})) == names{""}));
    BOOST_TEST((picked({}) == names{"plain-n1", "plain-n2", "plain-s1", "plain-x"}));
    pool->begin_run(now, "engine-n1", prompt(7, {}), 3000, true);
    const target_choice choice = choose(prompt(7, {}), "engine-s1");
    BOOST_REQUIRE((choice.copy_from != nullptr));
    BOOST_TEST(choice.copy_from->id == "engine-n1");
}

BOOST_AUTO_TEST_SUITE_END()
