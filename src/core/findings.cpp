#include "wrenswitch/core/findings.hpp"

namespace wrenswitch {

void findings::add(std::string_view place, std::string_view found, std::string_view allowed) {
    items_.push_back({std::string(place), std::string(found), std::string(allowed)});
}

std::string findings::to_text() const {
    std::string text;
    for (const finding& item : items_) {
        text += item.place + ": found " + item.found + "; allowed: " + item.allowed + "\n";
    }
    return text;
}

}  // namespace wrenswitch
