#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/control/control_state.hpp"
#include "wrenswitch/decision/guard/charge_tracker.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// Reports the charges of finished attempts to the holders of their tickets until they are
/// acknowledged, and acknowledges fences. Charges of inactive holders and fence acknowledgements go
/// to any active entry, preferably one in the guard's own failure domain.
class charge_reporter {
public:
    /// All references must outlive the reporter. `incarnation` is read at each send, since it
    /// changes when the guard registers.
    charge_reporter(message_bus& bus, const control_state& control, charge_tracker& charges,
                    random_source& random, const incarnation_id& incarnation,
                    std::string failure_domain);

    /// Stores the endpoint to which the ticket's charge is reported.
    void record_holder(const ticket& accepted);

    /// Drops the ticket's endpoint: it has no charge, or the charge is acknowledged.
    void forget_holder(ticket_id id) { holder_endpoints_.erase(id); }

    /// Reports the charges that are new or whose acknowledgement is overdue.
    void send_due_reports(instant now);

    /// Acknowledges each fence that waits for this guard, with the charges of the fenced holder.
    void send_fence_acks();

private:
    std::string report_endpoint(const charge& unreported) const;
    std::string random_entry_endpoint() const;

    message_bus& bus_;
    const control_state& control_;
    charge_tracker& charges_;
    random_source& random_;
    const incarnation_id& incarnation_;
    std::string failure_domain_;
    std::unordered_map<ticket_id, std::string> holder_endpoints_;
};

}  // namespace wrenswitch
