#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// The targets that have turned this entry away and want nothing from it for a time. It is this
/// entry's alone: a target that sheds some of its load still serves what others send. Nothing waits
/// for the end of a rest, and each ends a little later than it was asked for: entries that were
/// turned away together would come back together.
class target_rests {
public:
    explicit target_rests(random_source& random) : random_(random) {}

    /// The target wants nothing for so long from now on. Of several rests the last one to end
    /// counts.
    void ask(instant now, std::string_view target, microseconds length);

    /// How much longer the target rests; zero if it doesn't.
    microseconds left(instant now, std::string_view target) const;

    /// The target is gone, or its process has started anew.
    void forget(std::string_view target);

    /// False if no target has asked for rest.
    bool any() const { return !until_.empty(); }

    /// The targets that rest now.
    std::size_t size(instant now) const;

private:
    random_source& random_;
    std::map<std::string, instant, std::less<>> until_;
};

}  // namespace wrenswitch
