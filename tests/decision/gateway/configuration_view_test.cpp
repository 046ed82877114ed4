#include "wrenswitch/decision/gateway/configuration_view.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// Two hosts, nested prefixes and one account.
struct view_fixture {
    configuration_view view;

    view_fixture() { view.apply(version(5)); }

    static gateway_configuration version(std::uint64_t number) {
        gateway_configuration made;
        made.version = number;
        made.routes = {route("outer", "/a/"), route("inner", "/a/b/")};
        made.accounts = {{"tenant", {"key-1", "key-2"}, 0, std::nullopt, {}}};
        made.services = {{"llm", 10, engine_shape{}, {}}};
        return made;
    }

    static gateway_route route(const char* name, const char* prefix) {
        gateway_route made;
        made.name = name;
        made.host = "Example.test";
        made.path_prefix = prefix;
        made.splits = {{"llm", 1.0}};
        return made;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(configuration_view_test, view_fixture)

BOOST_AUTO_TEST_CASE(route_of_a_nested_path_is_the_longest_prefix) {
    BOOST_TEST(view.route_of("example.test", "/a/b/c")->name == "inner");
    BOOST_TEST(view.route_of("example.test:8080", "/a/x")->name == "outer");
}

BOOST_AUTO_TEST_CASE(route_of_an_unknown_host_or_path_is_none) {
    BOOST_TEST(view.route_of("other.test", "/a/") == nullptr);
    BOOST_TEST(view.route_of("example.test", "/b/") == nullptr);
    BOOST_TEST(view.route_of("example.test", "/a") == nullptr);
}

BOOST_AUTO_TEST_CASE(older_version_is_not_applied) {
    BOOST_TEST(!view.apply(version(4)));
    BOOST_TEST(!view.apply(version(5)));
    BOOST_TEST(view.current().version == 5U);
}

BOOST_AUTO_TEST_CASE(newer_version_replaces_keys) {
    gateway_configuration next = version(6);
    next.accounts[0].keys = {"key-2"};
    BOOST_TEST(view.apply(next));
    BOOST_TEST(view.account_of_key("key-1") == nullptr);
    BOOST_TEST(view.account_of_key("key-2")->name == "tenant");
}

BOOST_AUTO_TEST_CASE(unknown_view_decides_nothing) {
    const configuration_view fresh;
    BOOST_TEST(!fresh.known());
    BOOST_TEST(fresh.route_of("example.test", "/a/") == nullptr);
}

BOOST_AUTO_TEST_CASE(split_follows_the_weights) {
    gateway_route split = route("split", "/s/");
    split.splits = {{"first", 90.0}, {"second", 10.0}, {"none", 0.0}};
    BOOST_TEST(configuration_view::choose_split(split, 0.0)->service == "first");
    BOOST_TEST(configuration_view::choose_split(split, 0.89)->service == "first");
    BOOST_TEST(configuration_view::choose_split(split, 0.91)->service == "second");
    BOOST_TEST(configuration_view::choose_split(split, 0.9999999)->service == "second");
}

BOOST_AUTO_TEST_CASE(split_without_weight_is_none) {
    gateway_route split = route("split", "/s/");
    split.splits = {{"first", 0.0}};
    BOOST_TEST(configuration_view::choose_split(split, 0.5) == nullptr);
}

BOOST_AUTO_TEST_CASE(limit_that_can_not_be_read_allows_nothing_and_the_others_stay) {
    gateway_configuration next = version(6);
    next.routes[0].regions_unreadable = true;
    next.routes[1].regions = {{"north"}};
    next.accounts[0].regions = {{"north"}};
    next.accounts[0].regions_unreadable = true;
    BOOST_TEST(view.apply(next));
    BOOST_TEST((view.route_of("example.test", "/a/x")->regions == allowed_regions{region_set{}}));
    BOOST_TEST((view.route_of("example.test", "/a/b/c")->regions == allowed_regions{{"north"}}));
    BOOST_TEST((view.account_of_key("key-1")->regions == allowed_regions{region_set{}}));
    const std::vector<std::string> places{"routes/outer/regions", "accounts/tenant/regions"};
    BOOST_TEST(unreadable_limits(view.current()) == places, boost::test_tools::per_element());
    BOOST_TEST(view.apply(version(7)));
    BOOST_TEST(!view.route_of("example.test", "/a/x")->regions.has_value());
    BOOST_TEST(unreadable_limits(view.current()).empty());
}

BOOST_AUTO_TEST_SUITE_END()
