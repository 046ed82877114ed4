#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

/// Six targets of "v1" and six of "v2" at two pools that know nothing of each other.
struct versions_fixture {
    random_source random{3};
    random_source other_random{8};
    target_pool pool{{}, random};
    target_pool other{{}, other_random};

    versions_fixture() {
        for (int number = 1; number <= 6; ++number) {
            for (const char* version : {"v1", "v2"}) {
                pool.apply(target(version, number));
                other.apply(target(version, 7 - number));
            }
        }
    }

    static gateway_target target(const std::string& version, int number) {
        const std::string id = version + "-" + std::to_string(number);
        return {id, "app", "127.0.0.1:" + id, "d1", 6, false, version};
    }

    static std::string pick(target_pool& from, const version_limit& limit,
                            std::vector<std::string> tried = {}) {
        const target_choice choice = from.pick(now, "app", tried, {}, false, {{}, limit});
        return choice.target == nullptr ? "" : choice.target->id;
    }

    static std::set<std::string> picked(target_pool& from, const version_limit& limit) {
        std::set<std::string> all;
        for (int turn = 0; turn < 300; ++turn) {
            all.insert(pick(from, limit));
        }
        return all;
    }

    static engine_request prompt(const version_limit& limit) {
        engine_request request;
        request.shape = {3000, 100, 50, {{1, 1000}, {2, 1000}, {3, 1000}}};
        request.engine = {3, 200'000, 0.01};
        request.first_event_aim = milliseconds(600);
        request.limits.version = limit;
        return request;
    }
};

constexpr auto any_target = [](std::string_view) { return true; };

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_versions_test, versions_fixture)

BOOST_AUTO_TEST_CASE(limit_admits_the_versions_that_it_says) {
    for (const std::string& id : picked(pool, {version_rule::only, "v2", 0, 0, {}})) {
        BOOST_TEST(id.starts_with("v2"));
    }
    for (const std::string& id : picked(pool, {version_rule::other_than, "v2", 0, 0, {}})) {
        BOOST_TEST(id.starts_with("v1"));
    }
    BOOST_TEST(picked(pool, {}).size() == 12U);
    BOOST_TEST(pick(pool, {version_rule::only, "v3", 0, 0, {}}).empty());
}

BOOST_AUTO_TEST_CASE(group_is_the_same_at_every_pool_and_another_by_another_seed) {
    std::set<std::set<std::string>> groups;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        const version_limit limit{version_rule::only, "v2", 2, seed, {}};
        const std::set<std::string> group = picked(pool, limit);
        BOOST_TEST(group.size() == 2U);
        BOOST_TEST((group == picked(other, limit)));
        groups.insert(group);
    }
    BOOST_TEST(groups.size() > 5U);
}

BOOST_AUTO_TEST_CASE(target_that_fails_stays_in_its_group) {
    const version_limit limit{version_rule::only, "v2", 1, 4, {}};
    const std::string alone = pick(pool, limit);
    for (int turn = 0; turn < 10; ++turn) {
        pool.failed(now, alone);
        BOOST_TEST(pick(pool, limit) == alone);
    }
    BOOST_TEST(pick(pool, limit, {alone}).empty());
}

BOOST_AUTO_TEST_CASE(engines_and_their_meeting_points_are_within_the_limit) {
    const version_limit limit{version_rule::only, "v2", 2, 9, {}};
    const engine_request request = prompt(limit);
    for (int turn = 0; turn < 30; ++turn) {
        const target_choice choice =
            pool.pick_engine(now, "app", request, {}, any_target, turn_owner::keeper);
        BOOST_REQUIRE((choice.target != nullptr));
        BOOST_TEST(choice.target->version == "v2");
        BOOST_TEST(pool.meeting_engine(now, "app", request, {}).starts_with("v2"));
        pool.begin_run(now, choice.target->id, request, 3000, true);
    }
    BOOST_TEST(!pool.usable("v1-1", "app", request.limits));
    BOOST_TEST(pool.usable("v2-1", "app", request.limits));
}

BOOST_AUTO_TEST_CASE(memory_is_copied_from_engines_of_the_other_version) {
    const engine_request at_old = prompt({version_rule::other_than, "v2", 0, 0, {}});
    const target_choice first =
        pool.pick_engine(now, "app", at_old, {}, any_target, turn_owner::keeper);
    const std::uint64_t run = pool.begin_run(now, first.target->id, at_old, 3000, true);
    pool.first_event(now + milliseconds(60), first.target->id, run);
    pool.end_run(now + milliseconds(80), first.target->id, run);
    engine_request at_new = prompt({version_rule::only, "v2", 0, 0, {}});
    at_new.shape.parts.back() = {77, 1000};
    const target_choice second = pool.pick_engine(now + milliseconds(100), "app", at_new, {},
                                                  any_target, turn_owner::keeper);
    BOOST_TEST(second.target->version == "v2");
    BOOST_REQUIRE((second.copy_from != nullptr));
    BOOST_TEST(second.copy_from->id == first.target->id);
}

BOOST_AUTO_TEST_CASE(new_version_waits_until_the_orders_are_read) {
    pool.apply(target("v3", 1));
    pool.hold_back_new_version(now, "v3-1");
    pool.apply(target("v3", 2));
    pool.hold_back_new_version(now + milliseconds(10), "v3-2");
    BOOST_TEST(pool.waits_for_orders());
    for (const std::string& id : picked(pool, {})) {
        BOOST_TEST(!id.starts_with("v3"));
    }
    // A read that began before the target was met may have missed the order.
    pool.orders_read(now - milliseconds(1));
    BOOST_TEST(pool.waits_for_orders());
    BOOST_TEST(!pool.usable("v3-1", "app"));
    pool.orders_read(now + milliseconds(20));
    BOOST_TEST(!pool.waits_for_orders());
    BOOST_TEST(pool.usable("v3-1", "app"));
    BOOST_TEST(picked(pool, {}).size() == 14U);
}

BOOST_AUTO_TEST_CASE(version_that_is_known_or_alone_does_not_wait) {
    pool.apply(target("v2", 9));
    pool.hold_back_new_version(now, "v2-9");
    BOOST_TEST(!pool.waits_for_orders());
    target_pool alone({}, random);
    alone.apply(target("v5", 1));
    alone.hold_back_new_version(now, "v5-1");
    alone.apply(target("v5", 2));
    alone.hold_back_new_version(now, "v5-2");
    BOOST_TEST(!alone.waits_for_orders());
    BOOST_TEST(!pick(alone, {}).empty());
}

/// An entry that starts while two versions run can't tell which is the old one.
BOOST_AUTO_TEST_CASE(entry_that_meets_two_versions_at_once_uses_neither_before_the_orders) {
    target_pool starting({}, random);
    for (const char* version : {"v1", "v2"}) {
        starting.apply(target(version, 1));
        starting.hold_back_new_version(now, std::string(version) + "-1");
    }
    BOOST_TEST(pick(starting, {}).empty());
    BOOST_TEST(pick(starting, {version_rule::other_than, "v2", 0, 0, {}}) == "v1-1");
    starting.orders_read(now + milliseconds(1));
    BOOST_TEST(!pick(starting, {}).empty());
}

/// What an order says of one version says nothing of another that came since.
BOOST_AUTO_TEST_CASE(version_that_came_after_the_order_that_is_known_waits_for_the_next_one) {
    pool.apply(target("v3", 1));
    pool.hold_back_new_version(now, "v3-1");
    const version_limit not_v2{version_rule::other_than, "v2", 0, 0, {}};
    for (const std::string& id : picked(pool, not_v2)) {
        BOOST_TEST(id.starts_with("v1"));
    }
    pool.orders_read(now + milliseconds(1));
    BOOST_TEST(picked(pool, not_v2).contains("v3-1"));
}

BOOST_AUTO_TEST_CASE(service_has_only_a_version_if_none_other_is_known_of_late) {
    BOOST_TEST(!pool.has_only_version("app", "v2"));
    BOOST_TEST(!pool.has_only_version("nobody", "v2"));
    for (int number = 1; number <= 6; ++number) {
        pool.remove(now, target("v1", number).id);
    }
    BOOST_TEST(!pool.has_only_version("app", "v2"));
    pool.take_forgotten(now + seconds(60));
    BOOST_TEST(pool.has_only_version("app", "v2"));
}

BOOST_AUTO_TEST_SUITE_END()
