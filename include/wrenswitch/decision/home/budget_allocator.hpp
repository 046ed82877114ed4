#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/home/demand_estimator.hpp"
#include "wrenswitch/decision/home/grant_policy.hpp"
#include "wrenswitch/decision/home/request_key_table.hpp"
#include "wrenswitch/decision/home/reservation.hpp"
#include "wrenswitch/decision/home/ticket_table.hpp"
#include "wrenswitch/decision/ledger/ledger_state.hpp"

namespace wrenswitch {

/// The construction parameters of a budget_allocator.
struct allocator_settings {
    incarnation_id incarnation{};
    /// Where guards report charges, as a ZeroMQ endpoint.
    std::string endpoint;
    grant_policy policy;
    /// The number of allocators that share a budget.
    unsigned allocator_count = 1;
    /// The time constants of the demand estimates: for bursts, and for the allocator's share of the
    /// total demand.
    microseconds burst_time_constant = seconds(60);
    microseconds demand_time_constant = seconds(1800);
    /// A ticket whose start is not confirmed within this time is voided at the guards.
    microseconds confirmation_timeout = seconds(30);
    /// The bound assumed before the first request, so that tokens are drawn in advance.
    tokens default_bound = 4096;
    /// The capacity of the request key table.
    std::size_t max_request_keys = 100'000;
};

/// Allocates the tokens of the budgets of one ledger shard in one region: draws grants from the
/// ledger, reserves each request's upper bound before it runs, and settles the charges that guards
/// report.
///
/// It may spend the tokens that the replicated ledger state shows as held, less its reservations
/// and less the charges not yet settled there. So a lost or delayed batch can cause needless
/// refusals, but never overspending.
class budget_allocator {
public:
    /// Called with the request's identifier and the reply when a waiting request is answered.
    using reply_hook = std::function<void(std::uint64_t, const reservation_reply&)>;

    /// The ledger and the random source must outlive the allocator.
    budget_allocator(allocator_settings settings, const ledger_state& ledger, random_source& random,
                     reply_hook on_reply);

    /// Returns the reply, or nothing if the request waits; then the reply hook is called later.
    std::optional<reservation_reply> reserve(instant now, const reservation_request& request);

    /// A guard accepted the ticket. Fails if the ticket is not outstanding or another guard
    /// accepted it before.
    result<void> ticket_started(ticket_id id, incarnation_id guard, std::string guard_endpoint);

    /// Releases a ticket that no guard has started or can still start. Fails if it is not
    /// outstanding or was started.
    result<void> release_ticket(ticket_id id);

    /// A guard reports the charge of a completed request. Repeated reports are not counted again.
    void charge_reported(instant now, const charge& ended);

    /// A guard was fenced: settles the tickets that it started at their bounds. Tickets that it may
    /// have started are settled likewise once all other guards have voided them.
    void guard_fenced(incarnation_id guard);

    /// Returns the tickets whose start was not confirmed in time. The caller must ask all these
    /// guards to void them.
    std::vector<ticket_id> take_unconfirmed(instant now, std::span<const incarnation_id> guards);

    /// A guard confirmed that it will refuse the ticket.
    void ticket_voided(ticket_id id, incarnation_id guard);

    /// Sets whether the log can be reached.
    void set_log_reachable(bool reachable) { log_reachable_ = reachable; }

    /// Sets the control stream offset that a guard must have read to accept a new ticket.
    void set_least_control_offset(log_offset offset) { least_control_offset_ = offset; }

    /// Sets how far this process has read the control stream; copied to the tickets it issues.
    void set_control_offset(log_offset offset) { control_offset_ = offset; }

    /// A charge was settled in this shard, by any writer.
    void observe_settlement(instant now, budget_id budget, tokens amount);

    /// Another allocator has an unmet need for this budget.
    void remote_need_changed(instant now, budget_id budget) { apply_policy(now, budget); }

    /// Must be called after records were applied to the ledger.
    void ledger_changed(instant now);

    /// Handles time-outs and draws in advance; call about once per second.
    void tick(instant now);

    /// True if a pending operation should be appended at once instead of being batched, since a
    /// request or another allocator waits for it.
    bool urgent() const { return urgent_; }

    /// Removes and returns the operations to append next, in order. Empty if none is pending or the
    /// previous batch was not applied yet.
    std::vector<ledger_operation> take_batch();

    /// The batch was applied to the ledger. Returns the tickets whose charges it settled.
    std::vector<ticket_id> batch_applied(instant now, std::span<const ledger_operation> batch);

    /// Adds an operation on behalf of another component, such as a reclaim.
    void enqueue(ledger_operation operation);

    /// While draining, the allocator draws no tokens and returns all free ones. The holder may be
    /// closed once idle() is true.
    void set_draining(bool draining) { draining_ = draining; }

    /// True if no ticket is outstanding, no request waits and no operation is pending.
    bool idle() const;

    /// True if the ledger contains the charges of all tickets of this allocator that the fenced
    /// guard may have started.
    bool is_guard_settled(incarnation_id guard) const;

    /// Drops the state kept for a fenced guard, once its fence is acknowledged.
    void forget_guard(incarnation_id guard) { exposures_.erase(guard); }

    /// The tokens of a budget that are held here and neither reserved nor being settled or
    /// returned.
    tokens free_tokens(budget_id budget) const;

    std::size_t outstanding_tickets() const { return tickets_.size(); }

private:
    struct account {
        /// The bounds of all outstanding tickets.
        tokens reserved = 0;
        /// Charges that the ledger has not settled yet.
        tokens unsettled = 0;
        /// Tokens in a return operation that was not applied yet.
        tokens returning = 0;
        /// The bounds of all requests that wait for tokens.
        tokens need = 0;
        tokens largest_bound = 0;
        /// Charges of this allocator that the ledger settled.
        tokens spent = 0;
        /// True while a draw operation was not applied yet.
        bool drawing = false;
        /// The moving average of cost divided by bound.
        double cost_share = 1.0;
        demand_estimator recent_demand;
        demand_estimator demand;
        demand_estimator total_demand;
    };

    struct waiting_request {
        reservation_request request;
        budget_id budget{};
        instant deadline{};
        /// True if it waits for the key lock, false if for tokens.
        bool needs_key_lock = false;
    };

    /// The tickets that a fenced guard may have started.
    struct exposure {
        std::set<ticket_id> tickets;
        /// Settled once this many settlements were applied.
        std::uint64_t required_settlements = 0;
    };

    account& account_of(budget_id budget);
    std::optional<reservation_reply> reply_for_known_key(const reservation_request& request) const;
    reservation_reply issue_ticket(instant now, const reservation_request& request,
                                   budget_id budget);
    void record_demand(instant now, account& local, tokens amount);
    void record_refused_demand(instant now, const reservation_request& request, budget_id budget);
    reservation_reply make_refusal(const reservation_request& request, budget_id budget) const;
    bool exceeds_budget(const reservation_request& request, const budget_state& budget) const;
    void add_waiting_request(instant now, const reservation_request& request, budget_id budget,
                             bool needs_key_lock);
    bool holds_key_lock() const { return ledger_.key_holder() == settings_.incarnation; }
    std::optional<reservation_reply> reply_without_key_lock(instant now,
                                                            const reservation_request& request,
                                                            budget_id budget);
    bool may_have_run(const digest& key) const;
    void update_key_lock();
    void on_key_lock_changed(instant now);
    void grant_waiting_requests(instant now, budget_id budget);
    void answer_waiting_request(std::size_t index, const reservation_reply& reply);
    void apply_policy(instant now, budget_id budget);
    void settle_at_bound(const issued_ticket& issued);
    void enqueue_settlement(const charge& settled);
    void settlement_applied(const charge& settled);
    void remove_exposure(ticket_id id);
    grant_policy_input policy_input(instant now, const budget_state& state,
                                    const account& local) const;

    allocator_settings settings_;
    const ledger_state& ledger_;
    random_source& random_;
    reply_hook on_reply_;

    std::unordered_map<budget_id, account> accounts_;
    ticket_table tickets_;
    request_key_table keys_;
    std::deque<waiting_request> waiting_requests_;
    /// Keys claimed here whose tickets were released unused.
    std::unordered_set<digest> unused_claims_;
    /// Keys claimed here whose claims are not in the ledger yet.
    std::unordered_set<digest> unwritten_claims_;
    /// Charges that the ledger has not settled yet, by ticket. Each ticket is counted once, so that
    /// a repeated report cannot free tokens twice.
    std::unordered_map<ticket_id, tokens> unsettled_;
    std::vector<ledger_operation> pending_;
    std::map<incarnation_id, exposure> exposures_;
    std::uint64_t settlements_queued_ = 0;
    std::uint64_t settlements_applied_ = 0;
    log_offset least_control_offset_{};
    log_offset control_offset_{};
    bool batch_pending_ = false;
    bool log_reachable_ = true;
    bool draining_ = false;
    bool urgent_ = false;
    /// True while a lock_keys or unlock_keys operation was not applied yet.
    bool key_lock_pending_ = false;
};

}  // namespace wrenswitch
