#include "wrenswitch/decision/gateway/admission.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

/// Routes to an engine and to a plain service, a public route and a route without services, and two
/// accounts of which one is prepaid.
struct admission_fixture {
    active_configuration configuration;

    admission_fixture() {
        gateway_configuration result;
        result.version = 1;
        result.routes = {route("/engine/", "llm", 1, false), route("/plain/", "app", 2, false),
                         route("/open/", "app", 0, true), route("/nowhere/", "", 0, true)};
        result.routes[3].splits.clear();
        result.services = {{"llm", 10, engine_profile{}, {}}, {"app", 10, std::nullopt, {}}};
        result.accounts = {{"payer", {"key-1"}, 1, 5000, {}},
                           {"free", {"key-2"}, 9, std::nullopt, {}}};
        configuration.apply(result);
    }

    static gateway_route route(const char* prefix, const char* service, unsigned priority,
                               bool is_public) {
        gateway_route result;
        result.host = "h";
        result.path_prefix = prefix;
        result.splits = {{service, 1.0}};
        result.priority = priority;
        result.is_public = is_public;
        return result;
    }

    /// Applies a newer configuration that restricts all routes and all accounts to regions.
    void restrict_regions(const allowed_regions& routes, const allowed_regions& accounts) {
        gateway_configuration result = configuration.current();
        result.version += 1;
        for (gateway_route& item : result.routes) {
            item.regions = routes;
        }
        for (gateway_account& item : result.accounts) {
            item.regions = accounts;
        }
        configuration.apply(result);
    }

    admitted_request admitted(const char* path, const char* key) {
        return std::get<admitted_request>(admit(configuration, "h", path, key, 0.5));
    }

    admission_refusal refused(const char* path, const char* key) {
        return std::get<admission_refusal>(admit(configuration, "h", path, key, 0.5));
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(admission_test, admission_fixture)

BOOST_AUTO_TEST_CASE(request_with_a_key_has_its_account_and_service) {
    const admitted_request found = admitted("/engine/x", "key-1");
    BOOST_TEST(found.service == "llm");
    BOOST_TEST(found.account == "payer");
    BOOST_TEST(found.is_metered);
    BOOST_TEST(found.engine.has_value());
}

BOOST_AUTO_TEST_CASE(account_priority_takes_precedence_over_route_priority) {
    BOOST_TEST(admitted("/engine/x", "key-1").priority == 4U);
    BOOST_TEST(admitted("/plain/x", "key-1").priority == 5U);
    BOOST_TEST(admitted("/plain/x", "key-2").priority == 9U);
}

BOOST_AUTO_TEST_CASE(engine_request_of_a_prepaid_account_only_is_metered) {
    BOOST_TEST(!admitted("/plain/x", "key-1").is_metered);
    BOOST_TEST(!admitted("/engine/x", "key-2").is_metered);
}

BOOST_AUTO_TEST_CASE(public_route_needs_no_key_and_has_no_account) {
    BOOST_TEST(admitted("/open/x", "").account.empty());
}

BOOST_AUTO_TEST_CASE(refusal_names_what_is_missing) {
    BOOST_TEST((refused("/engine/x", "key-9") == admission_refusal::unknown_key));
    BOOST_TEST((refused("/engine/x", "") == admission_refusal::unknown_key));
    BOOST_TEST((refused("/other/x", "key-1") == admission_refusal::no_route));
    BOOST_TEST((refused("/nowhere/x", "key-1") == admission_refusal::no_service));
    configuration = active_configuration{};
    BOOST_TEST((refused("/engine/x", "key-1") == admission_refusal::no_configuration));
}

BOOST_AUTO_TEST_CASE(request_is_restricted_to_regions_of_both_route_and_account) {
    BOOST_TEST(!admitted("/engine/x", "key-1").regions.has_value());
    restrict_regions({{"north", "west"}}, std::nullopt);
    BOOST_TEST((admitted("/engine/x", "key-1").regions == allowed_regions{{"north", "west"}}));
    restrict_regions(std::nullopt, {{"south"}});
    BOOST_TEST((admitted("/engine/x", "key-1").regions == allowed_regions{{"south"}}));
    restrict_regions({{"north", "west"}}, {{"south", "west"}});
    BOOST_TEST((admitted("/engine/x", "key-1").regions == allowed_regions{{"west"}}));
    restrict_regions({{"north"}}, {{"south"}});
    BOOST_TEST(admitted("/engine/x", "key-1").regions->empty());
}

BOOST_AUTO_TEST_CASE(key_on_a_public_route_restricts_the_regions_of_its_request) {
    restrict_regions(std::nullopt, {{"south"}});
    BOOST_TEST((admitted("/open/x", "key-1").regions == allowed_regions{{"south"}}));
    BOOST_TEST(admitted("/open/x", "key-1").account.empty());
    BOOST_TEST(!admitted("/open/x", "").regions.has_value());
}

BOOST_AUTO_TEST_CASE(waiting_request_is_restricted_by_each_newer_configuration) {
    restrict_regions({{"north", "west"}}, std::nullopt);
    const admitted_request waiting = admitted("/engine/x", "key-1");
    const auto allowed = [&] {
        return current_allowed_regions(configuration, waiting, "h", "/engine/x");
    };
    BOOST_TEST((allowed() == allowed_regions{{"north", "west"}}));
    restrict_regions({{"west"}}, std::nullopt);
    BOOST_TEST((allowed() == allowed_regions{{"west"}}));
    restrict_regions(std::nullopt, {{"north"}});
    BOOST_TEST((allowed() == allowed_regions{{"north"}}));
    // Removing the restriction does not release a request that was admitted under it.
    restrict_regions(std::nullopt, std::nullopt);
    BOOST_TEST((allowed() == allowed_regions{{"north", "west"}}));
    gateway_configuration bare;
    bare.version = 100;
    configuration.apply(bare);
    BOOST_TEST((allowed() == allowed_regions{{"north", "west"}}));
}

BOOST_AUTO_TEST_CASE(key_of_a_waiting_request_on_a_public_route_still_restricts_it) {
    const admitted_request waiting = admitted("/open/x", "key-1");
    const admitted_request anonymous = admitted("/open/x", "");
    restrict_regions(std::nullopt, {{"south"}});
    BOOST_TEST((current_allowed_regions(configuration, waiting, "h", "/open/x") ==
                allowed_regions{{"south"}}));
    BOOST_TEST(!current_allowed_regions(configuration, anonymous, "h", "/open/x").has_value());
}

BOOST_AUTO_TEST_CASE(waiting_request_with_a_revoked_key_is_still_restricted_by_its_account) {
    const admitted_request waiting = admitted("/engine/x", "key-1");
    gateway_configuration rotated = configuration.current();
    rotated.version += 1;
    rotated.accounts[0].keys = {"key-3"};
    rotated.accounts[0].regions = {{"north"}};
    configuration.apply(rotated);
    BOOST_TEST((current_allowed_regions(configuration, waiting, "h", "/engine/x") ==
                allowed_regions{{"north"}}));
}

BOOST_AUTO_TEST_SUITE_END()
