#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/ingress/account_usage.hpp"
#include "wrenswitch/decision/membership/account_activity.hpp"
#include "wrenswitch/decision/membership/demand_history.hpp"
#include "wrenswitch/decision/membership/neighbour_table.hpp"
#include "wrenswitch/decision/membership/shedding_budget.hpp"

namespace wrenswitch {

/// An account at this entry.
struct local_account {
    account_demand demand;
    account_presence presence;
};

/// What an entry knows of itself when it decides.
struct local_load {
    /// The capacity of the link in each direction in bytes per second; zero if unknown.
    double bandwidth = 0.0;
    /// False while the entry is not ready for another reason than a step back.
    bool is_open = true;
    /// The accounts with the most bytes per second.
    std::vector<local_account> accounts;
};

/// Why an entry that has stepped back accepts callers again.
enum class return_reason { fits, no_wider_entry, too_few_accept };

std::string_view name_of(return_reason reason);

/// A change of an entry's decision and the inputs that determined it.
struct step_back_change {
    enum class kind { announced, withdrawn, stepped_back, returned };

    kind what = kind::announced;
    /// The account that fits the entry least, with its present demand in the failure domain.
    account_demand account;
    double bandwidth = 0.0;
    std::size_t fresh_neighbours = 0;
    /// The other members that accept callers, and the number of all members.
    std::size_t accepting_neighbours = 0;
    std::size_t members = 0;
    /// The age of the oldest report that was used.
    microseconds oldest_age{};
    /// Set with `kind::returned`.
    return_reason reason = return_reason::fits;
};

/// Decides whether this entry accepts callers, from its own load and the reports of the other
/// entries of its failure domain. The platform directs each caller to the first ready entry of an
/// order that it keeps, so an account that does not fit a link moves on only if that entry is not
/// ready, and comes back as soon as it is.
///
/// With one account at 1.4 times the link of an entry of 10 Mbit/s, shedding callers for a fixed
/// time gave 0.48 of the requests' value in that failure domain: the account was back after the
/// time had passed, while entries of 200 Mbit/s were idle.
class step_back_policy {
public:
    /// How long a step back is announced before it is taken.
    static constexpr microseconds announcement_time = milliseconds(250);

    explicit step_back_policy(std::string own_host) : own_host_(std::move(own_host)) {}

    /// Decides anew. `members` are the hosts of the failure domain as listed, with or without this
    /// one.
    std::optional<step_back_change> evaluate(instant now, const local_load& load,
                                             const neighbour_table& neighbours,
                                             std::span<const std::string> members);

    /// What is known of the failure domain for `decide_shedding`, as of the evaluation at `now`.
    ///
    /// After a freeze the reports that may have been queued during it are not counted as accepting
    /// entries, but a step back that they or the last evaluation before the freeze showed restricts
    /// shedding until decisions are taken again. Otherwise an entry that resumes with a saturated
    /// link would find no fresh neighbour and shed its callers as if it were alone.
    shedding_conditions conditions_for_shedding(instant now, const neighbour_table& neighbours,
                                                std::span<const std::string> members) const;

    /// `accepting`, `announced` or `stepped_back`.
    entry_state state() const { return state_; }

    /// The accounts for which the entry steps back, with the demand that it announced. Empty while
    /// it accepts callers.
    const std::vector<account_demand>& accounts() const { return accounts_; }

    /// When the announced step back is due, if one is announced.
    std::optional<instant> due() const;

    /// When the entry stepped back.
    instant stepped_back_at() const { return stepped_back_at_; }

    /// The neighbours with a fresh report at the last evaluation.
    std::size_t fresh_neighbours() const { return fresh_neighbours_; }

    /// True if an account that arrives here did not fit the link at the last evaluation.
    bool has_large_account() const { return has_large_account_; }

    /// The accounts to report to the neighbours.
    std::vector<account_demand> accounts_to_report() const { return accounts_to_report_; }

    /// The pause between reports to a failure domain with that many members.
    static microseconds report_period(std::size_t members);

    /// How long a report is used.
    static microseconds max_report_age(std::size_t members);

private:
    struct neighbour {
        const neighbour_report* report = nullptr;
        microseconds age{};
    };

    std::vector<neighbour> fresh_reports(instant now, const neighbour_table& neighbours,
                                         std::span<const std::string> members) const;
    bool reports_step_back(instant now, const neighbour_table& neighbours,
                           std::span<const std::string> members) const;
    void detect_pause(instant now, std::size_t members);
    void record_demand(instant now, const local_load& load, std::span<const neighbour> fresh);
    void select_reported(const local_load& load, std::span<const neighbour> fresh);
    std::vector<account_demand> misfits(instant now, const local_load& load,
                                        std::span<const neighbour> fresh) const;
    bool concerns(const local_account& account, double demand) const;
    std::size_t accepting(std::span<const neighbour> fresh, double own_demand) const;
    bool may_step_back(std::span<const neighbour> fresh, std::size_t members,
                       double own_demand) const;
    bool precedes_own(const neighbour_report& report, double own_demand) const;
    std::optional<step_back_change::kind> next_step(instant now, const local_load& load,
                                                    std::span<const neighbour> fresh,
                                                    std::size_t members);
    std::optional<return_reason> reason_to_return(instant now, const local_load& load,
                                                  std::span<const neighbour> fresh,
                                                  std::size_t members);
    bool is_first_to_return(std::span<const neighbour> fresh) const;

    std::string own_host_;
    demand_history demand_;
    entry_state state_ = entry_state::accepting;
    std::vector<account_demand> accounts_;
    instant announced_at_{};
    instant withdrawn_at_{};
    instant stepped_back_at_{};
    instant last_evaluation_{};
    /// Reports that were received earlier aren't used.
    instant reports_trusted_from_{};
    instant decides_from_{};
    /// Since when too few other entries accept callers, or no wider one does.
    std::optional<instant> too_few_since_;
    std::optional<instant> no_wider_since_;
    std::size_t fresh_neighbours_ = 0;
    /// True if a step back was known at the last evaluation that decided.
    bool step_back_known_ = false;
    bool has_large_account_ = false;
    std::vector<account_demand> accounts_to_report_;
    return_reason return_reason_ = return_reason::fits;
};

}  // namespace wrenswitch
