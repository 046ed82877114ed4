#include <boost/test/unit_test.hpp>

#include "wrenswitch/decision/gateway/target_pool.hpp"

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(50)};
constexpr microseconds step = milliseconds(10);

/// Three targets of a service, the first of which advertises a limit, at a gateway without peers.
struct pool_permits_fixture {
    random_source random{3};
    target_pool pool{{}, random};

    pool_permits_fixture() {
        for (const char* id : {"p1", "p2", "p3"}) {
            pool.apply(make_target(id));
        }
        advertise("p1", 50.0, now);
    }

    static gateway_target make_target(const std::string& id) {
        return {id, "plain", "127.0.0.1:" + id.substr(1), "d1", 6, false, {}};
    }

    void advertise(const char* id, double per_second, instant at) {
        pool.limits().on_response(at, id, at - step, per_second);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_pool_permits_test, pool_permits_fixture)

BOOST_AUTO_TEST_CASE(targets_without_permit_in_time_are_reported) {
    BOOST_TEST((pool.targets_without_permit(now, "plain", {}) == std::vector<std::string>{"p1"}));
    BOOST_TEST(pool.targets_without_permit(now, "plain", {milliseconds(20), {}}).empty());
    BOOST_TEST(pool.targets_without_permit(now, "other", {}).empty());
}

BOOST_AUTO_TEST_CASE(request_that_spares_a_permit_does_not_use_the_last_one) {
    const permit_request wanted{milliseconds(20), milliseconds(100)};
    BOOST_TEST(
        (pool.targets_without_permit(now, "plain", wanted) == std::vector<std::string>{"p1"}));
    advertise("p2", 50.0, now);
    BOOST_TEST(pool.targets_without_permit(now, "plain", wanted).empty());
}

BOOST_AUTO_TEST_CASE(permit_that_is_due_too_late_is_not_reserved) {
    BOOST_TEST(!pool.reserve_permit(now, "p1", {}).has_value());
    BOOST_TEST(pool.reserve_permit(now, "p2", {}).has_value());
    BOOST_TEST(pool.reserve_permit(now, "p1", milliseconds(20)).has_value());
}

BOOST_AUTO_TEST_CASE(request_that_waits_while_the_limit_decreases_is_not_sent) {
    const auto permit = pool.reserve_permit(now, "p1", milliseconds(20));
    BOOST_REQUIRE(permit.has_value());
    BOOST_TEST(pool.may_send(now, "p1", *permit));
    advertise("p1", 0.5, now + step);
    BOOST_TEST(!pool.may_send(now, "p1", *permit));
}

BOOST_AUTO_TEST_CASE(request_with_permit_from_before_the_first_limit_is_not_sent) {
    const auto permit = pool.reserve_permit(now, "p2", {});
    advertise("p2", 2.0, now + step);
    BOOST_TEST(!pool.may_send(now, "p2", *permit));
}

BOOST_AUTO_TEST_CASE(earliest_permit_covers_targets_without_immediate_permit) {
    BOOST_TEST(pool.earliest_permit(now, "plain").has_value());
    BOOST_TEST((pool.earliest_permit(now, "plain")->wait <= milliseconds(20)));
    BOOST_TEST(!pool.earliest_permit(now, "plain")->is_backoff);
    BOOST_TEST(!pool.earliest_permit(now, "other").has_value());
}

BOOST_AUTO_TEST_CASE(restarted_target_has_no_limit) {
    pool.on_restarted("p1");
    BOOST_TEST(pool.targets_without_permit(now, "plain", {}).empty());
}

BOOST_AUTO_TEST_CASE(target_in_backoff_gets_no_requests_and_no_request_waits_for_it) {
    pool.backoffs().add(now, "p2", seconds(3));
    BOOST_TEST((pool.targets_without_permit(now, "plain", {seconds(9), {}}) ==
                std::vector<std::string>{"p2"}));
    BOOST_TEST(!pool.reserve_permit(now, "p2", seconds(9)).has_value());
    BOOST_TEST(!pool.may_send(now, "p2", {}));
    const instant later = now + seconds(4);
    BOOST_TEST(pool.reserve_permit(later, "p2", {}).has_value());
    BOOST_TEST(pool.may_send(later, "p2", {}));
}

BOOST_AUTO_TEST_CASE(backoff_that_ends_first_is_the_earliest_permit) {
    pool.backoffs().add(now, "p1", seconds(8));
    pool.backoffs().add(now, "p2", seconds(3));
    BOOST_REQUIRE(pool.earliest_permit(now, "plain").has_value());
    BOOST_TEST(pool.earliest_permit(now, "plain")->is_backoff);
    BOOST_TEST((pool.earliest_permit(now, "plain")->wait >= seconds(3)));
    BOOST_TEST((pool.earliest_permit(now, "plain")->wait <= milliseconds(3750)));
}

BOOST_AUTO_TEST_CASE(later_shorter_backoff_does_not_end_longer_one) {
    pool.backoffs().add(now, "p2", seconds(3));
    pool.backoffs().add(now + step, "p2", milliseconds(100));
    pool.backoffs().add(now + step, "p2", seconds(0));
    BOOST_TEST((pool.backoffs().remaining(now + seconds(2), "p2") >= seconds(1)));
}

BOOST_AUTO_TEST_CASE(target_that_announced_draining_is_not_used_whatever_the_list_says) {
    BOOST_TEST(pool.mark_draining("p2"));
    BOOST_TEST(!pool.mark_draining("p2"));
    pool.apply(make_target("p2"), 9);
    BOOST_TEST(!pool.is_usable(now, "p2", "plain"));
    BOOST_TEST(!pool.may_send(now, "p2", {}));
    for (int attempt = 0; attempt < 20; ++attempt) {
        BOOST_TEST(pool.pick(now, "plain", std::vector<std::string>{"p1"}).target->id == "p3");
    }
}

BOOST_AUTO_TEST_CASE(restarted_target_is_neither_draining_nor_in_backoff) {
    pool.mark_draining("p2");
    pool.backoffs().add(now, "p2", seconds(3));
    pool.on_restarted("p2");
    BOOST_TEST(pool.is_usable(now, "p2", "plain"));
    BOOST_TEST(pool.may_send(now, "p2", {}));
}

BOOST_AUTO_TEST_SUITE_END()
