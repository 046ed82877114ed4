#include "wrenswitch/decision/gateway/target_pool.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

/// Three targets of a plain service in two failure domains, and four engines.
struct pool_fixture {
    random_source random{3};
    target_pool_settings settings;
    std::unique_ptr<target_pool> pool;
    prompt_shape none;

    pool_fixture() {
        settings.failure_domain = "d1";
        pool = std::make_unique<target_pool>(settings, random);
        pool->apply(target("p1", "plain", "d1"));
        pool->apply(target("p2", "plain", "d1"));
        pool->apply(target("p3", "plain", "d2"));
        for (const char* id : {"e1", "e2", "e3", "e4"}) {
            pool->apply(target(id, "engine", "d1"));
        }
    }

    static gateway_target target(const char* id, const char* service, const char* domain) {
        return {id, service, "127.0.0.1:1", domain, 6, false};
    }

    std::string pick(const prompt_shape& shape = {}, const char* service = "plain",
                     std::vector<std::string> tried = {}, instant at = now) {
        const gateway_target* chosen = pool->pick(at, service, shape, tried);
        return chosen == nullptr ? "" : chosen->id;
    }

    static prompt_shape prompt(std::uint64_t session, std::uint64_t own) {
        return {3000, 100, {{1, 1000}, {session, 1000}, {own, 1000}}};
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_pool_test, pool_fixture)

BOOST_AUTO_TEST_CASE(idle_targets_of_the_own_domain_are_preferred) {
    std::set<std::string> chosen;
    for (int turn = 0; turn < 100; ++turn) {
        chosen.insert(pick());
    }
    BOOST_TEST((chosen == std::set<std::string>{"p1", "p2"}));
}

BOOST_AUTO_TEST_CASE(target_whose_address_has_another_is_not_used) {
    gateway_target old = target("old", "other", "d1");
    gateway_target young = target("young", "other", "d1");
    old.address = young.address = "127.0.0.1:7";
    pool->apply(old, 3);
    BOOST_TEST(pick({}, "other") == "old");
    pool->apply(young, 9);
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(pick({}, "other") == "young");
    }
    BOOST_TEST(pick({}, "other", {"young"}).empty());
}

BOOST_AUTO_TEST_CASE(target_listed_last_is_used_in_whatever_order_the_list_comes) {
    gateway_target old = target("old", "other", "d1");
    gateway_target young = target("young", "other", "d1");
    old.address = young.address = "127.0.0.1:7";
    pool->apply(young, 9);
    pool->apply(old, 3);
    for (int turn = 0; turn < 20; ++turn) {
        BOOST_TEST(pick({}, "other") == "young");
    }
}

BOOST_AUTO_TEST_CASE(busy_target_is_avoided) {
    for (int turn = 0; turn < 3; ++turn) {
        pool->sent("p1", none);
        pool->sent("p2", none);
    }
    BOOST_TEST(pick() == "p3");
}

BOOST_AUTO_TEST_CASE(reported_load_counts_only_while_fresh) {
    pool->reported(now, "p1", {6, 4, 6, false});
    pool->reported(now, "p2", {6, 4, 6, false});
    BOOST_TEST(pick() == "p3");
    BOOST_TEST(pick({}, "plain", {}, now + settings.report_life + seconds(1)) != "p3");
}

BOOST_AUTO_TEST_CASE(leaving_target_gets_nothing) {
    gateway_target leaving = target("p1", "plain", "d1");
    leaving.leaving = true;
    pool->apply(leaving);
    for (int turn = 0; turn < 50; ++turn) {
        BOOST_TEST(pick() != "p1");
    }
}

BOOST_AUTO_TEST_CASE(unlisted_target_gets_nothing_while_others_are_listed) {
    pool->remove(now, "p1");
    for (int turn = 0; turn < 50; ++turn) {
        BOOST_TEST(pick() != "p1");
    }
}

BOOST_AUTO_TEST_CASE(unlisted_targets_are_used_when_the_list_lost_them_all) {
    for (const char* id : {"p1", "p2", "p3"}) {
        pool->remove(now, id);
    }
    BOOST_TEST(!pick().empty());
}

BOOST_AUTO_TEST_CASE(tried_targets_are_left_out) {
    BOOST_TEST(pick({}, "plain", {"p1", "p2"}) == "p3");
    BOOST_TEST(pick({}, "plain", {"p1", "p2", "p3"}).empty());
}

BOOST_AUTO_TEST_CASE(failed_target_rests_and_comes_back) {
    pool->failed(now, "p1");
    pool->failed(now, "p2");
    BOOST_TEST(pick() == "p3");
    std::set<std::string> later;
    for (int turn = 0; turn < 50; ++turn) {
        later.insert(pick({}, "plain", {}, now + seconds(30)));
    }
    BOOST_TEST(later.contains("p1"));
}

BOOST_AUTO_TEST_CASE(all_failed_targets_are_still_offered) {
    for (const char* id : {"p1", "p2", "p3"}) {
        pool->failed(now, id);
    }
    BOOST_TEST(!pick().empty());
}

BOOST_AUTO_TEST_CASE(target_that_fails_its_requests_is_avoided) {
    for (int turn = 0; turn < 10; ++turn) {
        pool->answered("p1", false);
    }
    for (int turn = 0; turn < 50; ++turn) {
        BOOST_TEST(pick() != "p1");
    }
}

BOOST_AUTO_TEST_CASE(requests_of_one_session_meet_at_one_engine) {
    const std::string first = pick(prompt(77, 1), "engine");
    for (std::uint64_t own = 2; own < 30; ++own) {
        BOOST_TEST(pick(prompt(77, own), "engine") == first);
    }
}

BOOST_AUTO_TEST_CASE(sessions_spread_over_engines) {
    std::set<std::string> chosen;
    for (std::uint64_t session = 10; session < 60; ++session) {
        chosen.insert(pick(prompt(session, session + 1000), "engine"));
    }
    BOOST_TEST(chosen.size() == 4U);
}

BOOST_AUTO_TEST_CASE(two_entries_choose_the_same_engine_without_talking) {
    random_source other_random(99);
    target_pool other(settings, other_random);
    for (const char* id : {"e4", "e2", "e1", "e3"}) {
        other.apply(target(id, "engine", "d1"));
    }
    for (std::uint64_t session = 10; session < 40; ++session) {
        const gateway_target* chosen = other.pick(now, "engine", prompt(session, 5), {});
        BOOST_TEST(chosen->id == pick(prompt(session, 6), "engine"));
    }
}

BOOST_AUTO_TEST_CASE(engine_with_a_long_prompt_to_read_is_avoided) {
    const std::string home = pick(prompt(77, 1), "engine");
    prompt_shape long_prompt{40'000, 100, {{500, 20'000}, {501, 20'000}}};
    pool->sent(home, long_prompt);
    BOOST_TEST(pick(prompt(77, 2), "engine") != home);
}

BOOST_AUTO_TEST_CASE(read_prompt_no_longer_counts) {
    const std::string home = pick(prompt(77, 1), "engine");
    prompt_shape long_prompt{40'000, 100, {{500, 20'000}, {501, 20'000}}};
    pool->read(home, pool->sent(home, long_prompt));
    BOOST_TEST(pick(prompt(77, 2), "engine") == home);
}

BOOST_AUTO_TEST_CASE(unlisted_idle_target_is_forgotten_after_a_while) {
    pool->remove(now, "p1");
    BOOST_TEST(pool->take_forgotten(now).empty());
    BOOST_TEST(pool->take_forgotten(now + seconds(60)).size() == 1U);
    BOOST_TEST(pool->find("p1") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
