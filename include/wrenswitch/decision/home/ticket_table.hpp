#pragma once

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/home/ticket.hpp"

namespace wrenswitch {

/// A ticket that is out, and what its home knows of it.
struct issued_ticket {
    ticket value;
    instant issued_at{};
    bool repeatable = true;
    /// The guard that is known to have taken it, or zero.
    incarnation_id guard{};
    /// Guards that were asked to void the ticket and have not answered.
    std::set<incarnation_id> void_awaited;
    bool void_asked = false;
    /// A guard that might have taken it was fenced before it could say.
    bool possibly_started = false;

    bool started() const { return guard != incarnation_id{}; }
};

/// The tickets of one home that are neither charged nor given back.
class ticket_table {
public:
    /// Adds a new ticket.
    void add(issued_ticket issued);

    /// The ticket with this identifier, or null.
    issued_ticket* find(ticket_id id);

    /// Removes a ticket and returns it, if it is there.
    std::optional<issued_ticket> take(ticket_id id);

    /// Tickets that no guard is known to have taken, issued before this time and not asked for yet.
    std::vector<ticket_id> unclear_before(instant time) const;

    /// All tickets that this guard has or might have taken.
    std::vector<ticket_id> exposed_to(incarnation_id guard) const;

    std::size_t size() const { return tickets_.size(); }

private:
    std::unordered_map<ticket_id, issued_ticket> tickets_;
};

}  // namespace wrenswitch
