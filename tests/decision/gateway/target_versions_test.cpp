#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};

/// Six targets of "v1" and six of "v2" in two pools that share no state.
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

    static std::string pick(target_pool& from, const version_constraint& constraint,
                            std::vector<std::string> tried = {}) {
        const target_choice choice = from.pick(now, "app", tried, {}, false, {{}, constraint});
        return choice.target == nullptr ? "" : choice.target->id;
    }

    static std::set<std::string> picked(target_pool& from, const version_constraint& constraint) {
        std::set<std::string> found;
        for (int attempt = 0; attempt < 300; ++attempt) {
            found.insert(pick(from, constraint));
        }
        return found;
    }

    static engine_request prompt(const version_constraint& constraint) {
        engine_request request;
        request.prompt = {3000, 100, 50, {{1, 1000}, {2, 1000}, {3, 1000}}};
        request.engine = {3, 200'000, 0.01};
        request.first_event_objective = milliseconds(600);
        request.constraints.version = constraint;
        return request;
    }
};

constexpr auto any_target = [](std::string_view) { return true; };

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_pool_versions_test, versions_fixture)

BOOST_AUTO_TEST_CASE(constraint_admits_only_its_versions) {
    for (const std::string& id : picked(pool, {version_rule::only, "v2", 0, 0, {}})) {
        BOOST_TEST(id.starts_with("v2"));
    }
    for (const std::string& id : picked(pool, {version_rule::other_than, "v2", 0, 0, {}})) {
        BOOST_TEST(id.starts_with("v1"));
    }
    BOOST_TEST(picked(pool, {}).size() == 12U);
    BOOST_TEST(pick(pool, {version_rule::only, "v3", 0, 0, {}}).empty());
}

BOOST_AUTO_TEST_CASE(group_is_the_same_in_every_pool_and_depends_on_the_seed) {
    std::set<std::set<std::string>> groups;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        const version_constraint constraint{version_rule::only, "v2", 2, seed, {}};
        const std::set<std::string> group = picked(pool, constraint);
        BOOST_TEST(group.size() == 2U);
        BOOST_TEST((group == picked(other, constraint)));
        groups.insert(group);
    }
    BOOST_TEST(groups.size() > 5U);
}

BOOST_AUTO_TEST_CASE(failed_target_stays_in_its_group) {
    const version_constraint constraint{version_rule::only, "v2", 1, 4, {}};
    const std::string member = pick(pool, constraint);
    for (int attempt = 0; attempt < 10; ++attempt) {
        pool.on_failure(now, member);
        BOOST_TEST(pick(pool, constraint) == member);
    }
    BOOST_TEST(pick(pool, constraint, {member}).empty());
}

BOOST_AUTO_TEST_CASE(engines_and_rendezvous_engines_meet_the_constraint) {
    const version_constraint constraint{version_rule::only, "v2", 2, 9, {}};
    const engine_request request = prompt(constraint);
    for (int attempt = 0; attempt < 30; ++attempt) {
        const target_choice choice =
            pool.pick_engine(now, "app", request, {}, any_target, permit_share::coordinator);
        BOOST_REQUIRE((choice.target != nullptr));
        BOOST_TEST(choice.target->version == "v2");
        BOOST_TEST(pool.rendezvous_engine(now, "app", request, {}).starts_with("v2"));
        pool.begin_attempt(now, choice.target->id, request, 3000, true);
    }
    BOOST_TEST(!pool.is_usable(now, "v1-1", "app", request.constraints));
    BOOST_TEST(pool.is_usable(now, "v2-1", "app", request.constraints));
}

BOOST_AUTO_TEST_CASE(memory_is_copied_from_engines_of_other_version) {
    const engine_request to_old = prompt({version_rule::other_than, "v2", 0, 0, {}});
    const target_choice first =
        pool.pick_engine(now, "app", to_old, {}, any_target, permit_share::coordinator);
    const std::uint64_t attempt_number =
        pool.begin_attempt(now, first.target->id, to_old, 3000, true);
    pool.record_first_event(now + milliseconds(60), first.target->id, attempt_number);
    pool.end_attempt(now + milliseconds(80), first.target->id, attempt_number);
    engine_request to_new = prompt({version_rule::only, "v2", 0, 0, {}});
    to_new.prompt.parts.back() = {77, 1000};
    const target_choice second = pool.pick_engine(now + milliseconds(100), "app", to_new, {},
                                                  any_target, permit_share::coordinator);
    BOOST_TEST(second.target->version == "v2");
    BOOST_REQUIRE((second.copy_from != nullptr));
    BOOST_TEST(second.copy_from->id == first.target->id);
}

BOOST_AUTO_TEST_CASE(new_version_is_held_back_until_orders_are_read) {
    pool.apply(target("v3", 1));
    pool.quarantine_new_version(now, "v3-1");
    pool.apply(target("v3", 2));
    pool.quarantine_new_version(now + milliseconds(10), "v3-2");
    BOOST_TEST(pool.waits_for_orders(now));
    for (const std::string& id : picked(pool, {})) {
        BOOST_TEST(!id.starts_with("v3"));
    }
    // A read that began before the target was first seen may have missed the order.
    pool.orders_read(now - milliseconds(1));
    BOOST_TEST(pool.waits_for_orders(now));
    BOOST_TEST(!pool.is_usable(now, "v3-1", "app"));
    pool.orders_read(now + milliseconds(20));
    BOOST_TEST(!pool.waits_for_orders(now));
    BOOST_TEST(pool.is_usable(now, "v3-1", "app"));
    BOOST_TEST(picked(pool, {}).size() == 14U);
}

BOOST_AUTO_TEST_CASE(known_or_only_version_is_not_held_back) {
    pool.apply(target("v2", 9));
    pool.quarantine_new_version(now, "v2-9");
    BOOST_TEST(!pool.waits_for_orders(now));
    target_pool single_version({}, random);
    single_version.apply(target("v5", 1));
    single_version.quarantine_new_version(now, "v5-1");
    single_version.apply(target("v5", 2));
    single_version.quarantine_new_version(now, "v5-2");
    BOOST_TEST(!single_version.waits_for_orders(now));
    BOOST_TEST(!pick(single_version, {}).empty());
}

/// A gateway that starts while two versions run can't tell which is the old one.
BOOST_AUTO_TEST_CASE(gateway_that_finds_two_new_versions_uses_neither_before_the_orders) {
    target_pool starting({}, random);
    for (const char* version : {"v1", "v2"}) {
        starting.apply(target(version, 1));
        starting.quarantine_new_version(now, std::string(version) + "-1");
    }
    BOOST_TEST(pick(starting, {}).empty());
    BOOST_TEST(pick(starting, {version_rule::other_than, "v2", 0, 0, {}}) == "v1-1");
    starting.orders_read(now + milliseconds(1));
    BOOST_TEST(!pick(starting, {}).empty());
}

/// Once the targets that could serve in its place have gone, a new version isn't held back.
BOOST_AUTO_TEST_CASE(new_version_without_alternative_does_not_wait_for_orders) {
    target_pool starting({}, random);
    starting.apply(target("v1", 1));
    starting.apply(target("v2", 1));
    starting.quarantine_new_version(now, "v2-1");
    starting.remove(now, "v1-1");
    BOOST_TEST(pick(starting, {}) == "v1-1");
    const instant gone = now + seconds(2);
    BOOST_TEST(!starting.waits_for_orders(gone));
    BOOST_TEST((starting.pick(gone, "app", {}, {}, false, {}).target->id == "v2-1"));
}

/// An order for one version doesn't apply to another version that appeared later.
BOOST_AUTO_TEST_CASE(version_newer_than_the_known_order_waits_for_the_next_order) {
    pool.apply(target("v3", 1));
    pool.quarantine_new_version(now, "v3-1");
    const version_constraint not_v2{version_rule::other_than, "v2", 0, 0, {}};
    for (const std::string& id : picked(pool, not_v2)) {
        BOOST_TEST(id.starts_with("v1"));
    }
    pool.orders_read(now + milliseconds(1));
    BOOST_TEST(picked(pool, not_v2).contains("v3-1"));
}

BOOST_AUTO_TEST_CASE(service_has_only_a_version_if_no_other_was_known_recently) {
    BOOST_TEST(!pool.has_only_version("app", "v2"));
    BOOST_TEST(!pool.has_only_version("nobody", "v2"));
    for (int number = 1; number <= 6; ++number) {
        pool.remove(now, target("v1", number).id);
    }
    BOOST_TEST(!pool.has_only_version("app", "v2"));
    pool.expire_unlisted(now + seconds(60));
    BOOST_TEST(pool.has_only_version("app", "v2"));
}

BOOST_AUTO_TEST_SUITE_END()
