#include "wrenswitch/decision/language/command_parser.hpp"

#include <boost/test/unit_test.hpp>

#include "wrenswitch/decision/language/command_checker.hpp"

namespace {

using namespace wrenswitch;

struct language_fixture {
    findings problems;

    std::vector<command> parse(std::string_view script) {
        std::vector<command> commands = parse_commands(script, problems);
        check_commands(commands, problems);
        return commands;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(command_parser_test, language_fixture)

BOOST_AUTO_TEST_CASE(create_with_quotes_and_comments_is_parsed) {
    const auto commands = parse(
        "-- accounts\ncreate client_account \"a b\" key = \"x;y\\\"z\" "
        "budget = b1 if version = 7; -- end");
    BOOST_TEST(problems.to_text() == "");
    BOOST_REQUIRE(commands.size() == 1U);
    BOOST_TEST(commands[0].name == "a b");
    BOOST_TEST(*commands[0].find("key") == "x;y\"z");
    BOOST_TEST(commands[0].if_version.value() == 7U);
    BOOST_TEST(commands[0].place == "line 2, column 1");
}

BOOST_AUTO_TEST_CASE(show_with_all_clauses_is_parsed) {
    const auto commands = parse(
        "show budget where billed > 5 and name != x columns name, billed order by billed desc "
        "limit 3");
    BOOST_TEST(problems.to_text() == "");
    BOOST_TEST(commands[0].conditions.size() == 2U);
    BOOST_TEST(commands[0].columns.size() == 2U);
    BOOST_TEST(commands[0].descending);
    BOOST_TEST(commands[0].limit.value() == 3U);
}

BOOST_AUTO_TEST_CASE(script_with_several_errors_gets_a_finding_for_each) {
    parse("crate budget x;\nshow budget limit many;\ncreate budget b limit = 0;\nremove budget b");
    BOOST_REQUIRE(problems.items().size() == 4U);
    BOOST_TEST(problems.items()[0].place == "line 1, column 1");
    BOOST_TEST(problems.items()[0].found == "\"crate\"");
    BOOST_TEST(problems.items()[1].place == "line 2, column 19");
    BOOST_TEST(problems.items()[1].allowed == "a whole number");
    BOOST_TEST(problems.items()[2].place == "line 3, column 1, limit");
    BOOST_TEST(problems.items()[3].allowed == "client_account or service");
}

BOOST_AUTO_TEST_CASE(unknown_attribute_gets_a_finding_with_the_known_ones) {
    parse("create service s kind = model speed = 3");
    BOOST_REQUIRE(problems.items().size() == 1U);
    BOOST_TEST(problems.items()[0].allowed == "one of kind tokens_per_call repeatable concurrency");
}

BOOST_AUTO_TEST_CASE(block_with_a_budget_statement_is_refused) {
    parse("begin; create budget b limit = 5; commit");
    BOOST_REQUIRE(problems.items().size() == 1U);
    BOOST_TEST(problems.items()[0].found == "create budget");
}

BOOST_AUTO_TEST_CASE(block_without_commit_is_refused) {
    parse("begin; drain host h");
    BOOST_TEST(problems.items().size() == 1U);
}

BOOST_AUTO_TEST_CASE(text_that_is_no_statement_is_refused) {
    for (const char* script : {"\"", "create", "show", "begin commit", "dry", "= = =", "\xff\xfe",
                               "show budget where", "create budget b limit = "}) {
        problems = {};
        parse(script);
        BOOST_TEST_CONTEXT(script) {
            BOOST_TEST(!problems.empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(change_of_one_attribute_keeps_the_others) {
    configuration config;
    change_set set;
    set.changes = {put_service{service{"s", false, 5, false, 3}}};
    config.apply(set);
    const auto commands = parse("change service s tokens_per_call = 9");
    const auto change = to_configuration_change(commands[0], config);
    BOOST_REQUIRE(change.has_value());
    const service& changed = std::get<put_service>(change.value()).value;
    BOOST_TEST(changed.tokens_per_call == 9);
    BOOST_TEST(!changed.repeatable);
    BOOST_TEST(changed.concurrency == 3U);
}

BOOST_AUTO_TEST_CASE(create_of_an_existing_and_change_of_a_missing_service_are_refused) {
    configuration config;
    const auto commands = parse("change service s kind = model");
    BOOST_TEST(!to_configuration_change(commands[0], config).has_value());
    change_set set;
    set.changes = {put_service{service{"s", true, 0, true, 0}}};
    config.apply(set);
    const auto created = parse("create service s kind = model");
    BOOST_TEST(!to_configuration_change(created[0], config).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
