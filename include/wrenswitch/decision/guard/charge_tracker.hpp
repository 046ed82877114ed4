#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/control/control_state.hpp"
#include "wrenswitch/decision/guard/refusal.hpp"
#include "wrenswitch/decision/home/ticket.hpp"
#include "wrenswitch/decision/ledger/ledger_operation.hpp"

namespace wrenswitch {

/// Tracks the tickets that reached a guard: which were used, what they cost, and which have to be
/// refused. Checking a ticket and recording its charge are one step that precedes any request to
/// the target, so that the charges reported for a fenced holder include every request started
/// before.
///
/// spec/budget.pml models starting a charge and reporting it for a fence; spec/requests.pml models
/// starting and voiding.
class charge_tracker {
public:
    /// `control` must outlive the tracker; `guard` is the incarnation of the guard.
    charge_tracker(incarnation_id guard, const control_state& control)
        : guard_(guard), control_(control) {}

    /// The guard registered under a new incarnation; the tracked tickets are kept.
    void set_incarnation(incarnation_id guard) { guard_ = guard; }

    /// Why the ticket cannot be used now, or `none`. Changes nothing.
    refusal_reason check_ticket(const ticket& offered, log_offset control_offset) const;

    /// Checks the ticket again and records a charge of its token bound.
    refusal_reason begin_charge(const ticket& offered, log_offset control_offset);

    /// Sets the final cost of a request. The charge never exceeds the bound of the ticket, even if
    /// the target used more; the excess is returned so that it can be reported as a fault of the
    /// target.
    tokens finish_charge(ticket_id id, tokens cost);

    /// Removes the charge of a request that the target certainly did not run. The ticket remains
    /// used.
    void cancel_charge(ticket_id id);

    /// Refuses the ticket from now on. Returns false if it was already used.
    bool void_ticket(ticket_id id, incarnation_id holder);

    /// Up to `max_count` finished charges to report to their holders: those never reported, or
    /// reported at least `resend_after` ago without an acknowledgement. Marks them as reported now.
    std::vector<charge> take_due_reports(instant now, microseconds resend_after,
                                         std::size_t max_count);

    /// The charge is stored durably in the ledger.
    void acknowledge_charge(ticket_id id);

    /// All charges of a holder, running and finished; reported when the holder is fenced.
    std::vector<charge> charges_of_holder(incarnation_id holder) const;

    /// Forgets the used and voided tickets of a fenced or closed holder, since all its tickets are
    /// refused anyway.
    void forget_holder(incarnation_id holder);

    std::size_t running_count() const { return running_count_; }
    std::size_t unsettled_count() const { return charges_.size(); }
    bool is_used(ticket_id id) const { return used_tickets_.count(id) > 0; }

private:
    struct charge_state {
        charge value;
        instant reported_at{};
        bool report_sent = false;
    };

    incarnation_id guard_;
    const control_state& control_;
    std::unordered_map<ticket_id, charge_state> charges_;
    /// The holders of all used tickets, kept until the holder is fenced or closed.
    std::unordered_map<ticket_id, incarnation_id> used_tickets_;
    std::unordered_map<ticket_id, incarnation_id> voided_tickets_;
    std::size_t running_count_ = 0;
};

}  // namespace wrenswitch
