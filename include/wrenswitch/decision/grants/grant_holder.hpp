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

/// How much a process draws ahead of need.
struct grant_policy_settings {
    /// How long the tokens in hand should last at the present demand.
    microseconds horizon = milliseconds(500);
    /// The part of what is left of a budget that a host may hold unspent. It is what a
    /// loss of every process at once can make unusable.
    double held_share = 0.03;
    /// The same, while appends take so long that far more has to be drawn at once.
    double most_held_share = 0.2;
    /// Appends that the tokens in hand should outlast.
    double append_times_ahead = 6.0;
    /// How long the estimate of demand remembers.
    microseconds demand_memory = seconds(3);
    /// Drawn before any demand was seen, so that a first request need not wait.
    tokens first_draw = 600;
    /// A surplus must last this long before it is given back.
    microseconds surplus_patience = seconds(4);
};

/// What became of a wish to spend.
enum class reserve_outcome {
    reserved,
    /// Not now: the tokens in hand don't suffice, and the budget may still hold enough.
    short_of_tokens,
    /// Never, unless the budget is raised: what is left can't hold the amount.
    exhausted,
};

/// The name of an outcome as logs show it.
std::string_view name_of(reserve_outcome outcome);

/// One process's hold on the prepaid budgets: it spends only what the grant table says it was
/// granted or what other processes gave it of theirs, so it needs no clock and no connection to
/// stay within every budget. Tokens that were given away count as spent by the giver: the ledger
/// need not know who uses them.
class grant_holder {
public:
    /// The table must outlive the holder.
    grant_holder(std::string host, incarnation_id incarnation, grant_policy_settings policy,
                 const grant_table& table);

    /// Sets an account's budget.
    void set_limit(const std::string& account, tokens limit);

    /// Sets an amount aside, the most that a request can cost.
    reserve_outcome reserve(instant now, const std::string& account, tokens amount);

    /// Turns a part of what was set aside into spent tokens.
    void spend(instant now, const std::string& account, tokens amount);

    /// Frees a part of what was set aside.
    void release(const std::string& account, tokens amount);

    /// Moves tokens that are set aside to another process, whose they are from then on.
    void give(instant now, const std::string& account, tokens amount);

    /// Takes in tokens that another process gave away.
    void receive(const std::string& account, tokens amount);

    /// The accounts of which tokens are free here.
    std::vector<std::string> accounts_with_free() const;

    /// Takes all that is free out, to be moved to another process.
    tokens take_free(const std::string& account);

    /// Requests wait for this much in all, the first of them for so much; zero if none does.
    void set_waiting(const std::string& account, tokens amount, tokens first);

    /// The records to append now at the end of the log that the table was read from. Empty if all
    /// is as it should be.
    std::vector<grant_record> compose(instant now);

    /// The end of the log that the last records were composed for is taken, by them or by others'
    /// records, so that none of them can still be appended.
    void resolved();

    /// True if a draw would serve a request that waits: a reason not to wait for the next tick.
    bool urgent() const;

    /// How long appends take of late. The longer, the more is drawn at once, and the rarer.
    void set_append_time(microseconds length) { append_time_ = length; }

    /// Changes how much is drawn ahead from now on.
    void set_policy(const grant_policy_settings& policy) { policy_ = policy; }

    /// Decides for which accounts tokens are drawn ahead of need; else for all.
    void draw_ahead_if(std::function<bool(const std::string& account)> wanted) {
        draws_ahead_ = std::move(wanted);
    }

    /// Gives back all that is free and draws no more, for a planned stop.
    void set_draining(bool draining) { draining_ = draining; }

    /// True if nothing is in hand and no record's fate is open.
    bool all_returned() const;

    /// What this host's requests of an account need in this time, at the present demand.
    tokens expected_need(instant now, const std::string& account, microseconds span) const;

    /// The tokens in hand that nothing is set aside for.
    tokens free(const std::string& account) const;

    /// What no host was granted yet.
    tokens available(const std::string& account) const;

    /// An account's budget, or zero.
    tokens limit(const std::string& account) const;

    /// What is set aside for requests.
    tokens reserved(const std::string& account) const;

    /// The most that may be left of a budget: its limit less what is spent for certain.
    tokens left_at_most(const std::string& account) const;

private:
    struct account_state {
        tokens limit = 0;
        tokens reserved = 0;
        /// By this process.
        tokens spent = 0;
        /// Moved here by other processes, less what was moved to them.
        tokens received = 0;
        tokens waiting = 0;
        tokens first_waiting = 0;
        /// Given back by a record whose fate isn't known yet; not to be spent.
        tokens returning = 0;
        double demand_per_second = 0.0;
        instant demand_at{};
        /// When demand was first seen: until then the average knows nothing.
        instant demand_since{};
        /// Since when there was more in hand than wanted, if there is.
        std::optional<instant> surplus_since;
    };

    grant_key key_of(const std::string& account) const { return {account, host_}; }
    tokens granted_here(const std::string& account) const;
    tokens free(const std::string& account, const account_state& state) const;
    tokens returnable(const std::string& account, const account_state& state) const;
    static tokens spent_of_grants(const account_state& state);
    void note_demand(instant now, account_state& state, tokens amount) const;
    double demand_rate(instant now, const account_state& state) const;
    grant next_grant(const std::string& account, const account_state& state, const grant& present,
                     tokens change) const;
    bool others_wait_for(const std::string& account) const;
    bool is_news(const grant& present, tokens wanted) const;
    microseconds horizon() const;
    double held_share() const;
    tokens wanted_in_hand(instant now, const std::string& account,
                          const account_state& state) const;
    bool can_serve_first(const std::string& account, const account_state& state) const;
    bool is_low(instant now, const std::string& account, const account_state& state) const;
    tokens change_for(instant now, const std::string& account, account_state& state,
                      bool draws) const;
    tokens surplus_change(instant now, account_state& state, tokens surplus, bool at_once) const;

    std::string host_;
    incarnation_id incarnation_;
    grant_policy_settings policy_;
    const grant_table& table_;
    std::map<std::string, account_state> accounts_;
    bool draining_ = false;
    std::function<bool(const std::string& account)> draws_ahead_;
    microseconds append_time_{};
};

}  // namespace wrenswitch
