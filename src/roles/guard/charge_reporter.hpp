#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/control/control_state.hpp"
#include "wrenswitch/decision/guard/charge_book.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// Tells homes what their tickets cost, until they acknowledge it, and marks fences. A charge whose
/// holder is gone goes to any entry, and so does a mark: to one of the guard's own failure domain
/// if there is one.
class charge_reporter {
public:
    /// All must outlive the reporter; `own` follows the guard's incarnation.
    charge_reporter(message_bus& bus, const control_state& control, charge_tracker& book,
                    random_source& random, const incarnation_id& own, std::string failure_domain);

    /// Remembers where a ticket's holder takes its charge.
    void expect(const ticket& used);

    /// Nothing is owed for the ticket any more.
    void forget(ticket_id id) { holder_endpoints_.erase(id); }

    /// Reports what is due.
    void report(instant now);

    /// Sends the mark for each fence that waits for this guard's.
    void send_marks();

private:
    std::string home_of(const charge& owed) const;
    std::string any_entry() const;

    message_bus& bus_;
    const control_state& control_;
    charge_tracker& book_;
    random_source& random_;
    const incarnation_id& own_;
    std::string failure_domain_;
    std::unordered_map<ticket_id, std::string> holder_endpoints_;
};

}  // namespace wrenswitch
