#include "wrenswitch/decision/language/command_parser.hpp"

#include <algorithm>
#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>

namespace wrenswitch {
namespace {

namespace x3 = boost::spirit::x3;
using iterator = std::string_view::const_iterator;

/// White space and comments, which are skipped between tokens.
const auto skipper = x3::ascii::space | (x3::lit("--") >> *(x3::char_ - x3::eol));

const auto word_character = x3::ascii::alnum | x3::char_("_./:-");
const auto word_rule = x3::rule<struct word_tag, std::string>{"a name"} =
    x3::lexeme[+word_character];
const auto quoted_rule = x3::rule<struct quoted_tag, std::string>{"a text in quotes"} =
    x3::lexeme['"' >> *((x3::lit('\\') >> x3::char_) | (x3::char_ - '"')) >> '"'];
const auto value_rule = x3::rule<struct value_tag, std::string>{"a value"} =
    quoted_rule | word_rule;
const auto number_rule = x3::rule<struct number_tag, std::uint64_t>{"a whole number"} =
    x3::lexeme[x3::ulong_long >> !word_character];

/// Matches a keyword only as a whole word.
auto keyword(const char* text) {
    return x3::lexeme[x3::lit(text) >> !word_character];
}

struct verb_symbols : x3::symbols<command_verb> {
    verb_symbols() {
        for (const command_verb verb :
             {command_verb::show, command_verb::create, command_verb::change, command_verb::remove,
              command_verb::drain, command_verb::undrain, command_verb::release,
              command_verb::begin, command_verb::commit}) {
            add(std::string(name_of(verb)), verb);
        }
    }
};

struct noun_symbols : x3::symbols<std::string> {
    noun_symbols() {
        for (const char* noun : {"client_account", "budget", "service", "host", "grant", "member",
                                 "fence", "configuration"}) {
            add(noun, noun);
        }
    }
};

struct comparison_symbols : x3::symbols<command_comparison> {
    comparison_symbols() {
        add("=", command_comparison::equal)("!=", command_comparison::not_equal)(
            "<", command_comparison::less)(">", command_comparison::greater);
    }
};

const verb_symbols verbs;
const noun_symbols nouns;
const comparison_symbols comparisons;

command& current_command(auto& context) {
    return x3::get<command>(context).get();
}

const auto set_noun = [](auto& context) { current_command(context).noun = x3::_attr(context); };
const auto set_name = [](auto& context) { current_command(context).name = x3::_attr(context); };
const auto set_dry_run = [](auto& context) { current_command(context).dry_run = true; };
const auto set_version = [](auto& context) {
    current_command(context).if_version = x3::_attr(context);
};
const auto set_limit = [](auto& context) { current_command(context).limit = x3::_attr(context); };
const auto set_order = [](auto& context) {
    current_command(context).order_by = x3::_attr(context);
};
const auto set_descending = [](auto& context) { current_command(context).descending = true; };
const auto add_column = [](auto& context) {
    current_command(context).columns.push_back(x3::_attr(context));
};
const auto add_assignment_name = [](auto& context) {
    current_command(context).assignments.push_back({x3::_attr(context), {}});
};
const auto set_assignment_value = [](auto& context) {
    current_command(context).assignments.back().value = x3::_attr(context);
};
const auto add_condition_column = [](auto& context) {
    current_command(context).conditions.push_back(
        {x3::_attr(context), command_comparison::equal, {}});
};
const auto set_condition_comparison = [](auto& context) {
    current_command(context).conditions.back().comparison = x3::_attr(context);
};
const auto set_condition_value = [](auto& context) {
    current_command(context).conditions.back().value = x3::_attr(context);
};

/// Gives a parser a name for error messages: X3 reports the name of a rule, but has none for a
/// parser with a semantic action.
template <typename Tag, typename Parser>
auto named(const char* text, Parser parser) {
    return x3::rule<Tag>{text} = parser;
}

const auto noun = named<struct noun_tag>(
    "client_account, budget, service, host, grant, member, fence or configuration",
    x3::lexeme[nouns[set_noun] >> !word_character]);
const auto object_name = named<struct object_name_tag>("a name", value_rule[set_name]);
const auto equals_sign = named<struct equals_tag>("=", x3::lit('='));
const auto assigned_value =
    named<struct assigned_value_tag>("a value", value_rule[set_assignment_value]);
const auto comparison_operator =
    named<struct comparison_tag>("=, !=, < or >", comparisons[set_condition_comparison]);
const auto condition_value =
    named<struct condition_value_tag>("a value", value_rule[set_condition_value]);
const auto condition_column =
    named<struct condition_column_tag>("a column's name", word_rule[add_condition_column]);
const auto selected_column =
    named<struct selected_column_tag>("a column's name", word_rule[add_column]);
const auto order_column = named<struct order_column_tag>("a column's name", word_rule[set_order]);
const auto limit_number = named<struct limit_number_tag>("a whole number", number_rule[set_limit]);
const auto version_number =
    named<struct version_number_tag>("a whole number", number_rule[set_version]);
const auto end_of_statement = named<struct end_tag>("the end of the statement", x3::eoi);

const auto assignment =
    (word_rule - keyword("if"))[add_assignment_name] > equals_sign > assigned_value;
const auto condition = condition_column > comparison_operator > condition_value;
const auto version_clause = keyword("if") >
                            named<struct version_word_tag>("version",
                                                           keyword("version")) > equals_sign
                            > version_number;
const auto show_clauses = -(keyword("where") > (condition % keyword("and"))) >>
                          -(keyword("columns") > (selected_column % ',')) >>
                          -(keyword("order") > named<struct by_tag>("by", keyword("by")) >
                            order_column > -keyword("desc")[set_descending]) >>
                          -(keyword("limit") > limit_number);

/// Matches one of the given verbs and stores it in the current command.
template <typename... Verbs>
auto verb_of(Verbs... accepted) {
    return x3::lexeme[verbs[([accepted...](auto& context) {
                          const command_verb found = x3::_attr(context);
                          x3::_pass(context) = ((found == accepted) || ...);
                          current_command(context).verb = found;
                      })] >>
                      !word_character];
}

const auto block_statement = verb_of(command_verb::begin, command_verb::commit);
const auto show_statement = verb_of(command_verb::show) > noun > show_clauses;
const auto assignment_statement = verb_of(command_verb::create, command_verb::change) > noun >
                                  object_name > *assignment > -version_clause;
const auto name_only_statement =
    verb_of(command_verb::remove, command_verb::drain, command_verb::undrain,
            command_verb::release) > noun > object_name > -version_clause;
const auto any_statement =
    x3::rule<struct any_statement_tag>{
        "show, create, change, remove, drain, undrain, release, begin or commit"} =
        block_statement | show_statement | assignment_statement | name_only_statement;
const auto statement =
    -(keyword("dry") > keyword("run"))[set_dry_run] > x3::expect[any_statement] > end_of_statement;

std::string position_of(std::string_view script, std::size_t offset) {
    const std::string_view before = script.substr(0, offset);
    const auto line = std::count(before.begin(), before.end(), '\n') + 1;
    const std::size_t newline = before.rfind('\n');
    const std::size_t column = newline == std::string_view::npos ? offset : offset - newline - 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(column + 1);
}

/// Splits a script at its semicolons, except those in quotes and comments.
std::vector<std::string_view> split_statements(std::string_view script) {
    std::vector<std::string_view> parts;
    std::size_t begin = 0;
    bool quoted = false;
    for (std::size_t index = 0; index < script.size(); ++index) {
        const char character = script[index];
        const bool comment = !quoted && script.substr(index, 2) == "--";
        if (comment) {
            index = std::min(script.find('\n', index), script.size()) - 1;
        } else if (quoted && character == '\\') {
            ++index;
        } else if (character == '"') {
            quoted = !quoted;
        } else if (character == ';' && !quoted) {
            parts.push_back(script.substr(begin, index - begin));
            begin = index + 1;
        }
    }
    parts.push_back(script.substr(std::min(begin, script.size())));
    return parts;
}

bool is_blank(std::string_view text) {
    auto first = text.begin();
    return x3::parse(first, text.end(), *skipper) && first == text.end();
}

/// The first word of the remaining text, truncated for an error message.
std::string describe_found(std::string_view rest) {
    constexpr std::size_t max_length = 20;
    const std::size_t end = rest.find_first_of(" \t\n;");
    const std::string_view word = rest.substr(0, std::min(end, max_length));
    return word.empty() ? "the end of the statement" : "\"" + std::string(word) + "\"";
}

}  // namespace

std::vector<command> parse_commands(std::string_view script, findings& problems) {
    std::vector<command> commands;
    for (const std::string_view part : split_statements(script)) {
        if (is_blank(part)) {
            continue;
        }
        command parsed;
        iterator first = part.begin();
        x3::parse(first, part.end(), *skipper);
        const auto start = static_cast<std::size_t>(first - script.begin());
        parsed.place = position_of(script, start);
        try {
            const auto rule = x3::with<command>(std::ref(parsed))[statement];
            x3::phrase_parse(first, part.end(), rule, skipper);
            commands.push_back(std::move(parsed));
        } catch (const x3::expectation_failure<iterator>& failure) {
            iterator where = failure.where();
            x3::parse(where, part.end(), *skipper);
            const auto offset = static_cast<std::size_t>(where - script.begin());
            const std::string_view rest(where, part.end());
            problems.add(position_of(script, offset), describe_found(rest), failure.which());
        }
    }
    return commands;
}

}  // namespace wrenswitch
