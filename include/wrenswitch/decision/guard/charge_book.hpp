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

/// What a guard knows of the tickets that reached it: which it used, what they cost, and which it
/// must refuse. Checking a ticket and recording its charge are one step, before anything goes to
/// the target, so that a mark covers all that was started before it.
///
/// spec/budget.pml models start and mark; spec/requests.pml models start and void.
class charge_book {
public:
    /// The control state must outlive the book; `own` is the guard's incarnation.
    charge_book(incarnation_id own, const control_state& control) : own_(own), control_(control) {}

    /// The guard took a new incarnation; what it knows of tickets stays.
    void set_own(incarnation_id own) { own_ = own; }

    /// Why this ticket cannot be used now, or `none`. Changes nothing.
    refusal_reason check(const ticket& offered, log_offset control_offset) const;

    /// Checks the ticket again and records its charge at the upper bound.
    refusal_reason start(const ticket& used, log_offset control_offset);

    /// The request ended and cost this much. Never more than the bound is charged for one that a
    /// target let run on; the excess is returned, to be shown as a defect of the target.
    tokens end(ticket_id id, tokens cost);

    /// The target certainly did not run it: the charge is dropped and the ticket stays used.
    void cancel(ticket_id id);

    /// Refuses the ticket from now on. False if it was used already.
    bool void_ticket(ticket_id id, incarnation_id holder);

    /// Charges that ended and were not acknowledged, for their holders, at most this many.
    std::vector<charge> unacknowledged(instant now, microseconds resend_after, std::size_t most);

    /// The charge is in the ledger for good.
    void acknowledge(ticket_id id);

    /// All charges under this holder: the mark for its fence.
    std::vector<charge> mark_for(incarnation_id holder) const;

    /// Forgets voided tickets of a holder that is fenced or closed, since all of its are refused.
    void forget_holder(incarnation_id holder);

    std::size_t running() const { return running_; }
    std::size_t unsettled() const { return charges_.size(); }
    bool used(ticket_id id) const { return used_.count(id) > 0; }

private:
    struct entry {
        charge value;
        instant sent_at{};
        bool sent = false;
    };

    incarnation_id own_;
    const control_state& control_;
    std::unordered_map<ticket_id, entry> charges_;
    /// All tickets that were used, by their holder, until the holder is gone.
    std::unordered_map<ticket_id, incarnation_id> used_;
    std::unordered_map<ticket_id, incarnation_id> voided_;
    std::size_t running_ = 0;
};

}  // namespace wrenswitch
