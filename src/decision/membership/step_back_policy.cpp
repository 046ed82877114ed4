#include "wrenswitch/decision/membership/step_back_policy.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace wrenswitch {
namespace {

/// The share of a link that one account may take. Requests arrive in bursts, and a link at 0.6
/// utilization by bodies of 9,200 bytes delays a message by 6 ms on average at 10 Mbit/s, while
/// messages between hosts time out after 20 ms.
constexpr double max_account_share = 0.5;

/// Below this share an account fits again. Lower than `max_account_share`, so that demand that
/// varies around it doesn't make the entry oscillate.
constexpr double returning_account_share = 0.4;

/// The share of a wider link that may be in use after an account has moved there. At twice the
/// bandwidth of 10 Mbit/s a message is delayed by 4 ms on average.
constexpr double max_wider_share = 0.7;

/// An entry moves an account only to links that are at least this much wider than its own.
constexpr double wider_factor = 2.0;

/// The share of an account's demand from which an entry counts as receiving the account.
constexpr double concerned_share = 0.25;

/// An account that began to arrive within this time has just been directed here. The platform takes
/// 2 s to direct it elsewhere, so it is not judged by its bytes per second alone.
constexpr microseconds arrival_time = seconds(3);

/// An announcement stands while the account pauses for less than this.
constexpr microseconds max_pause = seconds(1);

/// The share of the narrowest link in the domain from which an account is reported. The sender's
/// own link is no measure: what fills a link of 10 Mbit/s is 5 % of one of 200 Mbit/s.
constexpr double reported_share = 0.1;

/// Bounds oscillation: the platform takes 2 s to follow, and callers' connections are moved.
constexpr microseconds min_step_back_time = seconds(10);

/// Excludes that a single late report returns an entry.
constexpr microseconds too_few_delay = milliseconds(250);
constexpr microseconds no_wider_delay = seconds(3);

constexpr microseconds min_report_period = milliseconds(250);
constexpr microseconds report_period_per_member = milliseconds(25);
constexpr microseconds min_max_report_age = seconds(1);

/// A process that did not evaluate for this long was frozen. Reports that wait in its sockets are
/// received late and look new, so it takes reports only after the neighbours' next ones have
/// arrived, and decides when all have sent another.
constexpr microseconds frozen_time = seconds(1);

bool by_demand(const account_demand& left, const account_demand& right) {
    return std::pair(-left.bytes_per_second, std::string_view(left.account)) <
           std::pair(-right.bytes_per_second, std::string_view(right.account));
}

bool names(std::span<const account_demand> accounts, std::string_view account) {
    return std::any_of(accounts.begin(), accounts.end(),
                       [&](const account_demand& each) { return each.account == account; });
}

std::size_t count_members(std::span<const std::string> members, const std::string& own_host) {
    const bool lists_own = std::find(members.begin(), members.end(), own_host) != members.end();
    return members.size() + (lists_own ? 0 : 1);
}

bool is_wider(const neighbour_report& report, double bandwidth) {
    return report.state == entry_state::accepting && report.bandwidth >= wider_factor * bandwidth;
}

/// True if a neighbour would carry an account's demand along with its present load.
bool can_carry(const neighbour_report& report, const account_demand& demand) {
    const double others = std::max(0.0, report.carried() - report.rate_of(demand.account));
    return demand.bytes_per_second <= max_account_share * report.bandwidth &&
           others + demand.bytes_per_second <= max_wider_share * report.bandwidth;
}

}  // namespace

std::string_view name_of(return_reason reason) {
    switch (reason) {
        case return_reason::fits:
            return "fits";
        case return_reason::no_wider_entry:
            return "no_wider_entry";
        case return_reason::too_few_accept:
            return "too_few_accept";
    }
    return "fits";
}

microseconds step_back_policy::report_period(std::size_t members) {
    return std::max(min_report_period,
                    report_period_per_member * static_cast<std::int64_t>(members));
}

microseconds step_back_policy::max_report_age(std::size_t members) {
    return std::max(min_max_report_age, 3 * report_period(members));
}

std::optional<instant> step_back_policy::due() const {
    return state_ == entry_state::announced ? std::optional(announced_at_ + announcement_time)
                                            : std::nullopt;
}

std::vector<step_back_policy::neighbour> step_back_policy::fresh_reports(
    instant now, const neighbour_table& neighbours, std::span<const std::string> members) const {
    const microseconds max_age = max_report_age(count_members(members, own_host_));
    std::vector<neighbour> fresh;
    for (const std::string& host : members) {
        const received_report* known = host == own_host_ ? nullptr : neighbours.find(host);
        if (known != nullptr && known->received >= reports_trusted_from_ &&
            now - known->received < max_age) {
            fresh.push_back({&known->report, now - known->received});
        }
    }
    return fresh;
}

/// True if a report that is new enough names a step back, also if it isn't trusted after a freeze.
bool step_back_policy::reports_step_back(instant now, const neighbour_table& neighbours,
                                         std::span<const std::string> members) const {
    const microseconds max_age = max_report_age(count_members(members, own_host_));
    return std::any_of(members.begin(), members.end(), [&](const std::string& host) {
        const received_report* known = host == own_host_ ? nullptr : neighbours.find(host);
        return known != nullptr && now - known->received < max_age &&
               (known->report.state == entry_state::announced ||
                known->report.state == entry_state::stepped_back);
    });
}

shedding_conditions step_back_policy::conditions_for_shedding(
    instant now, const neighbour_table& neighbours, std::span<const std::string> members) const {
    shedding_conditions conditions;
    conditions.own_state = state_;
    conditions.members = count_members(members, own_host_);
    for (const neighbour& each : fresh_reports(now, neighbours, members)) {
        conditions.neighbours.push_back(each.report->state);
        const bool precedes =
            each.report->state == entry_state::accepting && each.report->host < own_host_;
        conditions.preceding += precedes ? 1 : 0;
    }
    conditions.step_back_suspected =
        (now < decides_from_ && step_back_known_) || reports_step_back(now, neighbours, members);
    return conditions;
}

void step_back_policy::detect_pause(instant now, std::size_t members) {
    const bool was_frozen = last_evaluation_ != instant{} && now - last_evaluation_ > frozen_time;
    last_evaluation_ = now;
    if (was_frozen) {
        reports_trusted_from_ = now + min_report_period;
        decides_from_ = reports_trusted_from_ + 2 * report_period(members);
    }
}

void step_back_policy::record_demand(instant now, const local_load& load,
                                     std::span<const neighbour> fresh) {
    std::map<std::string_view, double> sums;
    for (const local_account& each : load.accounts) {
        sums[each.demand.account] += each.demand.bytes_per_second;
    }
    for (const neighbour& each : fresh) {
        for (const account_demand& account : each.report->accounts) {
            sums[account.account] += account.bytes_per_second;
        }
    }
    demand_.drop_expired(now);
    for (const auto& [account, sum] : sums) {
        demand_.record(now, account, sum);
    }
}

void step_back_policy::select_reported(const local_load& load, std::span<const neighbour> fresh) {
    double narrowest = load.bandwidth;
    std::set<std::string_view> displaced;
    for (const neighbour& each : fresh) {
        if (each.report->bandwidth > 0.0) {
            narrowest = std::min(narrowest, each.report->bandwidth);
        }
        for (const account_demand& account : each.report->step_back) {
            displaced.insert(account.account);
        }
    }
    accounts_to_report_.clear();
    for (const local_account& each : load.accounts) {
        const double rate = each.demand.bytes_per_second;
        if (rate > 0.0 &&
            (rate >= reported_share * narrowest || displaced.contains(each.demand.account))) {
            accounts_to_report_.push_back(each.demand);
        }
    }
    std::sort(accounts_to_report_.begin(), accounts_to_report_.end(),
              [&](const account_demand& left, const account_demand& right) {
                  const bool left_first = displaced.contains(left.account);
                  const bool right_first = displaced.contains(right.account);
                  return left_first != right_first ? left_first : by_demand(left, right);
              });
    accounts_to_report_.resize(
        std::min(accounts_to_report_.size(), neighbour_report::max_accounts));
}

/// True if an account is received here, not only known from reports.
bool step_back_policy::concerns(const local_account& account, double demand) const {
    if (account.demand.bytes_per_second >= concerned_share * demand) {
        return true;
    }
    const account_presence& presence = account.presence;
    if (names(accounts_, account.demand.account)) {
        return presence.idle_for < max_pause;
    }
    return presence.recent_requests >= account_activity::counted_requests &&
           presence.active_for < arrival_time;
}

/// The accounts that arrive here and don't fit the link, while a wider link has room for them.
/// What other entries that accept callers carry of an account doesn't come here: the accounts of
/// several callers, each at its own entry, would otherwise remove all of these entries.
std::vector<account_demand> step_back_policy::misfits(instant now, const local_load& load,
                                                      std::span<const neighbour> fresh) const {
    std::vector<account_demand> found;
    for (const local_account& each : load.accounts) {
        const account_demand demand{each.demand.account, demand_.peak(now, each.demand.account)};
        double elsewhere = 0.0;
        bool has_room = false;
        for (const neighbour& other : fresh) {
            if (other.report->state == entry_state::accepting) {
                elsewhere += other.report->rate_of(demand.account);
            }
            has_room = has_room || (is_wider(*other.report, load.bandwidth) &&
                                    can_carry(*other.report, demand));
        }
        if (has_room && concerns(each, demand.bytes_per_second) &&
            demand.bytes_per_second - elsewhere > max_account_share * load.bandwidth) {
            found.push_back(demand);
        }
    }
    std::sort(found.begin(), found.end(), by_demand);
    found.resize(std::min(found.size(), neighbour_report::max_accounts));
    return found;
}

/// Larger demand first, then the order of host names. All entries order two announcements alike,
/// since announced demand doesn't change.
bool step_back_policy::precedes_own(const neighbour_report& report, double own_demand) const {
    const double other = report.step_back.empty() ? 0.0 : report.step_back.front().bytes_per_second;
    return std::pair(-other, std::string_view(report.host)) <
           std::pair(-own_demand, std::string_view(own_host_));
}

/// The other entries that accept callers and go on to do so if this one steps back.
std::size_t step_back_policy::accepting(std::span<const neighbour> fresh, double own_demand) const {
    return static_cast<std::size_t>(
        std::count_if(fresh.begin(), fresh.end(), [&](const neighbour& each) {
            return each.report->state == entry_state::accepting ||
                   (each.report->state == entry_state::announced &&
                    !precedes_own(*each.report, own_demand));
        }));
}

bool step_back_policy::may_step_back(std::span<const neighbour> fresh, std::size_t members,
                                     double own_demand) const {
    return 2 * accepting(fresh, own_demand) > members;
}

/// True if no neighbour that has stepped back follows this entry in the order of announcements.
bool step_back_policy::is_first_to_return(std::span<const neighbour> fresh) const {
    return std::all_of(fresh.begin(), fresh.end(), [&](const neighbour& each) {
        return each.report->state != entry_state::stepped_back ||
               precedes_own(*each.report, accounts_.front().bytes_per_second);
    });
}

std::optional<return_reason> step_back_policy::reason_to_return(instant now, const local_load& load,
                                                                std::span<const neighbour> fresh,
                                                                std::size_t members) {
    const auto holds_for = [now](std::optional<instant>& since, bool holds, microseconds delay) {
        since = holds ? since.value_or(now) : std::optional<instant>();
        return since && now - *since >= delay;
    };
    const double own_demand = accounts_.front().bytes_per_second;
    const bool too_few =
        holds_for(too_few_since_, !may_step_back(fresh, members, own_demand), too_few_delay);
    const bool no_wider = holds_for(
        no_wider_since_,
        std::none_of(fresh.begin(), fresh.end(),
                     [&](const neighbour& each) { return is_wider(*each.report, load.bandwidth); }),
        no_wider_delay);
    if (too_few && is_first_to_return(fresh)) {
        return return_reason::too_few_accept;
    }
    if (now - stepped_back_at_ < min_step_back_time) {
        return std::nullopt;
    }
    if (no_wider) {
        return return_reason::no_wider_entry;
    }
    const bool fits =
        std::all_of(accounts_.begin(), accounts_.end(), [&](const account_demand& each) {
            return demand_.peak(now, each.account) <= returning_account_share * load.bandwidth;
        });
    return fits ? std::optional(return_reason::fits) : std::nullopt;
}

std::optional<step_back_change::kind> step_back_policy::next_step(instant now,
                                                                  const local_load& load,
                                                                  std::span<const neighbour> fresh,
                                                                  std::size_t members) {
    using kind = step_back_change::kind;
    if (state_ == entry_state::stepped_back) {
        const std::optional<return_reason> reason = reason_to_return(now, load, fresh, members);
        if (!reason) {
            return std::nullopt;
        }
        return_reason_ = *reason;
        state_ = entry_state::accepting;
        return kind::returned;
    }
    const std::vector<account_demand> found = misfits(now, load, fresh);
    if (state_ == entry_state::accepting) {
        // An entry that returned early must not step back again at once, and an announcement
        // must not overtake the withdrawal of the last one.
        const bool is_too_soon =
            (stepped_back_at_ != instant{} && now - stepped_back_at_ < min_step_back_time) ||
            (withdrawn_at_ != instant{} && now - withdrawn_at_ < announcement_time);
        if (found.empty() || is_too_soon || !load.is_open ||
            !may_step_back(fresh, members, found.front().bytes_per_second)) {
            return std::nullopt;
        }
        accounts_ = found;
        announced_at_ = now;
        state_ = entry_state::announced;
        return kind::announced;
    }
    const bool still_holds = load.is_open && names(found, accounts_.front().account) &&
                             may_step_back(fresh, members, accounts_.front().bytes_per_second);
    if (!still_holds) {
        state_ = entry_state::accepting;
        withdrawn_at_ = now;
        return kind::withdrawn;
    }
    if (now - announced_at_ < announcement_time) {
        return std::nullopt;
    }
    std::erase_if(accounts_, [&](const auto& each) { return !names(found, each.account); });
    stepped_back_at_ = now;
    too_few_since_.reset();
    no_wider_since_.reset();
    state_ = entry_state::stepped_back;
    return kind::stepped_back;
}

std::optional<step_back_change> step_back_policy::evaluate(instant now, const local_load& load,
                                                           const neighbour_table& neighbours,
                                                           std::span<const std::string> members) {
    const std::size_t count = count_members(members, own_host_);
    detect_pause(now, count);
    const std::vector<neighbour> fresh = fresh_reports(now, neighbours, members);
    fresh_neighbours_ = fresh.size();
    record_demand(now, load, fresh);
    select_reported(load, fresh);
    has_large_account_ =
        std::any_of(load.accounts.begin(), load.accounts.end(), [&](const local_account& each) {
            const double demand = demand_.peak(now, each.demand.account);
            return demand > max_account_share * load.bandwidth && concerns(each, demand);
        });
    if (load.bandwidth <= 0.0) {
        return std::nullopt;
    }
    std::optional<step_back_change::kind> kind;
    if (now >= decides_from_) {
        kind = next_step(now, load, fresh, count);
        step_back_known_ =
            state_ != entry_state::accepting || reports_step_back(now, neighbours, members);
    } else if (state_ == entry_state::announced) {
        state_ = entry_state::accepting;
        withdrawn_at_ = now;
        kind = step_back_change::kind::withdrawn;
    }
    if (!kind) {
        return std::nullopt;
    }
    step_back_change change;
    change.what = *kind;
    change.account = {accounts_.front().account, demand_.peak(now, accounts_.front().account)};
    change.bandwidth = load.bandwidth;
    change.fresh_neighbours = fresh.size();
    change.accepting_neighbours = accepting(fresh, accounts_.front().bytes_per_second);
    change.members = count;
    for (const neighbour& each : fresh) {
        change.oldest_age = std::max(change.oldest_age, each.age);
    }
    change.reason = return_reason_;
    if (state_ == entry_state::accepting) {
        accounts_.clear();
    }
    return change;
}

}  // namespace wrenswitch
