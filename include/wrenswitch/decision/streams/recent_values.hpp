#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The values that names have had recently, with the time at which each was last seen: the versions
/// of a service's targets, or the services of a route.
class recent_values {
public:
    using value_set = std::set<std::string, std::less<>>;

    /// Values that were last seen longer ago are forgotten.
    explicit recent_values(microseconds kept_for) : kept_for_(kept_for) {}

    /// Records that a name has a value now.
    void note(instant now, std::string_view name, std::string_view value);

    /// The values that the name has had within the time before now, or longer if it is longer than
    /// values are kept.
    value_set within(instant now, std::string_view name, microseconds window) const;

    /// Calls a function with each name and value that is not forgotten.
    void for_each(
        const std::function<void(const std::string& name, const std::string& value)>& visit) const;

    /// Forgets old values.
    void remove_old(instant now);

private:
    microseconds kept_for_;
    std::map<std::string, std::map<std::string, instant, std::less<>>, std::less<>> seen_;
};

}  // namespace wrenswitch
