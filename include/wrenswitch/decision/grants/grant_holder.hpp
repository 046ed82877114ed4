#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/core/tokens.hpp"
#include "wrenswitch/decision/grants/grant_table.hpp"

namespace wrenswitch {

/// Controls how many tokens a host draws ahead of demand.
struct grant_policy_settings {
    /// The time that the free tokens should last at the current demand.
    microseconds horizon = milliseconds(500);
    /// The share of the remaining budget that a host may hold unspent. It bounds what becomes
    /// unusable if all processes are lost at once.
    double max_held_share = 0.03;
    /// The upper bound of this share when slow appends require larger draws.
    double max_held_share_high_latency = 0.2;
    /// Free tokens should last for this many appends at the current append latency.
    double append_latency_multiple = 6.0;
    /// The time constant of the exponentially decaying demand average.
    microseconds demand_time_constant = seconds(3);
    /// The amount drawn before any demand is observed, so that a first request need not wait.
    tokens initial_draw = 600;
    /// A surplus is returned only after it has lasted this long.
    microseconds surplus_return_delay = seconds(4);
};

/// The result of a reservation.
enum class reserve_outcome {
    reserved,
    /// Too few free tokens at present; the budget may still hold enough.
    short_of_tokens,
    /// The remaining budget cannot cover the amount unless its limit is raised.
    exhausted,
};

/// The outcome's name in log lines.
std::string_view name_of(reserve_outcome outcome);

/// Tracks the tokens of prepaid budgets that this process may spend. It spends only what the grant
/// table shows as granted to it and what other processes transferred to it, so it stays within
/// every budget without a clock or a connection. Transferred tokens count as spent by the sender,
/// so the ledger does not need to know who uses them.
class grant_holder {
public:
    /// Keeps a reference to the table, which must outlive the holder.
    grant_holder(std::string host, incarnation_id incarnation, grant_policy_settings policy,
                 const grant_table& table);

    /// Sets the limit of an account's budget.
    void set_limit(const std::string& account, tokens limit);

    /// Reserves the maximum cost of a request.
    reserve_outcome reserve(instant now, const std::string& account, tokens amount);

    /// Turns part of a reservation into spent tokens.
    void spend(instant now, const std::string& account, tokens amount);

    /// Frees part of a reservation.
    void release(const std::string& account, tokens amount);

    /// Transfers reserved tokens to another process, which owns them from then on.
    void transfer_out(instant now, const std::string& account, tokens amount);

    /// Adds tokens that another process transferred here.
    void transfer_in(const std::string& account, tokens amount);

    /// The accounts that have free tokens here.
    std::vector<std::string> accounts_with_free_tokens() const;

    /// Removes all free tokens of an account for transfer to another process; returns the amount.
    tokens withdraw_free(const std::string& account);

    /// Sets the total amount that waiting requests need and the amount of the first of them; zero
    /// if none waits.
    void set_waiting(const std::string& account, tokens total, tokens first_request);

    /// Returns the records to append next at the end of the log that the table was read from; empty
    /// if nothing has to change.
    std::vector<grant_record> compose_records(instant now);

    /// Call when the log position that the last records were composed for has been filled, by them
    /// or by another writer, so that none of them can still be appended there.
    void on_append_resolved();

    /// True if a draw could serve a waiting request and should not wait for the next tick.
    bool needs_immediate_draw() const;

    /// Sets the recent append latency. A higher latency leads to larger and less frequent draws.
    void set_append_latency(microseconds latency) { append_latency_ = latency; }

    /// Replaces the policy for all later draws and returns.
    void set_policy(const grant_policy_settings& policy) { policy_ = policy; }

    /// Limits draws ahead of demand to the accounts for which the filter returns true. Without a
    /// filter all accounts are included.
    void set_draw_ahead_filter(std::function<bool(const std::string& account)> filter) {
        draw_ahead_filter_ = std::move(filter);
    }

    /// When draining for a planned stop, returns all free tokens and draws no more.
    void set_draining(bool draining) { draining_ = draining; }

    /// True if no returnable tokens are left and no return is pending.
    bool all_returned() const;

    /// The tokens that this host's requests of an account are expected to need in the interval, at
    /// the current demand.
    tokens expected_demand(instant now, const std::string& account, microseconds interval) const;

    /// The tokens held here that are not reserved.
    tokens free_tokens(const std::string& account) const;

    /// The part of the budget that is not granted to any host.
    tokens ungranted(const std::string& account) const;

    /// The limit of an account's budget, or zero if the account is unknown.
    tokens limit(const std::string& account) const;

    /// The tokens reserved for requests.
    tokens reserved(const std::string& account) const;

    /// An upper bound of the remaining budget: its limit less all spending known so far.
    tokens max_remaining(const std::string& account) const;

private:
    struct account_state {
        tokens limit = 0;
        tokens reserved = 0;
        /// Spent by this process.
        tokens spent = 0;
        /// Transferred in from other processes, less what was transferred out.
        tokens net_received = 0;
        tokens waiting = 0;
        tokens first_waiting = 0;
        /// Returned by a record whose append is not resolved yet; must not be spent.
        tokens pending_return = 0;
        double demand_per_second = 0.0;
        instant demand_updated_at{};
        /// The time of the first demand; the average covers only the time since then.
        instant demand_started_at{};
        /// Since when the balance has exceeded the desired amount, if it does.
        std::optional<instant> surplus_since;
    };

    grant_key key_of(const std::string& account) const { return {account, host_}; }
    tokens granted_here(const std::string& account) const;
    tokens free_tokens(const std::string& account, const account_state& state) const;
    tokens returnable(const std::string& account, const account_state& state) const;
    static tokens net_spent(const account_state& state);
    void record_demand(instant now, account_state& state, tokens amount) const;
    double demand_rate(instant now, const account_state& state) const;
    grant next_grant(const std::string& account, const account_state& state, const grant& current,
                     tokens change) const;
    bool others_need_more(const std::string& account) const;
    bool is_significant_change(const grant& current, tokens wanted) const;
    microseconds effective_horizon() const;
    double effective_held_share() const;
    tokens desired_free_tokens(instant now, const std::string& account,
                               const account_state& state) const;
    bool can_serve_first_waiting(const std::string& account, const account_state& state) const;
    bool needs_draw(instant now, const std::string& account, const account_state& state) const;
    tokens planned_change(instant now, const std::string& account, account_state& state,
                          bool draw_due) const;
    tokens surplus_return(instant now, account_state& state, tokens surplus, bool immediate) const;

    std::string host_;
    incarnation_id incarnation_;
    grant_policy_settings policy_;
    const grant_table& table_;
    std::map<std::string, account_state> accounts_;
    bool draining_ = false;
    std::function<bool(const std::string& account)> draw_ahead_filter_;
    microseconds append_latency_{};
};

}  // namespace wrenswitch
