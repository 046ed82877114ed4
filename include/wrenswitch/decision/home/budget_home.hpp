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
#include "wrenswitch/decision/home/request_keys.hpp"
#include "wrenswitch/decision/home/reservation.hpp"
#include "wrenswitch/decision/home/ticket_table.hpp"
#include "wrenswitch/decision/ledger/ledger_state.hpp"

namespace wrenswitch {

/// What a home is told once, when it starts.
struct home_settings {
    incarnation_id incarnation{};
    std::string endpoint;
    grant_policy policy;
    /// The number of homes that a budget can have.
    unsigned homes = 1;
    /// How long the estimates of demand remember: for bursts, and for a home's share of demand.
    microseconds recent_memory = seconds(60);
    microseconds demand_memory = seconds(1800);
    /// After this, a ticket of which nothing was heard is asked for at the guards.
    microseconds ticket_doubt_after = seconds(30);
    /// What a first request is assumed to need, so that a budget is drawn on before it comes.
    tokens assumed_bound = 4096;
    /// How many request keys are remembered.
    std::size_t remembered_keys = 100'000;
};

/// The home of the budgets of one ledger shard in one region: it holds their grants, reserves each
/// request's upper bound before it runs, and settles what the guards report.
///
/// It sees the ledger only through the fold. What it may spend is what the fold says it holds, less
/// what it has reserved, less what is not settled there yet; so a batch that is lost or late can
/// make it refuse too much but never spend too much.
class budget_home {
public:
    /// Told when an ask that had to wait is answered: the asker's number and the answer.
    using answer_hook = std::function<void(std::uint64_t, const reservation_answer&)>;

    /// The ledger must outlive the home.
    budget_home(home_settings settings, const ledger_state& ledger, random_source& random,
                answer_hook on_answer);

    /// Answers at once, or returns nothing and calls the answer hook later.
    std::optional<reservation_answer> reserve(instant now, const reservation_ask& ask);

    /// A guard took the ticket. An error if that cannot be.
    result<void> started(ticket_id id, incarnation_id guard, std::string guard_endpoint);

    /// The asker says that the ticket ran nowhere and can run nowhere.
    result<void> release(ticket_id id);

    /// A guard reports the charge of an ended request. A second report changes nothing.
    void charge_ended(instant now, const charge& ended);

    /// A guard was fenced: what it has or may have is charged at its bound.
    void guard_fenced(incarnation_id guard);

    /// Tickets of which nothing was heard for too long, to be voided at all these guards.
    std::vector<ticket_id> take_unclear(instant now, std::span<const incarnation_id> guards);

    /// A guard will refuse the ticket from now on.
    void voided(ticket_id id, incarnation_id guard);

    /// The log answers, or does not.
    void set_log_reachable(bool reachable) { log_reachable_ = reachable; }

    /// The offset up to which guards must have read before they take a ticket.
    void set_least_control_offset(log_offset offset) { least_control_offset_ = offset; }

    /// How far this process has read the control stream, for the tickets that it issues.
    void set_control_offset(log_offset offset) { control_offset_ = offset; }

    /// Another writer settled a charge in this shard.
    void observe_settlement(instant now, budget_id budget, tokens amount);

    /// Another home's request waits for tokens of this budget.
    void need_seen(instant now, budget_id budget) { consult_policy(now, budget); }

    /// To be called after records were applied to the ledger.
    void ledger_changed(instant now);

    /// To be called every second or so: time-outs and draws ahead of need.
    void tick(instant now);

    /// True if an operation waits that somebody waits for, so that it should not wait for others.
    bool urgent() const { return urgent_; }

    /// The operations to append next, in order. Empty if there are none or a batch is under way.
    std::vector<ledger_operation> take_batch();

    /// The batch was applied. Returns the tickets whose charges are in the ledger for good.
    std::vector<ticket_id> batch_applied(instant now, std::span<const ledger_operation> batch);

    /// Adds an operation that somebody else wants appended, such as a reclaim.
    void enqueue(ledger_operation operation);

    /// Stops drawing and returns all that is free, or draws again. Once idle() holds while
    /// draining, the holder may be closed.
    void set_draining(bool draining) { draining_ = draining; }

    /// True if no ticket is out and no operation waits.
    bool idle() const;

    /// True if all that a fenced guard may have run for this home is charged in the ledger.
    bool cleared_of(incarnation_id guard) const;

    /// The guard's fence is marked; nothing about it need be remembered.
    void forget_guard(incarnation_id guard) { exposures_.erase(guard); }

    /// The free tokens of a budget here.
    tokens free_of(budget_id budget) const;

    std::size_t tickets_out() const { return tickets_.size(); }

private:
    struct account {
        tokens reserved = 0;
        tokens unsettled = 0;
        tokens returning = 0;
        tokens need = 0;
        tokens largest_bound = 0;
        /// What this home settled.
        tokens spent = 0;
        bool drawing = false;
        /// What requests cost lately, as a share of their bounds.
        double cost_share = 1.0;
        demand_estimator recent_demand;
        demand_estimator demand;
        demand_estimator demand_of_all;
    };

    struct parked_ask {
        reservation_ask ask;
        budget_id budget{};
        instant until{};
        /// True while it waits for the key grant and not for tokens.
        bool for_keys = false;
    };

    struct exposure {
        std::set<ticket_id> tickets;
        /// The number of settlements that must have been applied.
        std::uint64_t settled_after = 0;
    };

    account& account_of(budget_id budget);
    std::optional<reservation_answer> answer_from_key(const reservation_ask& ask) const;
    reservation_answer grant(instant now, const reservation_ask& ask, budget_id budget);
    void note_demand(instant now, account& local, tokens amount);
    void note_refused_demand(instant now, const reservation_ask& ask, budget_id budget);
    reservation_answer refusal_of(const reservation_ask& ask, budget_id budget) const;
    bool can_never_pay(const reservation_ask& ask, const budget_state& budget) const;
    void park(instant now, const reservation_ask& ask, budget_id budget, bool for_keys);
    bool holds_keys() const { return ledger_.key_holder() == settings_.incarnation; }
    std::optional<reservation_answer> answer_without_keys(instant now, const reservation_ask& ask,
                                                          budget_id budget);
    bool may_have_run(const digest& key) const;
    void consult_keys();
    void keys_answered(instant now);
    void serve_parked(instant now, budget_id budget);
    void answer_parked(std::size_t index, const reservation_answer& answer);
    void consult_policy(instant now, budget_id budget);
    void settle_at_bound(const issued_ticket& issued);
    void enqueue_settlement(const charge& settled);
    void settlement_applied(const charge& settled);
    void resolve_exposure(ticket_id id);
    grant_view view_of(instant now, const budget_state& state, const account& local) const;

    home_settings settings_;
    const ledger_state& ledger_;
    random_source& random_;
    answer_hook on_answer_;

    std::unordered_map<budget_id, account> accounts_;
    ticket_table tickets_;
    request_keys keys_;
    std::deque<parked_ask> parked_;
    /// Keys that were claimed here and certainly did not run.
    std::unordered_set<digest> unused_claims_;
    /// Keys that were claimed here and whose claim is not in the ledger yet.
    std::unordered_set<digest> unwritten_claims_;
    /// What is charged but not yet in the fold, by ticket. A ticket stands here once only, so that
    /// a repeated report cannot free tokens twice.
    std::unordered_map<ticket_id, tokens> unsettled_;
    std::vector<ledger_operation> pending_;
    std::map<incarnation_id, exposure> exposures_;
    std::uint64_t settlements_queued_ = 0;
    std::uint64_t settlements_applied_ = 0;
    log_offset least_control_offset_{};
    log_offset control_offset_{};
    bool batch_under_way_ = false;
    bool log_reachable_ = true;
    bool draining_ = false;
    bool urgent_ = false;
    /// The key grant is being asked for or given back.
    bool keys_under_way_ = false;
};

}  // namespace wrenswitch
