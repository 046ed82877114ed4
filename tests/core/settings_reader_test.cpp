#include "wrenswitch/core/settings_reader.hpp"

#include <array>
#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

struct settings_fixture {
    findings problems;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(settings_reader_test, settings_fixture)

BOOST_AUTO_TEST_CASE(settings_with_several_mistakes_get_all_findings) {
    settings_reader reader =
        settings_reader::parse(R"({"port": 70000, "host": "", "spare": 1, "list": [1]})", problems);
    reader.integer("port", 0, 65535);
    reader.text("host");
    reader.text("region");
    reader.texts_or_empty("list");
    reader.finish();
    BOOST_REQUIRE(problems.items().size() == 5U);
    BOOST_TEST(problems.items()[0].place == "/port");
    BOOST_TEST(problems.items()[0].allowed == "a whole number from 0 to 65535");
    BOOST_TEST(problems.items()[2].found == "nothing");
    BOOST_TEST(problems.items()[4].place == "/spare");
}

// A number in place of true or false must not pass for either.
BOOST_AUTO_TEST_CASE(boolean_of_another_type_is_a_finding_and_keeps_its_default) {
    settings_reader reader =
        settings_reader::parse(R"({"on": true, "off": false, "odd": 1})", problems);
    BOOST_TEST(reader.boolean_or("on", false));
    BOOST_TEST(!reader.boolean_or("off", true));
    BOOST_TEST(reader.boolean_or("odd", true));
    BOOST_TEST(!reader.boolean_or("absent", false));
    BOOST_REQUIRE(problems.items().size() == 1U);
    BOOST_TEST(problems.items()[0].allowed == "true or false");
}

BOOST_AUTO_TEST_CASE(settings_that_are_not_json_name_the_byte) {
    settings_reader::parse("{\"a\": ", problems);
    BOOST_REQUIRE(problems.items().size() == 1U);
    BOOST_TEST(problems.items()[0].place.substr(0, 5) == "byte ");
}

BOOST_AUTO_TEST_CASE(settings_that_are_no_object_are_a_finding) {
    settings_reader::parse("[1, 2]", problems);
    BOOST_TEST(problems.items().size() == 1U);
}

BOOST_AUTO_TEST_CASE(name_that_stands_twice_is_a_finding_with_its_place) {
    settings_reader reader = settings_reader::parse(
        R"({"host": "a", "spots": {"x": "1", "y": "2", "x": "3"}, "list": [{"x": 1}, {"x": 2}],
            "host": "b"})",
        problems);
    BOOST_REQUIRE(problems.items().size() == 2U);
    BOOST_TEST(problems.items()[0].place == "/spots/x");
    BOOST_TEST(problems.items()[0].found == "the name twice");
    BOOST_TEST(problems.items()[1].place == "/host");
}

BOOST_AUTO_TEST_CASE(object_of_texts_is_read_by_name) {
    settings_reader reader = settings_reader::parse(
        R"({"good": {"x": "1", "y": "2"}, "bad": {"x": "", "y": 3, "": "4", "z": "5"},
            "list": []})",
        problems);
    BOOST_TEST(reader.text_table_or_empty("absent").empty());
    BOOST_TEST((reader.text_table_or_empty("good") ==
                std::map<std::string, std::string>{{"x", "1"}, {"y", "2"}}));
    BOOST_TEST(problems.empty());
    BOOST_TEST(
        (reader.text_table_or_empty("bad") == std::map<std::string, std::string>{{"z", "5"}}));
    BOOST_TEST(problems.items().size() == 3U);
    reader.text_table_or_empty("list");
    BOOST_REQUIRE(problems.items().size() == 4U);
    BOOST_TEST(problems.items()[3].allowed == "an object of texts");
}

BOOST_AUTO_TEST_SUITE_END()
