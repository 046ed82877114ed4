#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/home/ticket.hpp"

namespace wrenswitch {

/// An outstanding ticket and its progress as known to its allocator.
struct issued_ticket {
    ticket value;
    instant issued_at{};
    bool repeatable = true;
    /// The guard that is known to have started it, or zero.
    incarnation_id guard{};
    /// Guards that were asked to void the ticket and have not replied.
    std::set<incarnation_id> pending_voids;
    bool void_requested = false;
    /// True if a guard that might have started it was fenced without reporting.
    bool possibly_started = false;

    bool started() const { return guard != incarnation_id{}; }
};

/// The outstanding tickets of one allocator: issued and neither charged nor released.
class ticket_table {
public:
    /// Adds a new ticket.
    void add(issued_ticket issued);

    /// Returns the ticket with this identifier, or null.
    issued_ticket* find(ticket_id id);

    /// Removes a ticket and returns it, or nothing if it is not in the table.
    std::optional<issued_ticket> take(ticket_id id);

    /// Tickets issued before this time that no guard is known to have started and that no guard was
    /// asked to void yet.
    std::vector<ticket_id> unconfirmed_before(instant time) const;

    /// All tickets that this guard has started or might have started.
    std::vector<ticket_id> possibly_started_by(incarnation_id guard) const;

    std::size_t size() const { return tickets_.size(); }

private:
    std::unordered_map<ticket_id, issued_ticket> tickets_;
};

}  // namespace wrenswitch
