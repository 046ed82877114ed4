#pragma once

#include <optional>
#include <string>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"

namespace wrenswitch {

/// What a target reports about itself in the headers of one response.
struct target_signals {
    /// The response is the successful result of the request, so that its time says how fast the
    /// target is.
    bool succeeded = false;
    std::optional<load_report> load;
    /// The text of a load report that couldn't be parsed, for logs; empty otherwise. If only its
    /// slowdown couldn't be parsed, `load` has the rest.
    std::string unreadable_load;
    /// The requests per second that the target accepts from all gateways together. The limit
    /// applies as long as responses advertise it; a response without one says that there is no
    /// limit.
    std::optional<double> max_per_second;
    /// The text of an advertised limit that couldn't be parsed, for logs; empty otherwise. Such a
    /// response says nothing about limits, not even that there is none.
    std::string unreadable_limit;
    /// The target accepts no new requests. This holds until its process restarts, whatever it or
    /// the target list says later.
    bool draining = false;
    /// The target refused the request and asks this gateway to send nothing for this long.
    std::optional<microseconds> backoff;
    /// The text of a requested backoff that couldn't be parsed, for logs; empty otherwise.
    std::string unreadable_backoff;
};

}  // namespace wrenswitch
