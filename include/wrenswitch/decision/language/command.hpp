#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wrenswitch {

/// The verb of a statement.
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

/// The keyword of a verb.
std::string_view name_of(command_verb verb);

/// One `name = value` assignment of a statement.
struct command_assignment {
    std::string name;
    std::string value;
};

/// The comparison operator of a condition.
enum class command_comparison { equal, not_equal, less, greater };

/// One condition of a `where` clause.
struct command_condition {
    std::string column;
    command_comparison comparison = command_comparison::equal;
    std::string value;
};

/// One parsed statement of the operator command language.
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
    /// If set, the change is refused unless the configuration has this version.
    std::optional<std::uint64_t> if_version;
    /// True to report the effect without applying it.
    bool dry_run = false;
    /// The start of the statement in its script, as "line L, column C".
    std::string place;

    /// Returns the value assigned to a name, or null.
    const std::string* find(std::string_view assignment) const;
};

}  // namespace wrenswitch
