#include <boost/test/unit_test.hpp>

#include "wrenswitch/roles/gateway.hpp"

namespace {

using namespace wrenswitch;

struct gateway_settings_fixture {
    findings problems;

    std::optional<gateway_settings> read(const std::string& extra_fields) {
        problems = {};
        return read_gateway_settings(
            R"({"host": "h", "failure_domain": "z1", "listen": "127.0.0.1:1",
                "admin": "127.0.0.1:2", "service": "127.0.0.1:3",
                "bus_endpoint": "tcp://127.0.0.1:4")" +
                extra_fields + "}",
            problems);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gateway_settings_test, gateway_settings_fixture)

BOOST_AUTO_TEST_CASE(regions_of_failure_domains_are_read) {
    const auto settings = read(R"(, "regions": {"z1": "north", "z2": "south"})");
    BOOST_REQUIRE(settings.has_value());
    BOOST_TEST(settings->regions.region_of("z1") == "north");
    BOOST_TEST(settings->regions.region_of("z2") == "south");
    BOOST_TEST(settings->regions.region_of("z3").empty());
}

BOOST_AUTO_TEST_CASE(settings_without_regions_have_an_empty_table) {
    for (const char* fields : {"", R"(, "regions": {})"}) {
        const auto settings = read(fields);
        BOOST_REQUIRE(settings.has_value());
        BOOST_TEST(settings->regions.empty());
    }
}

BOOST_AUTO_TEST_CASE(invalid_regions_are_findings) {
    const std::vector<std::pair<std::string, std::string>> invalid_tables{
        {R"({"z1": "north", "z2": "south", "z1": "south"})", "/regions/z1"},
        {R"({"z1": "north", "z2": ""})", "/regions/z2"},
        {R"({"z1": "north", "z2": null})", "/regions/z2"},
        {R"({"z1": "north", "": "south"})", "/regions/"},
        {R"({"z2": "south"})", "/regions"},
        {R"(["z1=north"])", "/regions"}};
    for (const auto& [table, place] : invalid_tables) {
        BOOST_TEST_CONTEXT(table) {
            BOOST_TEST(!read(R"(, "regions": )" + table).has_value());
            BOOST_REQUIRE(problems.items().size() == 1U);
            BOOST_TEST(problems.items()[0].place == place);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
