#include "wrenswitch/decision/language/command.hpp"

#include <array>

namespace wrenswitch {

std::string_view name_of(command_verb verb) {
    constexpr std::array<std::string_view, 9> names{
        "show", "create", "change", "remove", "drain", "undrain", "release", "begin", "commit"};
    return names.at(static_cast<std::size_t>(verb));
}

const std::string* command::find(std::string_view assignment) const {
    for (const command_assignment& item : assignments) {
        if (item.name == assignment) {
            return &item.value;
        }
    }
    return nullptr;
}

}  // namespace wrenswitch
