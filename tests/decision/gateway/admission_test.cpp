#include "wrenswitch/decision/gateway/admission.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// An engine's route, a plain route, a public one, and two accounts of which one pays.
struct admission_fixture {
    configuration_view view;

    admission_fixture() {
        gateway_configuration made;
        made.version = 1;
        made.routes = {route("/engine/", "llm", 1, false), route("/plain/", "app", 2, false),
                       route("/open/", "app", 0, true), route("/nowhere/", "", 0, true)};
        made.routes[3].splits.clear();
        made.services = {{"llm", 10, engine_shape{}, {}}, {"app", 10, std::nullopt, {}}};
        made.accounts = {{"payer", {"key-1"}, 1, 5000, {}},
                         {"free", {"key-2"}, 9, std::nullopt, {}}};
        view.apply(made);
    }

    static gateway_route route(const char* prefix, const char* service, unsigned priority,
                               bool open) {
        gateway_route made;
        made.host = "h";
        made.path_prefix = prefix;
        made.splits = {{service, 1.0}};
        made.priority = priority;
        made.is_public = open;
        return made;
    }

    /// A newer configuration that binds all routes and all accounts to regions.
    void bind(const allowed_regions& routes, const allowed_regions& accounts) {
        gateway_configuration made = view.current();
        made.version += 1;
        for (gateway_route& each : made.routes) {
            each.regions = routes;
        }
        for (gateway_account& each : made.accounts) {
            each.regions = accounts;
        }
        view.apply(made);
    }

    admitted_request admitted(const char* path, const char* key) {
        return std::get<admitted_request>(admit(view, "h", path, key, 0.5));
    }

    admission_refusal refused(const char* path, const char* key) {
        return std::get<admission_refusal>(admit(view, "h", path, key, 0.5));
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(admission_test, admission_fixture)

BOOST_AUTO_TEST_CASE(request_with_a_key_has_its_account_and_service) {
    const admitted_request found = admitted("/engine/x", "key-1");
    BOOST_TEST(found.service == "llm");
    BOOST_TEST(found.account == "payer");
    BOOST_TEST(found.counted);
    BOOST_TEST(found.engine.has_value());
}

BOOST_AUTO_TEST_CASE(accounts_priority_goes_before_the_routes) {
    BOOST_TEST(admitted("/engine/x", "key-1").urgency == 4U);
    BOOST_TEST(admitted("/plain/x", "key-1").urgency == 5U);
    BOOST_TEST(admitted("/plain/x", "key-2").urgency == 9U);
}

BOOST_AUTO_TEST_CASE(only_engines_tokens_of_a_prepaid_account_are_counted) {
    BOOST_TEST(!admitted("/plain/x", "key-1").counted);
    BOOST_TEST(!admitted("/engine/x", "key-2").counted);
}

BOOST_AUTO_TEST_CASE(public_route_needs_no_key_and_has_no_account) {
    BOOST_TEST(admitted("/open/x", "").account.empty());
}

BOOST_AUTO_TEST_CASE(refusals_name_what_is_missing) {
    BOOST_TEST((refused("/engine/x", "key-9") == admission_refusal::unknown_key));
    BOOST_TEST((refused("/engine/x", "") == admission_refusal::unknown_key));
    BOOST_TEST((refused("/other/x", "key-1") == admission_refusal::no_route));
    BOOST_TEST((refused("/nowhere/x", "key-1") == admission_refusal::no_service));
    view = configuration_view{};
    BOOST_TEST((refused("/engine/x", "key-1") == admission_refusal::no_configuration));
}

BOOST_AUTO_TEST_CASE(request_may_be_where_its_route_and_its_account_allow) {
    BOOST_TEST(!admitted("/engine/x", "key-1").regions.has_value());
    bind({{"north", "west"}}, std::nullopt);
    BOOST_TEST((admitted("/engine/x", "key-1").regions == allowed_regions{{"north", "west"}}));
    bind(std::nullopt, {{"south"}});
    BOOST_TEST((admitted("/engine/x", "key-1").regions == allowed_regions{{"south"}}));
    bind({{"north", "west"}}, {{"south", "west"}});
    BOOST_TEST((admitted("/engine/x", "key-1").regions == allowed_regions{{"west"}}));
    bind({{"north"}}, {{"south"}});
    BOOST_TEST(admitted("/engine/x", "key-1").regions->empty());
}

BOOST_AUTO_TEST_CASE(key_on_a_public_route_binds_its_request_too) {
    bind(std::nullopt, {{"south"}});
    BOOST_TEST((admitted("/open/x", "key-1").regions == allowed_regions{{"south"}}));
    BOOST_TEST(admitted("/open/x", "key-1").account.empty());
    BOOST_TEST(!admitted("/open/x", "").regions.has_value());
}

BOOST_AUTO_TEST_CASE(request_that_waits_is_bound_by_each_newer_configuration) {
    bind({{"north", "west"}}, std::nullopt);
    const admitted_request waiting = admitted("/engine/x", "key-1");
    const auto may_be = [&] { return regions_now(view, waiting, "h", "/engine/x"); };
    BOOST_TEST((may_be() == allowed_regions{{"north", "west"}}));
    bind({{"west"}}, std::nullopt);
    BOOST_TEST((may_be() == allowed_regions{{"west"}}));
    bind(std::nullopt, {{"north"}});
    BOOST_TEST((may_be() == allowed_regions{{"north"}}));
    // A configuration that takes the limit away doesn't free what was admitted with it.
    bind(std::nullopt, std::nullopt);
    BOOST_TEST((may_be() == allowed_regions{{"north", "west"}}));
    gateway_configuration bare;
    bare.version = 100;
    view.apply(bare);
    BOOST_TEST((may_be() == allowed_regions{{"north", "west"}}));
}

BOOST_AUTO_TEST_CASE(key_of_a_request_that_waits_on_a_public_route_goes_on_binding_it) {
    const admitted_request waiting = admitted("/open/x", "key-1");
    const admitted_request anyones = admitted("/open/x", "");
    bind(std::nullopt, {{"south"}});
    BOOST_TEST((regions_now(view, waiting, "h", "/open/x") == allowed_regions{{"south"}}));
    BOOST_TEST(!regions_now(view, anyones, "h", "/open/x").has_value());
}

BOOST_AUTO_TEST_CASE(key_that_is_taken_away_frees_no_request_that_waits) {
    const admitted_request waiting = admitted("/engine/x", "key-1");
    gateway_configuration rotated = view.current();
    rotated.version += 1;
    rotated.accounts[0].keys = {"key-3"};
    rotated.accounts[0].regions = {{"north"}};
    view.apply(rotated);
    BOOST_TEST((regions_now(view, waiting, "h", "/engine/x") == allowed_regions{{"north"}}));
}

BOOST_AUTO_TEST_SUITE_END()
