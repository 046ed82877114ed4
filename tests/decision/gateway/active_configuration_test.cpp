#include "wrenswitch/decision/gateway/active_configuration.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// Version 5, with two nested prefixes on one host and one account.
struct active_configuration_fixture {
    active_configuration configuration;

    active_configuration_fixture() { configuration.apply(version(5)); }

    static gateway_configuration version(std::uint64_t number) {
        gateway_configuration result;
        result.version = number;
        result.routes = {route("outer", "/a/"), route("inner", "/a/b/")};
        result.accounts = {{"tenant", {"key-1", "key-2"}, 0, std::nullopt, {}}};
        result.services = {{"llm", 10, engine_profile{}, {}}};
        return result;
    }

    static gateway_route route(const char* name, const char* prefix) {
        gateway_route result;
        result.name = name;
        result.host = "Example.test";
        result.path_prefix = prefix;
        result.splits = {{"llm", 1.0}};
        return result;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(active_configuration_test, active_configuration_fixture)

BOOST_AUTO_TEST_CASE(find_route_of_a_nested_path_returns_the_longest_prefix) {
    BOOST_TEST(configuration.find_route("example.test", "/a/b/c")->name == "inner");
    BOOST_TEST(configuration.find_route("example.test:8080", "/a/x")->name == "outer");
}

BOOST_AUTO_TEST_CASE(find_route_of_an_unknown_host_or_path_returns_null) {
    BOOST_TEST(configuration.find_route("other.test", "/a/") == nullptr);
    BOOST_TEST(configuration.find_route("example.test", "/b/") == nullptr);
    BOOST_TEST(configuration.find_route("example.test", "/a") == nullptr);
}

BOOST_AUTO_TEST_CASE(older_version_is_not_applied) {
    BOOST_TEST(!configuration.apply(version(4)));
    BOOST_TEST(!configuration.apply(version(5)));
    BOOST_TEST(configuration.current().version == 5U);
}

BOOST_AUTO_TEST_CASE(newer_version_replaces_keys) {
    gateway_configuration next = version(6);
    next.accounts[0].keys = {"key-2"};
    BOOST_TEST(configuration.apply(next));
    BOOST_TEST(configuration.find_account_by_key("key-1") == nullptr);
    BOOST_TEST(configuration.find_account_by_key("key-2")->name == "tenant");
}

BOOST_AUTO_TEST_CASE(configuration_before_the_first_version_has_no_routes) {
    const active_configuration fresh;
    BOOST_TEST(!fresh.is_loaded());
    BOOST_TEST(fresh.find_route("example.test", "/a/") == nullptr);
}

BOOST_AUTO_TEST_CASE(split_follows_the_weights) {
    gateway_route split = route("split", "/s/");
    split.splits = {{"first", 90.0}, {"second", 10.0}, {"none", 0.0}};
    BOOST_TEST(active_configuration::choose_split(split, 0.0)->service == "first");
    BOOST_TEST(active_configuration::choose_split(split, 0.89)->service == "first");
    BOOST_TEST(active_configuration::choose_split(split, 0.91)->service == "second");
    BOOST_TEST(active_configuration::choose_split(split, 0.9999999)->service == "second");
}

BOOST_AUTO_TEST_CASE(split_without_weight_is_null) {
    gateway_route split = route("split", "/s/");
    split.splits = {{"first", 0.0}};
    BOOST_TEST(active_configuration::choose_split(split, 0.5) == nullptr);
}

BOOST_AUTO_TEST_CASE(unreadable_regions_allow_nothing_and_leave_other_restrictions_in_force) {
    gateway_configuration next = version(6);
    next.routes[0].regions_unreadable = true;
    next.routes[1].regions = {{"north"}};
    next.accounts[0].regions = {{"north"}};
    next.accounts[0].regions_unreadable = true;
    BOOST_TEST(configuration.apply(next));
    BOOST_TEST((configuration.find_route("example.test", "/a/x")->regions ==
                allowed_regions{region_set{}}));
    BOOST_TEST((configuration.find_route("example.test", "/a/b/c")->regions ==
                allowed_regions{{"north"}}));
    BOOST_TEST(
        (configuration.find_account_by_key("key-1")->regions == allowed_regions{region_set{}}));
    const std::vector<std::string> paths{"routes/outer/regions", "accounts/tenant/regions"};
    BOOST_TEST(unreadable_region_limits(configuration.current()) == paths,
               boost::test_tools::per_element());
    BOOST_TEST(configuration.apply(version(7)));
    BOOST_TEST(!configuration.find_route("example.test", "/a/x")->regions.has_value());
    BOOST_TEST(unreadable_region_limits(configuration.current()).empty());
}

BOOST_AUTO_TEST_CASE(requests_compete_only_if_priorities_differ_or_accounts_have_budgets) {
    // Elsewhere admission control of engines must not take effect.
    BOOST_TEST(!configuration.has_competing_requests("llm"));
    gateway_configuration other_priority = version(6);
    other_priority.routes[1].priority = 2;
    configuration.apply(other_priority);
    BOOST_TEST(configuration.has_competing_requests("llm"));
    BOOST_TEST(!configuration.has_competing_requests("other"));
    configuration.apply(version(7));
    BOOST_TEST(!configuration.has_competing_requests("llm"));
    gateway_configuration with_budget = version(8);
    with_budget.accounts[0].prepaid_tokens = 1000;
    configuration.apply(with_budget);
    BOOST_TEST(configuration.has_competing_requests("llm"));
}

BOOST_AUTO_TEST_SUITE_END()
