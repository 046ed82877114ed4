#pragma once

#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/membership/neighbour_report.hpp"

namespace wrenswitch {

/// A report and when it was received, by this process's clock.
struct received_report {
    neighbour_report report;
    instant received{};
};

/// The last valid report of each neighbour.
class neighbour_table {
public:
    enum class outcome { recorded, outdated, refused, full };

    /// Records a report if it is valid and newer than the last one of the same process.
    outcome record(instant now, neighbour_report report);

    /// Records that a host's message could not be used. Returns true if the reason differs from
    /// that of its last message, so that it is logged once.
    bool note_fault(std::string_view host, std::string_view reason);

    /// The last report of a host, of any age. Null if there is none.
    const received_report* find(std::string_view host) const;

    /// Removes reports that have been out of date for long.
    void drop_expired(instant now);

private:
    std::map<std::string, received_report, std::less<>> reports_;
    std::map<std::string, std::string, std::less<>> faults_;
};

}  // namespace wrenswitch
