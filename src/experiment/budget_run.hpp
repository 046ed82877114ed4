#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "experiment/budget_scenario.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/home/budget_allocator.hpp"

namespace wrenswitch::experiment {

/// What one run came to.
struct budget_score {
    std::uint64_t requests = 0;
    std::uint64_t refused_truly = 0;
    /// Refused though the budget as a whole still had the tokens.
    std::uint64_t refused_falsely = 0;
    std::uint64_t requests_in_cut = 0;
    std::uint64_t refused_falsely_in_cut = 0;
    /// The largest share of false refusals of any budget.
    double worst_budget = 0.0;
    /// The most by which any budget was overspent, by the targets' count.
    tokens overspend = 0;
    /// Tokens that settled beyond any grant; must be zero.
    tokens unbacked = 0;
    /// The difference between what was billed and burnt and what the targets counted, at the end.
    tokens unbilled = 0;
    /// The share of all limits that was in doubt, averaged over the run and at its worst.
    double doubt_mean = 0.0;
    double doubt_worst = 0.0;
    double appends_a_second = 0.0;
    double bytes_a_second = 0.0;

    double false_share() const;
    double false_share_in_cut() const;
    double false_share_outside() const;
};

/// One run of the decision core against a small fake log and fake demand, in virtual time: real
/// homes and real folds, no sockets.
class budget_run {
public:
    budget_run(const budget_scenario& scenario, grant_policy policy, std::uint64_t seed);
    ~budget_run();
    budget_run(const budget_run&) = delete;
    budget_run& operator=(const budget_run&) = delete;

    budget_score run();

private:
    struct site;
    struct active_attempt;
    struct truth;

    void make_budgets();
    void plan_disturbances();
    void step(microseconds now);
    void read_log(site& where, microseconds now);
    void append_batch(site& where, microseconds now);
    void arrive(site& where, std::size_t budget, microseconds now);
    void answered(site& where, std::uint64_t request, const reservation_reply& answer);
    void begin(site& where, std::size_t budget, const ticket& granted, microseconds now);
    void refuse(std::size_t budget, tokens bound, microseconds now);
    void end_requests(microseconds now);
    void report(const active_attempt& ended, microseconds now);
    void retry_reports(microseconds now);
    void crash(site& where, microseconds now);
    void revive(site& where, microseconds now);
    void reclaim_due(microseconds now);
    reclaim_operation reclaim_of(incarnation_id holder) const;
    double rate_of(const site& where, std::size_t budget, microseconds now) const;
    bool reaches_log(const site& where, microseconds now) const;
    void sample_doubt();
    void finish_score();

    budget_scenario scenario_;
    grant_policy policy_;
    random_source random_;
    budget_score score_;
    std::vector<std::unique_ptr<site>> sites_;
    std::vector<truth> budgets_;
    std::deque<ledger_batch> log_;
    std::uint64_t log_bytes_ = 0;
    std::uint64_t appends_ = 0;
    ledger_state ledger_;
    std::vector<active_attempt> running_;
    /// Ended requests whose charge is not in the ledger.
    std::unordered_map<ticket_id, active_attempt> unsettled_;
    std::uint64_t next_request_ = 1;
    std::uint64_t next_key_ = 1;
    std::uint64_t next_incarnation_ = 1;
    std::uint64_t doubt_samples_ = 0;
    microseconds now_{0};
};

}  // namespace wrenswitch::experiment
