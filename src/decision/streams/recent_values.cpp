#include "wrenswitch/decision/streams/recent_values.hpp"

namespace wrenswitch {

void recent_values::note(instant now, std::string_view name, std::string_view value) {
    auto name_found = seen_.find(name);
    if (name_found == seen_.end()) {
        name_found = seen_.try_emplace(std::string(name)).first;
    }
    auto& values = name_found->second;
    const auto found = values.find(value);
    if (found == values.end()) {
        values.emplace(value, now);
        return;
    }
    found->second = now;
}

recent_values::value_set recent_values::within(instant now, std::string_view name,
                                               microseconds window) const {
    value_set values;
    const auto found = seen_.find(name);
    if (found == seen_.end()) {
        return values;
    }
    for (const auto& [value, last_seen] : found->second) {
        if (now - last_seen <= window) {
            values.insert(value);
        }
    }
    return values;
}

void recent_values::for_each(
    const std::function<void(const std::string& name, const std::string& value)>& visit) const {
    for (const auto& [name, values] : seen_) {
        for (const auto& [value, last_seen] : values) {
            visit(name, value);
        }
    }
}

void recent_values::remove_old(instant now) {
    for (auto name = seen_.begin(); name != seen_.end();) {
        std::erase_if(name->second,
                      [&](const auto& entry) { return now - entry.second > kept_for_; });
        name = name->second.empty() ? seen_.erase(name) : std::next(name);
    }
}

}  // namespace wrenswitch
