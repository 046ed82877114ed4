#include "wrenswitch/decision/language/command_checker.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

constexpr std::size_t sha256_letters = 64;

/// What an attribute's value must be.
enum class value_kind { text, sha256, number, boolean, model_or_plain };

/// An attribute of a noun.
struct attribute_rule {
    std::string_view noun;
    std::string_view name;
    value_kind kind;
    std::int64_t least = 0;
    std::int64_t most = 0;
};

constexpr std::int64_t least_urgent = 7;
constexpr std::int64_t most_concurrency = 100'000;

constexpr std::array<attribute_rule, 9> attribute_rules{{
    {"client_account", "key", value_kind::text},
    {"client_account", "key_sha256", value_kind::sha256},
    {"client_account", "budget", value_kind::text},
    {"client_account", "priority", value_kind::number, 0, least_urgent},
    {"budget", "limit", value_kind::number, 1, max_budget_limit},
    {"service", "kind", value_kind::model_or_plain},
    {"service", "tokens_per_call", value_kind::number, 0, max_budget_limit},
    {"service", "repeatable", value_kind::boolean},
    {"service", "concurrency", value_kind::number, 0, most_concurrency},
}};

std::optional<std::int64_t> to_number(const std::string& text) {
    std::int64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string allowed_by(const attribute_rule& rule) {
    switch (rule.kind) {
        case value_kind::text:
            return "a text that is not empty";
        case value_kind::sha256:
            return "a SHA-256 in 64 hexadecimal digits";
        case value_kind::number:
            return "a whole number from " + std::to_string(rule.least) + " to " +
                   std::to_string(rule.most);
        case value_kind::boolean:
            return "true or false";
        case value_kind::model_or_plain:
            return "model or plain";
    }
    return {};
}

bool fits(const attribute_rule& rule, const std::string& value) {
    switch (rule.kind) {
        case value_kind::text:
            return !value.empty();
        case value_kind::sha256:
            return value.size() == sha256_letters &&
                   value.find_first_not_of("0123456789abcdef") == std::string::npos;
        case value_kind::number: {
            const auto number = to_number(value);
            return number && *number >= rule.least && *number <= rule.most;
        }
        case value_kind::boolean:
            return value == "true" || value == "false";
        case value_kind::model_or_plain:
            return value == "model" || value == "plain";
    }
    return false;
}

std::string attributes_of(std::string_view noun) {
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
            problems.add(place, "an unknown attribute", attributes_of(statement.noun));
        } else if (!fits(*rule, item.value)) {
            problems.add(place, "\"" + item.value + "\"", allowed_by(*rule));
        }
    }
}

void require(const command& statement, std::string_view attribute, findings& problems) {
    if (statement.find(attribute) == nullptr) {
        problems.add(statement.place, "no " + std::string(attribute),
                     "a " + statement.noun + " with its " + std::string(attribute));
    }
}

void check_put(const command& statement, findings& problems) {
    const bool known = statement.noun == "client_account" || statement.noun == "budget" ||
                       statement.noun == "service";
    if (!known) {
        problems.add(statement.place, statement.noun, "client_account, budget or service");
        return;
    }
    check_assignments(statement, problems);
    if (statement.noun == "budget") {
        require(statement, "limit", problems);
        return;
    }
    const bool created = statement.verb == command_verb::create;
    if (created && statement.noun == "client_account") {
        require(statement, "budget", problems);
        if (statement.find("key_sha256") == nullptr) {
            require(statement, "key", problems);
        }
    }
    if (created && statement.noun == "service") {
        require(statement, "kind", problems);
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

void check_one(const command& statement, findings& problems) {
    constexpr std::array<std::string_view, 2> removable{"client_account", "service"};
    constexpr std::array<std::string_view, 1> drainable{"host"};
    constexpr std::array<std::string_view, 1> releasable{"grant"};
    switch (statement.verb) {
        case command_verb::create:
        case command_verb::change:
            check_put(statement, problems);
            return;
        case command_verb::remove:
            check_noun(statement, removable, problems);
            return;
        case command_verb::drain:
        case command_verb::undrain:
            check_noun(statement, drainable, problems);
            return;
        case command_verb::release:
            check_noun(statement, releasable, problems);
            return;
        default:
            return;
    }
}

/// Between begin and commit only changes of the configuration may stand: the ledger is another
/// stream, and two streams have no common order.
void check_blocks(std::span<const command> commands, findings& problems) {
    const command* open = nullptr;
    for (const command& statement : commands) {
        if (statement.verb == command_verb::begin) {
            if (open != nullptr) {
                problems.add(statement.place, "begin", "a commit of the block that is open first");
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
                         "commit; budgets live in the ledger");
        }
    }
    if (open != nullptr) {
        problems.add(open->place, "begin without commit", "a commit after it");
    }
}

client_account account_of(const command& statement, const configuration& current) {
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
        account.priority = static_cast<std::uint32_t>(to_number(*priority).value_or(0));
    }
    return account;
}

service service_of(const command& statement, const configuration& current) {
    service value;
    if (const service* known = current.find_service(statement.name)) {
        value = *known;
    }
    value.name = statement.name;
    if (const std::string* kind = statement.find("kind")) {
        value.model = *kind == "model";
    }
    if (const std::string* cost = statement.find("tokens_per_call")) {
        value.tokens_per_call = to_number(*cost).value_or(0);
    }
    if (const std::string* repeatable = statement.find("repeatable")) {
        value.repeatable = *repeatable == "true";
    }
    if (const std::string* concurrency = statement.find("concurrency")) {
        value.concurrency = static_cast<std::uint32_t>(to_number(*concurrency).value_or(0));
    }
    return value;
}

}  // namespace

void check_commands(std::span<const command> commands, findings& problems) {
    for (const command& statement : commands) {
        check_one(statement, problems);
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

result<configuration_change> change_of(const command& statement, const configuration& current) {
    const bool is_account = statement.noun == "client_account";
    const bool exists = is_account ? current.client_accounts().count(statement.name) > 0
                                   : current.find_service(statement.name) != nullptr;
    switch (statement.verb) {
        case command_verb::create:
            if (exists) {
                return failed(error_code::conflict,
                              "The " + statement.noun + " " + statement.name + " exists.");
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
            return failed(error_code::bad_input, "The statement changes no configuration.");
    }
    if (is_account) {
        return configuration_change(put_client_account{account_of(statement, current)});
    }
    return configuration_change(put_service{service_of(statement, current)});
}

}  // namespace wrenswitch
