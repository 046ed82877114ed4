#include "wrenswitch/decision/grants/grant_holder.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// A process draws once one account has less than this part of what is wanted in hand, and then for
/// all that have less than the other: few appends, each for many accounts.
constexpr double draw_at = 0.35;
constexpr double refill_at = 0.8;

/// Hands may hold this multiple of what is wanted before it counts as a surplus.
constexpr double surplus_factor = 2.0;

/// A surplus that is smaller than this part of what is wanted isn't worth an append.
constexpr double least_return = 0.5;

/// What a host keeps, in parts of the horizon, while another host waits for tokens.
constexpr double kept_while_others_wait = 0.1;

/// The least time that a rate of demand is worked out over: what one request needs is no rate.
constexpr microseconds least_demand_window = milliseconds(500);

/// A host's wish that is this many times larger or smaller than the ledger says is told anew.
constexpr tokens told_wanted_factor = 2;

tokens part_of(tokens whole, double part) {
    return static_cast<tokens>(std::llround(static_cast<double>(whole) * part));
}

}  // namespace

std::string_view name_of(reserve_outcome outcome) {
    switch (outcome) {
        case reserve_outcome::reserved:
            return "reserved";
        case reserve_outcome::short_of_tokens:
            return "short_of_tokens";
        case reserve_outcome::exhausted:
            return "exhausted";
    }
    return "unnamed";
}

grant_holder::grant_holder(std::string host, incarnation_id incarnation,
                           grant_policy_settings policy, const grant_table& table)
    : host_(std::move(host)), incarnation_(incarnation), policy_(policy), table_(table) {}

void grant_holder::set_limit(const std::string& account, tokens limit) {
    accounts_[account].limit = limit;
}

tokens grant_holder::granted_here(const std::string& account) const {
    const grant own = table_.find(key_of(account));
    return own.holder == incarnation_ ? own.granted - own.base : 0;
}

tokens grant_holder::free(const std::string& account, const account_state& state) const {
    return granted_here(account) + state.received - state.spent - state.reserved - state.returning;
}

/// What the ledger can take back: of what is free, the part that it granted to this process.
tokens grant_holder::returnable(const std::string& account, const account_state& state) const {
    const tokens unreturned = free(account, state) + state.returning;
    return std::max<tokens>(0, std::min(unreturned, granted_here(account)));
}

/// What is gone of this process's grants: spent here or given away, less what others gave.
tokens grant_holder::spent_of_grants(const account_state& state) {
    return std::max<tokens>(0, state.spent - state.received);
}

tokens grant_holder::free(const std::string& account) const {
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : free(account, found->second);
}

bool grant_holder::all_returned() const {
    return std::all_of(accounts_.begin(), accounts_.end(), [this](const auto& entry) {
        return entry.second.returning == 0 && returnable(entry.first, entry.second) == 0;
    });
}

tokens grant_holder::available(const std::string& account) const {
    return std::max<tokens>(0, limit(account) - table_.granted(account));
}

tokens grant_holder::limit(const std::string& account) const {
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : found->second.limit;
}

tokens grant_holder::reserved(const std::string& account) const {
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? 0 : found->second.reserved;
}

tokens grant_holder::left_at_most(const std::string& account) const {
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return 0;
    }
    const grant own = table_.find(key_of(account));
    const bool is_ours = own.holder == incarnation_;
    // What the table holds of this process is older than what the process knows itself.
    const tokens spent_by_others = table_.spent(account) - own.spent;
    const tokens spent_here = (is_ours ? own.base : own.granted) + spent_of_grants(found->second);
    return found->second.limit - spent_by_others - spent_here;
}

reserve_outcome grant_holder::reserve(instant now, const std::string& account, tokens amount) {
    account_state& state = accounts_[account];
    if (free(account, state) >= amount) {
        state.reserved += amount;
        return reserve_outcome::reserved;
    }
    note_demand(now, state, 0);
    return left_at_most(account) < amount ? reserve_outcome::exhausted
                                          : reserve_outcome::short_of_tokens;
}

void grant_holder::spend(instant now, const std::string& account, tokens amount) {
    account_state& state = accounts_[account];
    state.reserved -= amount;
    state.spent += amount;
    note_demand(now, state, amount);
}

void grant_holder::release(const std::string& account, tokens amount) {
    accounts_[account].reserved -= amount;
}

void grant_holder::give(instant now, const std::string& account, tokens amount) {
    account_state& state = accounts_[account];
    state.reserved -= amount;
    state.received -= amount;
    note_demand(now, state, amount);
}

void grant_holder::receive(const std::string& account, tokens amount) {
    accounts_[account].received += amount;
}

std::vector<std::string> grant_holder::accounts_with_free() const {
    std::vector<std::string> found;
    for (const auto& [account, state] : accounts_) {
        if (free(account, state) > 0) {
            found.push_back(account);
        }
    }
    return found;
}

tokens grant_holder::take_free(const std::string& account) {
    account_state& state = accounts_[account];
    const tokens amount = std::max<tokens>(0, free(account, state));
    state.received -= amount;
    return amount;
}

void grant_holder::set_waiting(const std::string& account, tokens amount, tokens first) {
    accounts_[account].waiting = amount;
    accounts_[account].first_waiting = first;
}

/// An average over the memory in which old demand fades evenly.
void grant_holder::note_demand(instant now, account_state& state, tokens amount) const {
    if (state.demand_at == instant{}) {
        state.demand_at = now;
    }
    const double memory = as_seconds(policy_.demand_memory);
    const double passed = as_seconds(now - state.demand_at);
    state.demand_at = now;
    state.demand_per_second *= std::exp(-passed / memory);
    state.demand_per_second += static_cast<double>(amount) / memory;
    if (amount > 0 && state.demand_since == instant{}) {
        state.demand_since = now;
    }
}

tokens grant_holder::expected_need(instant now, const std::string& account,
                                   microseconds span) const {
    const auto found = accounts_.find(account);
    if (found == accounts_.end() || found->second.demand_at == instant{}) {
        return 0;
    }
    const double faded =
        std::exp(-as_seconds(now - found->second.demand_at) / as_seconds(policy_.demand_memory));
    const double need = found->second.demand_per_second * faded * as_seconds(span);
    return static_cast<tokens>(std::llround(need));
}

microseconds grant_holder::horizon() const {
    const double ahead = static_cast<double>(append_time_.count()) * policy_.append_times_ahead;
    return policy_.horizon + microseconds(static_cast<std::int64_t>(ahead));
}

double grant_holder::held_share() const {
    const double longer = as_seconds(horizon()) / std::max(1e-3, as_seconds(policy_.horizon));
    return std::min(policy_.most_held_share, policy_.held_share * longer);
}

/// The average as of its last note, over the time that was really seen: one that has seen 0.7 s of
/// its three would tell a fifth of the demand, which is all that was in hand when the log fell
/// silent so soon after a start. With it 0.506 of worth in place of 0.478 on such a day of 26
/// entries.
double grant_holder::demand_rate(instant now, const account_state& state) const {
    if (state.demand_since == instant{}) {
        return 0.0;
    }
    const double seen = as_seconds(std::max(now - state.demand_since, least_demand_window));
    return state.demand_per_second / (1.0 - std::exp(-seen / as_seconds(policy_.demand_memory)));
}

tokens grant_holder::wanted_in_hand(instant now, const std::string& account,
                                    const account_state& state) const {
    if (draws_ahead_ && !draws_ahead_(account)) {
        return 0;
    }
    const tokens available = state.limit - table_.granted(account);
    const tokens held = std::max<tokens>(0, free(account, state));
    const double span_ahead = as_seconds(horizon());
    const bool others_wait = others_wait_for(account);
    const double span = others_wait ? span_ahead * kept_while_others_wait : span_ahead;
    const auto by_demand = static_cast<tokens>(std::llround(demand_rate(now, state) * span));
    const tokens left = std::max<tokens>(0, available) + held;
    const tokens first = others_wait ? 0 : policy_.first_draw;
    const tokens share = part_of(left, held_share());
    return std::min(by_demand + first, std::max<tokens>(share, 0));
}

tokens grant_holder::surplus_change(instant now, account_state& state, tokens surplus,
                                    bool at_once) const {
    state.surplus_since = state.surplus_since.value_or(now);
    const bool patient = now - *state.surplus_since < policy_.surplus_patience;
    return patient && !at_once ? 0 : -surplus;
}

/// What to draw, or, if negative, what to give back.
tokens grant_holder::change_for(instant now, const std::string& account, account_state& state,
                                bool draws) const {
    const tokens held = free(account, state) + state.returning;
    if (draining_) {
        return -returnable(account, state);
    }
    const tokens available = std::max<tokens>(0, state.limit - table_.granted(account));
    const tokens wanted = wanted_in_hand(now, account, state);
    const tokens missing = state.waiting + wanted - held;
    if (state.waiting > held || held < part_of(wanted, refill_at)) {
        state.surplus_since.reset();
        const bool useless = state.waiting > held && !can_serve_first(account, state);
        return !draws || useless ? 0 : std::min(std::max<tokens>(missing, 0), available);
    }
    const bool others_wait = others_wait_for(account);
    const double factor = others_wait ? 1.0 : surplus_factor;
    const tokens surplus =
        std::min(returnable(account, state), held - state.waiting - part_of(wanted, factor));
    if (surplus < (others_wait ? 1 : std::max(policy_.first_draw, part_of(wanted, least_return)))) {
        state.surplus_since.reset();
        return 0;
    }
    return surplus_change(now, state, surplus, others_wait);
}

bool grant_holder::is_low(instant now, const std::string& account,
                          const account_state& state) const {
    const tokens held = free(account, state) + state.returning;
    const tokens wanted = wanted_in_hand(now, account, state);
    return can_serve_first(account, state) ||
           (available(account) > 0 && held < part_of(wanted, draw_at));
}

/// True if other hosts wait for more than the ledger has left. They can tell a budget that is used
/// up from one that is in other hands only by what those say they have spent.
bool grant_holder::others_wait_for(const std::string& account) const {
    return table_.wanted_by_others(account, host_) > available(account);
}

/// True if what this host wants differs enough from what the ledger says of it. Others need only
/// its size, so that a crowd that comes and goes isn't worth an append each time.
bool grant_holder::is_news(const grant& present, tokens wanted) const {
    const tokens told = present.holder == incarnation_ ? present.wanted : 0;
    if (wanted == 0 || told == 0) {
        return wanted != told;
    }
    return wanted > told * told_wanted_factor || wanted * told_wanted_factor < told;
}

/// This host's record after a change of what it is granted.
grant grant_holder::next_grant(const std::string& account, const account_state& state,
                               const grant& present, tokens change) const {
    const tokens in_hand = std::max<tokens>(0, free(account, state) + change);
    grant next = present;
    next.base = present.holder == incarnation_ ? present.base : present.granted;
    next.holder = incarnation_;
    next.granted = present.granted + change;
    next.spent = next.base + spent_of_grants(state);
    next.wanted = std::max<tokens>(0, state.waiting - in_hand);
    return next;
}

std::vector<grant_record> grant_holder::compose(instant now) {
    std::vector<grant_record> records;
    const bool draws = std::any_of(
        accounts_.begin(), accounts_.end(),
        [this, now](const auto& entry) { return is_low(now, entry.first, entry.second); });
    for (auto& [account, state] : accounts_) {
        note_demand(now, state, 0);
        const tokens change = change_for(now, account, state, draws);
        state.returning = std::max(state.returning, -change);
        const grant present = table_.find(key_of(account));
        const grant next = next_grant(account, state, present, change);
        const bool untold = next.spent != present.spent && others_wait_for(account);
        if (change == 0 && !untold && !is_news(present, next.wanted)) {
            continue;
        }
        records.push_back({key_of(account), next});
    }
    return records;
}

void grant_holder::resolved() {
    for (auto& [account, state] : accounts_) {
        state.returning = 0;
    }
}

/// True if a draw would serve a request that waits. Crumbs that serve nobody are left to others.
bool grant_holder::can_serve_first(const std::string& account, const account_state& state) const {
    const tokens held = free(account, state) + state.returning;
    const bool waits = state.waiting > held;
    return waits && held + available(account) >= state.first_waiting;
}

bool grant_holder::urgent() const {
    return std::any_of(accounts_.begin(), accounts_.end(), [this](const auto& entry) {
        return can_serve_first(entry.first, entry.second);
    });
}

}  // namespace wrenswitch
