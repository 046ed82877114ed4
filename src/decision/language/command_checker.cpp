#include "wrenswitch/decision/language/command_checker.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

constexpr std::size_t sha256_hex_length = 64;

/// The type of an attribute's value.
enum class value_kind { text, sha256, number, boolean, model_or_plain };

/// An attribute of a noun and its permitted values.
struct attribute_rule {
    std::string_view noun;
    std::string_view name;
    value_kind kind;
    std::int64_t min = 0;
    std::int64_t max = 0;
};

constexpr std::int64_t lowest_priority = 7;
constexpr std::int64_t max_concurrency = 100'000;

constexpr std::array<attribute_rule, 9> attribute_rules{{
    {"client_account", "key", value_kind::text},
    {"client_account", "key_sha256", value_kind::sha256},
    {"client_account", "budget", value_kind::text},
    {"client_account", "priority", value_kind::number, 0, lowest_priority},
    {"budget", "limit", value_kind::number, 1, max_budget_limit},
    {"service", "kind", value_kind::model_or_plain},
    {"service", "tokens_per_call", value_kind::number, 0, max_budget_limit},
    {"service", "repeatable", value_kind::boolean},
    {"service", "concurrency", value_kind::number, 0, max_concurrency},
}};

std::optional<std::int64_t> parse_integer(const std::string& text) {
    std::int64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string expected_value(const attribute_rule& rule) {
    switch (rule.kind) {
        case value_kind::text:
            return "a non-empty string";
        case value_kind::sha256:
            return "a SHA-256 in 64 lower-case hexadecimal digits";
        case value_kind::number:
            return "a whole number from " + std::to_string(rule.min) + " to " +
                   std::to_string(rule.max);
        case value_kind::boolean:
            return "true or false";
        case value_kind::model_or_plain:
            return "model or plain";
    }
    return {};
}

bool is_valid_value(const attribute_rule& rule, const std::string& value) {
    switch (rule.kind) {
        case value_kind::text:
            return !value.empty();
        case value_kind::sha256:
            return value.size() == sha256_hex_length &&
                   value.find_first_not_of("0123456789abcdef") == std::string::npos;
        case value_kind::number: {
            const auto number = parse_integer(value);
            return number && *number >= rule.min && *number <= rule.max;
        }
        case value_kind::boolean:
            return value == "true" || value == "false";
        case value_kind::model_or_plain:
            return value == "model" || value == "plain";
    }
    return false;
}

std::string list_attributes(std::string_view noun) {
    std::string list = "one of";
    for (const attribute_rule& rule : attribute_rules) {
        if (rule.noun == noun) {
            list += " " + std::string(rule.name);
        }
    }
    return list;
}

void check_assignments(const command& statement, findings& problems) {
    for (const command_assignment& item : statement.assignments) {
        const auto rule = std::find_if(
            attribute_rules.begin(), attribute_rules.end(), [&](const attribute_rule& candidate) {
                return candidate.noun == statement.noun && candidate.name == item.name;
            });
        const std::string place = statement.place + ", " + item.name;
        if (rule == attribute_rules.end()) {
            problems.add(place, "an unknown attribute", list_attributes(statement.noun));
        } else if (!is_valid_value(*rule, item.value)) {
            problems.add(place, "\"" + item.value + "\"", expected_value(*rule));
        }
    }
}

void require_attribute(const command& statement, std::string_view attribute, findings& problems) {
    if (statement.find(attribute) == nullptr) {
        problems.add(statement.place, "no " + std::string(attribute),
                     "a " + statement.noun + " with the attribute " + std::string(attribute));
    }
}

void check_create_or_change(const command& statement, findings& problems) {
    const bool known = statement.noun == "client_account" || statement.noun == "budget" ||
                       statement.noun == "service";
    if (!known) {
        problems.add(statement.place, statement.noun, "client_account, budget or service");
        return;
    }
    check_assignments(statement, problems);
    if (statement.noun == "budget") {
        require_attribute(statement, "limit", problems);
        return;
    }
    const bool created = statement.verb == command_verb::create;
    if (created && statement.noun == "client_account") {
        require_attribute(statement, "budget", problems);
        if (statement.find("key_sha256") == nullptr) {
            require_attribute(statement, "key", problems);
        }
    }
    if (created && statement.noun == "service") {
        require_attribute(statement, "kind", problems);
    }
}

void check_noun(const command& statement, std::span<const std::string_view> allowed,
                findings& problems) {
    if (std::find(allowed.begin(), allowed.end(), statement.noun) != allowed.end()) {
        return;
    }
    std::string list;
    for (const std::string_view noun : allowed) {
        list += (list.empty() ? "" : " or ") + std::string(noun);
    }
    problems.add(statement.place, statement.noun, list);
}

void check_statement(const command& statement, findings& problems) {
    constexpr std::array<std::string_view, 2> removable_nouns{"client_account", "service"};
    constexpr std::array<std::string_view, 1> drainable_nouns{"host"};
    constexpr std::array<std::string_view, 1> releasable_nouns{"grant"};
    switch (statement.verb) {
        case command_verb::create:
        case command_verb::change:
            check_create_or_change(statement, problems);
            return;
        case command_verb::remove:
            check_noun(statement, removable_nouns, problems);
            return;
        case command_verb::drain:
        case command_verb::undrain:
            check_noun(statement, drainable_nouns, problems);
            return;
        case command_verb::release:
            check_noun(statement, releasable_nouns, problems);
            return;
        default:
            return;
    }
}

/// Allows only configuration changes between begin and commit: budgets are stored in the ledger,
/// which is a separate stream, so a change of both could not be atomic.
void check_blocks(std::span<const command> commands, findings& problems) {
    const command* open = nullptr;
    for (const command& statement : commands) {
        if (statement.verb == command_verb::begin) {
            if (open != nullptr) {
                problems.add(statement.place, "begin", "a commit of the open block first");
            }
            open = &statement;
        } else if (statement.verb == command_verb::commit) {
            if (open == nullptr) {
                problems.add(statement.place, "commit", "a begin before it");
            }
            open = nullptr;
        } else if (open != nullptr && !changes_configuration(statement)) {
            problems.add(statement.place,
                         std::string(name_of(statement.verb)) + " " + statement.noun,
                         "only changes of client_account, service and host between begin and "
                         "commit; budgets are stored in the ledger");
        }
    }
    if (open != nullptr) {
        problems.add(open->place, "begin without commit", "a commit after it");
    }
}

client_account updated_account(const command& statement, const configuration& current) {
    client_account account;
    const auto known = current.client_accounts().find(statement.name);
    if (known != current.client_accounts().end()) {
        account = known->second;
    }
    account.name = statement.name;
    if (const std::string* key = statement.find("key")) {
        account.key_sha256 = sha256_hex(*key);
    }
    if (const std::string* key = statement.find("key_sha256")) {
        account.key_sha256 = *key;
    }
    if (const std::string* budget = statement.find("budget")) {
        account.budget = *budget;
    }
    if (const std::string* priority = statement.find("priority")) {
        account.priority = static_cast<std::uint32_t>(parse_integer(*priority).value_or(0));
    }
    return account;
}

service updated_service(const command& statement, const configuration& current) {
    service value;
    if (const service* known = current.find_service(statement.name)) {
        value = *known;
    }
    value.name = statement.name;
    if (const std::string* kind = statement.find("kind")) {
        value.model = *kind == "model";
    }
    if (const std::string* cost = statement.find("tokens_per_call")) {
        value.tokens_per_call = parse_integer(*cost).value_or(0);
    }
    if (const std::string* repeatable = statement.find("repeatable")) {
        value.repeatable = *repeatable == "true";
    }
    if (const std::string* concurrency = statement.find("concurrency")) {
        value.concurrency = static_cast<std::uint32_t>(parse_integer(*concurrency).value_or(0));
    }
    return value;
}

}  // namespace

void check_commands(std::span<const command> commands, findings& problems) {
    for (const command& statement : commands) {
        check_statement(statement, problems);
    }
    check_blocks(commands, problems);
}

bool changes_configuration(const command& statement) {
    switch (statement.verb) {
        case command_verb::create:
        case command_verb::change:
            return statement.noun != "budget";
        case command_verb::remove:
        case command_verb::drain:
        case command_verb::undrain:
            return true;
        default:
            return false;
    }
}

result<configuration_change> to_configuration_change(const command& statement,
                                                     const configuration& current) {
    const bool is_account = statement.noun == "client_account";
    const bool exists = is_account ? current.client_accounts().count(statement.name) > 0
                                   : current.find_service(statement.name) != nullptr;
    switch (statement.verb) {
        case command_verb::create:
            if (exists) {
                return failed(error_code::conflict,
                              "The " + statement.noun + " " + statement.name + " already exists.");
            }
            break;
        case command_verb::change:
            if (!exists) {
                return failed(error_code::not_found,
                              "There is no " + statement.noun + " " + statement.name + ".");
            }
            break;
        case command_verb::remove:
            if (is_account) {
                return configuration_change(remove_client_account{statement.name});
            }
            return configuration_change(remove_service{statement.name});
        case command_verb::drain:
            return configuration_change(drain_host{statement.name});
        case command_verb::undrain:
            return configuration_change(undrain_host{statement.name});
        default:
            return failed(error_code::bad_input,
                          "The statement does not change the configuration.");
    }
    if (is_account) {
        return configuration_change(put_client_account{updated_account(statement, current)});
    }
    return configuration_change(put_service{updated_service(statement, current)});
}

}  // namespace wrenswitch
