#pragma once

#include <optional>
#include <string>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"

namespace wrenswitch {

/// What a target says of itself with one answer.
struct target_signals {
    std::optional<load_report> load;
    /// The requests a second that it takes from all entries together. It holds for as long as
    /// answers name it; an answer that names none says that there is none.
    std::optional<double> most_per_second;
    /// What was said of a limit and can't be read, for logs; empty if all was read. Such an answer
    /// says nothing of a limit, not even that there is none.
    std::string unreadable_limit;
    /// It gets no new request any more. That holds for the rest of its life, whatever it or the
    /// list says later.
    bool leaving = false;
    /// It turned the request away and wants nothing from this entry for so long.
    std::optional<microseconds> rest;
    /// What was said of a rest and can't be read, for logs.
    std::string unreadable_rest;
};

}  // namespace wrenswitch
