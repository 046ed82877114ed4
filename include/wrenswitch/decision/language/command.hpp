#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wrenswitch {

/// What a statement does.
enum class command_verb {
    show,
    create,
    change,
    remove,
    drain,
    undrain,
    release,
    begin,
    commit,
};

/// The name of a verb as it is written.
std::string_view name_of(command_verb verb);

/// One `name = value` of a statement.
struct command_assignment {
    std::string name;
    std::string value;
};

/// How a column is compared.
enum class command_comparison { equal, not_equal, less, greater };

/// One condition of a `where`.
struct command_condition {
    std::string column;
    command_comparison comparison = command_comparison::equal;
    std::string value;
};

/// One statement of the operators' language.
struct command {
    command_verb verb = command_verb::show;
    /// client_account, budget, service, host, grant, member, fence or configuration.
    std::string noun;
    std::string name;
    std::vector<command_assignment> assignments;
    std::vector<command_condition> conditions;
    std::vector<std::string> columns;
    std::string order_by;
    bool descending = false;
    std::optional<std::uint64_t> limit;
    /// The change is refused unless this version is in force.
    std::optional<std::uint64_t> if_version;
    /// Says what would happen and changes nothing.
    bool dry_run = false;
    /// Where it stands in its script, as line and column.
    std::string place;

    /// The value of an assignment, or null.
    const std::string* find(std::string_view assignment) const;
};

}  // namespace wrenswitch
