#include "experiment/budget_run.hpp"

#include <algorithm>
#include <cmath>
#include <random>

#include "wrenswitch/drivers/ledger_codec.hpp"

namespace wrenswitch::experiment {
namespace {

constexpr microseconds step_length = seconds(1);

/// What a request costs: its bound is mostly far above that, since the prompt is counted by bytes
/// and answers end early.
constexpr tokens least_cost = 100;
constexpr tokens most_cost = 1500;
constexpr double least_bound_factor = 1.5;
constexpr double most_bound_factor = 5.0;
constexpr std::uint64_t longest_duration_s = 20;

/// How long an entry waits for tokens from elsewhere.
constexpr microseconds token_wait = seconds(2);

constexpr microseconds fence_after = seconds(5);
constexpr microseconds marks_after = seconds(8);
constexpr microseconds successor_after = seconds(2);

/// How often an append is made twice because its answer was lost.
constexpr double lost_answers = 0.02;
constexpr double burst_factor = 4.0;
constexpr microseconds longest_burst = seconds(300);

/// A budget of the fleet is charged once a tick at the most, so its demand is drawn by Poisson.
std::size_t poisson(double mean, random_source& random) {
    return std::poisson_distribution<std::size_t>(mean)(random.engine());
}

}  // namespace

double budget_score::false_share() const {
    return requests == 0 ? 0.0
                         : static_cast<double>(refused_falsely) / static_cast<double>(requests);
}

double budget_score::false_share_in_cut() const {
    return requests_in_cut == 0
               ? 0.0
               : static_cast<double>(refused_falsely_in_cut) / static_cast<double>(requests_in_cut);
}

double budget_score::false_share_outside() const {
    const std::uint64_t outside = requests - requests_in_cut;
    return outside == 0 ? 0.0
                        : static_cast<double>(refused_falsely - refused_falsely_in_cut) /
                              static_cast<double>(outside);
}

/// One place with a home: a region or a failure domain.
struct budget_run::site {
    std::size_t index = 0;
    incarnation_id incarnation{};
    ledger_state ledger;
    std::size_t read = 0;
    std::unique_ptr<budget_allocator> home;
    std::uint64_t sequence = 0;
    std::vector<ledger_operation> batch;
    std::unordered_map<std::uint64_t, std::pair<std::size_t, tokens>> waiting;
    std::vector<double> weights;
    bool up = true;
    microseconds up_at{0};
    microseconds crash_at{-1};
    std::vector<microseconds> crashes;
    /// Incarnations that crashed and are not reclaimed yet, with the time of the crash.
    std::vector<std::pair<incarnation_id, microseconds>> dead;
};

struct budget_run::active_attempt {
    ticket used;
    std::size_t budget = 0;
    std::size_t site = 0;
    tokens cost = 0;
    microseconds ends{0};
};

/// What is true of a budget, whoever knows it.
struct budget_run::truth {
    std::string name;
    budget_id id{};
    tokens limit = 0;
    double rate = 0.0;
    /// By the targets' count.
    tokens spent = 0;
    /// The bounds of all that runs.
    tokens reserved = 0;
    std::uint64_t requests = 0;
    std::uint64_t refused_falsely = 0;
    time_window burst;
    std::size_t burst_site = 0;
};

budget_run::budget_run(const budget_scenario& scenario, grant_policy policy, std::uint64_t seed)
    : scenario_(scenario), policy_(std::move(policy)), random_(seed) {
    make_budgets();
    plan_disturbances();
}

budget_run::~budget_run() = default;

void budget_run::make_budgets() {
    double weight_sum = 0.0;
    for (std::size_t index = 0; index < scenario_.budgets; ++index) {
        truth made;
        made.name = "budget-" + std::to_string(index);
        made.id = budget_id_of(made.name);
        made.rate = std::pow(static_cast<double>(index + 1), -scenario_.skew);
        weight_sum += made.rate;
        budgets_.push_back(made);
    }
    std::uint64_t operator_sequence = 0;
    for (truth& budget : budgets_) {
        budget.rate *= scenario_.rate / weight_sum;
        constexpr double mean_cost = (least_cost + most_cost) / 2.0;
        const double expected = budget.rate * as_seconds(scenario_.length) * mean_cost;
        const double factor =
            scenario_.least_limit_factor +
            random_.unit() * (scenario_.most_limit_factor - scenario_.least_limit_factor);
        budget.limit = std::max<tokens>(static_cast<tokens>(expected * factor), 10'000);
        log_.push_back(
            {incarnation_id{~0ULL},
             ++operator_sequence,
             {set_budget_operation{random_.next_id<operation_id>(), budget.name, budget.limit}}});
        ledger_.apply(log_.back());
    }
    for (std::size_t index = 0; index < scenario_.homes; ++index) {
        auto made = std::make_unique<site>();
        made->index = index;
        sites_.push_back(std::move(made));
    }
    for (std::size_t budget = 0; budget < budgets_.size(); ++budget) {
        // Gamma draws that are normalised make a Dirichlet split between the homes.
        std::gamma_distribution<double> gamma(1.0 / std::max(scenario_.skew, 0.1), 1.0);
        double sum = 0.0;
        for (const auto& where : sites_) {
            where->weights.push_back(gamma(random_.engine()) + 0.01);
            sum += where->weights.back();
        }
        for (const auto& where : sites_) {
            where->weights.back() /= sum;
        }
    }
}

void budget_run::plan_disturbances() {
    const auto random_time = [this] {
        return microseconds(static_cast<std::int64_t>(
            random_.below(static_cast<std::uint64_t>(scenario_.length.count()))));
    };
    for (unsigned index = 0; index < scenario_.crashes; ++index) {
        sites_[random_.below(sites_.size())]->crashes.push_back(random_time());
    }
    for (unsigned index = 0; index < scenario_.bursts; ++index) {
        truth& budget = budgets_[random_.below(budgets_.size())];
        budget.burst.begin = random_time();
        budget.burst.end =
            budget.burst.begin + microseconds(static_cast<std::int64_t>(
                                     random_.unit() * static_cast<double>(longest_burst.count())));
        budget.burst_site = random_.below(sites_.size());
    }
    for (const auto& where : sites_) {
        revive(*where, microseconds(0));
    }
}

bool budget_run::reaches_log(const site& where, microseconds now) const {
    const bool cut = scenario_.cut_off.contains(now) && where.index == 0;
    return !cut && !scenario_.outage.contains(now);
}

double budget_run::rate_of(const site& where, std::size_t budget, microseconds now) const {
    std::size_t source = where.index;
    if (scenario_.shift > microseconds(0) && now >= scenario_.shift) {
        source = (source + 1) % sites_.size();
    }
    const truth& known = budgets_[budget];
    double rate = known.rate * sites_[source]->weights[budget];
    if (known.burst.contains(now) && known.burst_site == where.index) {
        rate *= burst_factor;
    }
    return rate;
}

void budget_run::revive(site& where, microseconds now) {
    where.up = true;
    where.incarnation = incarnation_id{next_incarnation_++};
    where.sequence = 0;
    where.batch.clear();
    allocator_settings settings;
    settings.incarnation = where.incarnation;
    settings.policy = policy_;
    settings.allocator_count = scenario_.homes;
    settings.default_bound = most_cost;
    site* self = &where;
    where.home = std::make_unique<budget_allocator>(
        settings, where.ledger, random_,
        [this, self](std::uint64_t request, const reservation_reply& answer) {
            answered(*self, request, answer);
        });
    where.up_at = now;
}

void budget_run::crash(site& where, microseconds now) {
    for (const auto& [request, ask] : where.waiting) {
        refuse(ask.first, ask.second, now);
    }
    where.waiting.clear();
    where.up = false;
    where.dead.emplace_back(where.incarnation, now);
    where.up_at = now + successor_after;
    where.home.reset();
}

budget_score budget_run::run() {
    for (now_ = microseconds(0); now_ < scenario_.length; now_ += step_length) {
        step(now_);
    }
    // What runs may end, and what is owed may be settled, before the books are compared.
    scenario_.rate = 0.0;
    for (truth& budget : budgets_) {
        budget.rate = 0.0;
    }
    for (int tail = 0; tail < 120; ++tail) {
        now_ += step_length;
        step(now_);
    }
    finish_score();
    return score_;
}

void budget_run::step(microseconds now) {
    for (const auto& where : sites_) {
        for (microseconds& time : where->crashes) {
            if (time >= microseconds(0) && time <= now && where->up) {
                time = microseconds(-1);
                crash(*where, now);
            }
        }
        if (!where->up && now >= where->up_at) {
            revive(*where, now);
        }
    }
    end_requests(now);
    retry_reports(now);
    reclaim_due(now);
    for (const auto& where : sites_) {
        if (!where->up) {
            continue;
        }
        where->home->set_log_reachable(reaches_log(*where, now));
        read_log(*where, now);
        where->home->tick(instant(now));
        append_batch(*where, now);
    }
    for (const auto& where : sites_) {
        for (std::size_t budget = 0; budget < budgets_.size(); ++budget) {
            const std::size_t count =
                poisson(rate_of(*where, budget, now) * as_seconds(step_length), random_);
            for (std::size_t index = 0; index < count; ++index) {
                arrive(*where, budget, now);
            }
        }
        // Draws that requests wait for go out within the step, as they do in a process.
        for (int round = 0; round < 2 && where->up; ++round) {
            append_batch(*where, now);
            read_log(*where, now);
        }
    }
    sample_doubt();
}

void budget_run::read_log(site& where, microseconds now) {
    if (!reaches_log(where, now)) {
        return;
    }
    while (where.read < log_.size()) {
        const ledger_batch& batch = log_[where.read++];
        const std::uint64_t before = where.ledger.last_sequence_of(batch.writer);
        const auto outcomes = where.ledger.apply(batch);
        if (batch.sequence <= before) {
            continue;
        }
        for (const ledger_operation& operation : batch.operations) {
            if (const auto* settle = std::get_if<settle_operation>(&operation)) {
                where.home->observe_settlement(instant(now), settle->settled.budget,
                                               settle->settled.amount);
            }
            const auto* draw = std::get_if<draw_operation>(&operation);
            if (draw != nullptr && draw->need > 0 && batch.writer != where.incarnation) {
                where.home->remote_need_changed(instant(now), draw->budget);
            }
        }
        const bool own = batch.writer == where.incarnation && !where.batch.empty() &&
                         batch.sequence == where.sequence;
        if (own) {
            const std::vector<ledger_operation> sent = std::exchange(where.batch, {});
            for (const ticket_id id : where.home->batch_applied(instant(now), sent)) {
                unsettled_.erase(id);
            }
        }
        where.home->ledger_changed(instant(now));
    }
}

void budget_run::append_batch(site& where, microseconds now) {
    if (!where.batch.empty() || !reaches_log(where, now)) {
        return;
    }
    where.batch = where.home->take_batch();
    if (where.batch.empty()) {
        return;
    }
    const ledger_batch batch{where.incarnation, ++where.sequence, where.batch};
    const int copies = random_.unit() < lost_answers ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        log_.push_back(batch);
        ledger_.apply(batch);
        ++appends_;
        log_bytes_ += encode_ledger_batch(batch).size();
    }
}

void budget_run::arrive(site& where, std::size_t budget, microseconds now) {
    truth& known = budgets_[budget];
    ++score_.requests;
    ++known.requests;
    const bool in_cut = scenario_.cut_off.contains(now);
    score_.requests_in_cut += in_cut ? 1 : 0;
    const auto cost = least_cost + static_cast<tokens>(random_.below(most_cost - least_cost));
    const double factor =
        least_bound_factor + random_.unit() * (most_bound_factor - least_bound_factor);
    reservation_request ask;
    ask.request_id = next_request_++;
    ask.budget = known.name;
    ask.key = digest{0, next_key_++};
    ask.bound = static_cast<tokens>(static_cast<double>(cost) * factor);
    ask.max_wait = token_wait;
    if (!where.up) {
        refuse(budget, ask.bound, now);
        return;
    }
    where.waiting[ask.request_id] = {budget, ask.bound};
    const auto answer = where.home->reserve(instant(now), ask);
    if (answer) {
        answered(where, ask.request_id, *answer);
    }
}

void budget_run::answered(site& where, std::uint64_t request, const reservation_reply& answer) {
    const auto found = where.waiting.find(request);
    if (found == where.waiting.end()) {
        return;
    }
    const auto [budget, bound] = found->second;
    where.waiting.erase(found);
    if (answer.outcome == reservation_outcome::granted) {
        begin(where, budget, answer.granted, now_);
    } else {
        refuse(budget, bound, now_);
    }
}

void budget_run::begin(site& where, std::size_t budget, const ticket& granted, microseconds now) {
    // The bound is at least 1.5 times the cost, whatever the draws; the cost is derived anew.
    const double share =
        1.0 / (least_bound_factor + random_.unit() * (most_bound_factor - least_bound_factor));
    active_attempt request;
    request.used = granted;
    request.budget = budget;
    request.site = where.index;
    request.cost = static_cast<tokens>(static_cast<double>(granted.bound) * share);
    request.ends = now + seconds(1 + random_.below(longest_duration_s));
    budgets_[budget].reserved += granted.bound;
    running_.push_back(request);
    (void)where.home->ticket_started(granted.id, incarnation_id{~1ULL}, "guard");
}

void budget_run::refuse(std::size_t budget, tokens bound, microseconds now) {
    truth& known = budgets_[budget];
    const bool affordable = known.limit - known.spent - known.reserved >= bound;
    if (!affordable) {
        ++score_.refused_truly;
        return;
    }
    ++score_.refused_falsely;
    ++known.refused_falsely;
    score_.refused_falsely_in_cut += scenario_.cut_off.contains(now) ? 1 : 0;
}

void budget_run::end_requests(microseconds now) {
    const auto ended =
        std::partition(running_.begin(), running_.end(),
                       [now](const active_attempt& item) { return item.ends > now; });
    for (auto item = ended; item != running_.end(); ++item) {
        truth& known = budgets_[item->budget];
        known.reserved -= item->used.bound;
        known.spent += item->cost;
        unsettled_[item->used.id] = *item;
        report(*item, now);
    }
    running_.erase(ended, running_.end());
}

void budget_run::report(const active_attempt& ended, microseconds now) {
    site& where = *sites_[ended.site];
    if (!where.up) {
        return;
    }
    charge value;
    value.budget = ended.used.budget;
    value.holder = ended.used.holder;
    value.key = ended.used.key;
    value.ticket = ended.used.id;
    value.amount = ended.cost;
    where.home->charge_reported(instant(now), value);
}

/// Guards report again what was not acknowledged, to whoever is the home now.
void budget_run::retry_reports(microseconds now) {
    constexpr std::int64_t every = 5;
    if (std::chrono::duration_cast<seconds>(now).count() % every != 0) {
        return;
    }
    for (const auto& [id, ended] : unsettled_) {
        const site& where = *sites_[ended.site];
        // A charge of a dead holder waits for its reclaim, which lists it.
        const bool waits =
            ended.used.holder != where.incarnation && !ledger_.is_closed(ended.used.holder);
        if (!waits) {
            report(ended, now);
        }
    }
}

void budget_run::reclaim_due(microseconds now) {
    for (const auto& where : sites_) {
        if (!where->up || !reaches_log(*where, now)) {
            continue;
        }
        std::erase_if(where->dead, [&](const auto& dead) {
            const bool due = now - dead.second >= fence_after + marks_after;
            if (due) {
                where->home->enqueue(reclaim_of(dead.first));
            }
            return due;
        });
    }
}

/// What all guards' marks would list of a holder.
reclaim_operation budget_run::reclaim_of(incarnation_id holder) const {
    reclaim_operation reclaim;
    reclaim.holder = holder;
    const auto list = [&](const active_attempt& item, bool runs) {
        if (item.used.holder != holder) {
            return;
        }
        reclaim.charges.push_back({item.used.budget, holder, item.used.key, item.used.id,
                                   runs ? item.used.bound : item.cost, runs});
    };
    for (const active_attempt& item : running_) {
        list(item, true);
    }
    for (const auto& [id, item] : unsettled_) {
        list(item, false);
    }
    return reclaim;
}

void budget_run::sample_doubt() {
    double doubt = 0.0;
    double limits = 0.0;
    for (const truth& known : budgets_) {
        limits += static_cast<double>(known.limit);
        for (const holding& item : ledger_.find(known.id)->holdings) {
            const bool alive =
                std::any_of(sites_.begin(), sites_.end(), [&item](const auto& where) {
                    return where->up && where->incarnation == item.holder;
                });
            doubt += alive ? 0.0 : static_cast<double>(item.outstanding);
        }
    }
    score_.doubt_mean += doubt / limits;
    score_.doubt_worst = std::max(score_.doubt_worst, doubt / limits);
    ++doubt_samples_;
}

void budget_run::finish_score() {
    const double length = as_seconds(scenario_.length);
    score_.doubt_mean /= static_cast<double>(doubt_samples_);
    score_.appends_a_second = static_cast<double>(appends_) / length;
    score_.bytes_a_second = static_cast<double>(log_bytes_) / length;
    for (const truth& known : budgets_) {
        const budget_state& state = *ledger_.find(known.id);
        score_.overspend = std::max(score_.overspend, known.spent - known.limit);
        score_.unbacked += state.unbacked;
        score_.unbilled += std::abs(known.spent - state.billed - state.burnt);
        if (known.requests > 0) {
            score_.worst_budget =
                std::max(score_.worst_budget, static_cast<double>(known.refused_falsely) /
                                                  static_cast<double>(known.requests));
        }
    }
    score_.overspend = std::max<tokens>(score_.overspend, 0);
}

}  // namespace wrenswitch::experiment
