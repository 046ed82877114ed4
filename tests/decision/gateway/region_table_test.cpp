#include "wrenswitch/decision/gateway/region_table.hpp"

#include <boost/test/unit_test.hpp>

#include "wrenswitch/decision/gateway/candidate_constraints.hpp"

namespace {

using namespace wrenswitch;

struct region_table_fixture {
    region_table_fixture() {
        table.add("n1", "north");
        table.add("n2", "north");
        table.add("s1", "south");
    }

    region_table table;
};

BOOST_FIXTURE_TEST_SUITE(region_table_test, region_table_fixture)

BOOST_AUTO_TEST_CASE(domain_added_twice_keeps_its_first_region) {
    BOOST_TEST(!table.add("n1", "south"));
    BOOST_TEST(table.region_of("n1") == "north");
}

BOOST_AUTO_TEST_CASE(domain_without_a_region_is_a_region_of_its_own) {
    BOOST_TEST(table.region_of("x").empty());
    BOOST_TEST(table.in_same_region("x", "x"));
    BOOST_TEST(!table.in_same_region("x", "y"));
    BOOST_TEST(!table.in_same_region("x", "n1"));
    BOOST_TEST(!allows_region(region_set{"north", ""}, table.region_of("x")));
}

BOOST_AUTO_TEST_CASE(domains_of_one_region_are_in_the_same_region) {
    BOOST_TEST(table.in_same_region("n1", "n2"));
    BOOST_TEST(!table.in_same_region("n1", "s1"));
    BOOST_TEST(table.has_multiple_regions());
}

BOOST_AUTO_TEST_CASE(restrictions_of_route_and_account_both_apply) {
    const allowed_regions north{{"north", "west"}};
    const allowed_regions south{{"south", "west"}};
    const allowed_regions both = intersect_regions(north, south);
    BOOST_TEST(allows_region(both, "west"));
    BOOST_TEST(!allows_region(both, "north"));
    BOOST_TEST(allows_region(intersect_regions(std::nullopt, north), "north"));
    BOOST_TEST(allows_region(intersect_regions(std::nullopt, std::nullopt), ""));
    BOOST_TEST(!allows_region(region_set{}, "north"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
