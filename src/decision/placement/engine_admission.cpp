#include "wrenswitch/decision/placement/engine_admission.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

#include "wrenswitch/decision/placement/engine_load.hpp"

namespace wrenswitch {
namespace {

/// The time constant of recent rates: longer than a response, so that an account's share does not
/// depend on single requests, and shorter than a burst of load.
constexpr microseconds rate_decay_time = seconds(2);

/// The share of its value that a late response keeps: 0.3 to 0.45 for the services of today's
/// callers.
constexpr double late_value_share = 0.35;

/// How much more a late request counts for each step of priority, and at most.
constexpr double weight_per_priority = 0.5;
constexpr double max_urgency_weight = 2.0;

/// An account ranks behind the others of its priority if it has more than this multiple of the mean
/// work. Below it, the differences are within the noise of a few requests.
constexpr double over_share_ratio = 1.25;

/// A request is unservable if its first event is expected after this multiple of the remaining
/// time: estimates are wrong by some tens of percent.
constexpr double unservable_ratio = 1.2;

/// No account is admitted less often than this share of the others' admitted share.
constexpr double floor_share = 0.25;

/// The longest hold, as a share of the objective: longer holds would use up the time that remains
/// for the prefill.
constexpr double max_hold_share = 0.25;

/// Shorter waits than this are within the delay of messages and loops.
constexpr double min_hold_ms = 2.0;

/// The shortest time given to refused callers: about a round trip through a busy entry.
constexpr double min_retry_ms = 50.0;
constexpr double max_retry_ms = as_milliseconds(max_admission_wait);

/// The width of the logistic function for the first event, as in engine_placer.
constexpr double first_event_logistic_scale = 0.2;

/// The weight of the latest request in running means.
constexpr double mean_update_weight = 0.1;

/// The utilization from which on the length of a busy period is not extrapolated: admission control
/// itself limits it.
constexpr double max_utilization = 0.75;

/// Accounts and priorities that are tracked.
constexpr std::size_t max_classes = 256;

/// A class with fewer recent requests than this is not active.
constexpr double min_active_requests = 0.05;

/// Finds a backlog of some hundreds of milliseconds to within a few.
constexpr int bisection_steps = 7;

constexpr double ms_per_second = 1000.0;

double decay_ms() {
    return as_milliseconds(rate_decay_time);
}

/// The integral of late_probability over the time to the first event, up to `duration_ms`.
double late_integral(double duration_ms, double objective_ms) {
    const double scaled = (duration_ms / objective_ms - 1.0) / first_event_logistic_scale;
    // log1p(exp(x)) overflows for large x, where it equals x.
    constexpr double large = 30.0;
    const double softplus = scaled > large ? scaled : std::log1p(std::exp(scaled));
    return first_event_logistic_scale * objective_ms * softplus;
}

double weight_of(unsigned priority, unsigned other) {
    const unsigned steps = other > priority ? other - priority : 0;
    return std::min(max_urgency_weight, 1.0 + weight_per_priority * steps);
}

/// The expected value of a response, as a share of its full value.
double expected_value(const engine_estimate& best) {
    return 1.0 - (1.0 - late_value_share) * std::clamp(best.late_probability, 0.0, 1.0);
}

/// The estimate after the engines have worked for some time without new requests. The probability
/// that the response is late does not increase meanwhile; its present value is kept, so that the
/// time until the request is admitted is rather too long than too short.
engine_estimate after(const engine_estimate& best, double elapsed_ms) {
    engine_estimate later = best;
    later.backlog_ms = std::max(0.0, best.backlog_ms - elapsed_ms);
    later.other_backlog_ms = std::max(0.0, best.other_backlog_ms - elapsed_ms);
    later.pending_pause_ms = std::min(best.pending_pause_ms, later.backlog_ms);
    later.pause_ms = std::min(best.pause_ms, later.backlog_ms + best.prefill_ms);
    return later;
}

}  // namespace

microseconds max_hold(microseconds first_event_objective) {
    return from_seconds(max_hold_share * as_seconds(first_event_objective));
}

double engine_admission::decay_factor(instant now, const class_state& state) {
    return std::exp(-as_milliseconds(now - state.decayed_at) / decay_ms());
}

engine_admission::class_state& engine_admission::state_of(instant now, const class_key& key) {
    if (classes_.size() >= max_classes && !classes_.contains(key)) {
        evict_quietest(now);
    }
    class_state& state = classes_[key];
    const double factor = decay_factor(now, state);
    state.admitted *= factor;
    state.refused *= factor;
    state.work_tokens *= factor;
    state.prefill_ms *= factor;
    state.decayed_at = now;
    return state;
}

void engine_admission::evict_quietest(instant now) {
    const auto quietest = std::min_element(
        classes_.begin(), classes_.end(), [now](const auto& left, const auto& right) {
            const auto requests = [now](const class_state& state) {
                return decay_factor(now, state) * (state.admitted + state.refused);
            };
            return requests(left.second) < requests(right.second);
        });
    classes_.erase(quietest);
}

engine_admission::share_level engine_admission::level_of(instant now,
                                                         const competing_request& request) const {
    double total = 0.0;
    double own = 0.0;
    std::size_t accounts = 0;
    const auto first = classes_.lower_bound({request.service, request.priority, std::string()});
    for (auto it = first; it != classes_.end(); ++it) {
        const auto& [service, priority, account] = it->first;
        if (service != request.service || priority != request.priority) {
            break;
        }
        const double factor = decay_factor(now, it->second);
        if (factor * (it->second.admitted + it->second.refused) < min_active_requests) {
            continue;
        }
        accounts += 1;
        total += factor * it->second.work_tokens;
        own += account == request.account ? factor * it->second.work_tokens : 0.0;
    }
    const double mean = accounts == 0 ? 0.0 : total / static_cast<double>(accounts);
    const bool over_share = accounts > 1 && own > over_share_ratio * mean;
    return {own, over_share, over_share ? std::min(max_urgency_weight, own / mean) : 1.0};
}

/// At the same priority, accounts with less work rank ahead of one well above the mean.
bool engine_admission::ranks_ahead(instant now, const class_key& other,
                                   const competing_request& request,
                                   const share_level& level) const {
    const auto& [service, priority, account] = other;
    if (service != request.service || priority > request.priority) {
        return false;
    }
    if (priority < request.priority) {
        return true;
    }
    if (!level.over_share || account == request.account) {
        return false;
    }
    const auto found = classes_.find(other);
    return found != classes_.end() &&
           over_share_ratio * decay_factor(now, found->second) * found->second.work_tokens <=
               level.own_work;
}

/// The weight of a late request in comparison with this one. An account counts the less, the more
/// work it has than the mean.
double engine_admission::harm_weight(const class_key& other, const competing_request& request,
                                     const share_level& level) {
    const unsigned priority = std::get<1>(other);
    return priority == request.priority ? level.weight_of_others
                                        : weight_of(priority, request.priority);
}

/// The expected loss of requests that arrive while the request's prefill is pending. They go to the
/// engine with the least backlog, so only the part of the prefill counts by which this least
/// backlog grows. If other engines have about the same backlog, the prefill is counted as spread
/// over all of them, since the least backlog grows once each has got one. The prefill also delays
/// those that arrive later in the same busy period, whose length is 1 / (1 - utilization) times the
/// prefill.
double engine_admission::arrival_harm(instant now, const competing_request& request,
                                      const share_level& level, const engine_estimate& best) const {
    const double from_ms = std::min(best.backlog_ms, best.other_backlog_ms);
    const double alone_ms = std::min(best.backlog_ms + best.prefill_ms, best.other_backlog_ms);
    const double difference_ms = std::abs(best.backlog_ms - best.other_backlog_ms);
    const double spread_ms = std::max(0.0, best.prefill_ms - difference_ms) /
                             static_cast<double>(std::max<std::size_t>(1, best.engines));
    const double to_ms = std::max(alone_ms, from_ms + spread_ms);
    if (to_ms <= from_ms) {
        return 0.0;
    }
    double harm = 0.0;
    const auto first = classes_.lower_bound({request.service, 0, std::string()});
    for (auto it = first; it != classes_.end(); ++it) {
        const auto& [key, state] = *it;
        if (std::get<0>(key) != request.service || std::get<1>(key) > request.priority) {
            break;
        }
        if (state.objective_ms <= 0.0 || !ranks_ahead(now, key, request, level)) {
            continue;
        }
        const double per_ms = decay_factor(now, state) * state.admitted / decay_ms();
        const double unloaded = state.unloaded_ms;
        const double late_anyway =
            late_probability(unloaded, state.objective_ms, first_event_logistic_scale) *
            (to_ms - from_ms);
        const double late_ms = late_integral(unloaded + to_ms, state.objective_ms) -
                               late_integral(unloaded + from_ms, state.objective_ms) - late_anyway;
        harm += harm_weight(key, request, level) * per_ms * std::max(0.0, late_ms);
    }
    const double busy_period =
        1.0 / (1.0 - std::min(max_utilization, utilization(now, request.service, best.engines)));
    return (1.0 - late_value_share) * busy_period * harm;
}

/// The share of their time that the engines spend on the prefills of recently admitted requests.
double engine_admission::utilization(instant now, std::string_view service,
                                     std::size_t engines) const {
    double prefill_ms = 0.0;
    const auto first = classes_.lower_bound({std::string(service), 0, std::string()});
    for (auto it = first; it != classes_.end() && std::get<0>(it->first) == service; ++it) {
        prefill_ms += decay_factor(now, it->second) * it->second.prefill_ms;
    }
    return prefill_ms / (decay_ms() * static_cast<double>(std::max<std::size_t>(1, engines)));
}

/// The expected loss of the engine's streams by the longer pause.
double engine_admission::stream_harm(instant now, const competing_request& request,
                                     const share_level& level, const engine_estimate& best) const {
    const auto found = by_engine_.find(best.engine);
    if (found == by_engine_.end() || best.pause_ms <= best.pending_pause_ms) {
        return 0.0;
    }
    double harm = 0.0;
    double bound_ms = 0.0;
    double added = 0.0;
    for (const auto& [attempt, running] : found->second) {
        if (running->max_event_gap_ms != bound_ms) {
            bound_ms = running->max_event_gap_ms;
            added = late_probability(best.pause_ms, bound_ms, pause_logistic_scale) -
                    late_probability(best.pending_pause_ms, bound_ms, pause_logistic_scale);
        }
        constexpr double negligible = 1e-4;
        if (added > negligible && ranks_ahead(now, running->owner, request, level)) {
            harm += harm_weight(running->owner, request, level) * added;
        }
    }
    return (1.0 - late_value_share) * harm;
}

double engine_admission::harm(instant now, const competing_request& request,
                              const share_level& level, const engine_estimate& best) const {
    return arrival_harm(now, request, level, best) + stream_harm(now, request, level, best);
}

/// The share of the service's other requests that is admitted; one if there are none.
double engine_admission::admitted_share_of_others(instant now, const class_key& key) const {
    double admitted = 0.0;
    double all = 0.0;
    const auto first = classes_.lower_bound({std::get<0>(key), 0, std::string()});
    for (auto it = first; it != classes_.end() && std::get<0>(it->first) == std::get<0>(key);
         ++it) {
        if (it->first != key) {
            const double factor = decay_factor(now, it->second);
            admitted += factor * it->second.admitted;
            all += factor * (it->second.admitted + it->second.refused);
        }
    }
    return all < min_active_requests ? 1.0 : admitted / all;
}

bool engine_admission::is_below_floor(instant now, const class_key& key) const {
    return ms_until_floor(now, key) <= 0.0;
}

/// The time until the floor admits the next request of a class, in ms. With `a` admitted and `r`
/// refused requests, it does as soon as a < share * (a + r + 1); both sums decay.
double engine_admission::ms_until_floor(instant now, const class_key& key) const {
    const auto found = classes_.find(key);
    if (found == classes_.end()) {
        return 0.0;
    }
    const double share = floor_share * admitted_share_of_others(now, key);
    const double factor = decay_factor(now, found->second);
    const double admitted = factor * found->second.admitted;
    const double excess = admitted - share * (admitted + factor * found->second.refused);
    if (excess < share) {
        return 0.0;
    }
    return share <= 0.0 ? std::numeric_limits<double>::infinity()
                        : decay_ms() * std::log(excess / share);
}

/// The time until the harm is at most the value if the engines get no other work, in ms. Infinite
/// if that does not happen.
double engine_admission::ms_until_harmless(instant now, const competing_request& request,
                                           const share_level& level,
                                           const engine_estimate& best) const {
    const double value = expected_value(best);
    // A prefill at a free engine harms requests that arrive while the other engines are busy, so
    // the search covers their backlog as well. It is infinite if there is no other engine.
    double longest = std::max(best.backlog_ms, 0.0);
    if (std::isfinite(best.other_backlog_ms)) {
        longest = std::max(longest, best.other_backlog_ms);
    }
    if (harm(now, request, level, after(best, longest)) > value) {
        return std::numeric_limits<double>::infinity();
    }
    double shortest = 0.0;
    for (int step = 0; step < bisection_steps; ++step) {
        const double middle = (shortest + longest) / 2;
        (harm(now, request, level, after(best, middle)) > value ? shortest : longest) = middle;
    }
    return longest;
}

admission_decision engine_admission::decide(instant now, const competing_request& request,
                                            const engine_estimate& best) {
    admission_decision decision;
    decision.value = expected_value(best);
    const double remaining_ms = as_milliseconds(request.remaining);
    const double objective_ms = as_milliseconds(request.first_event_objective);
    if (best.first_event_ms > unservable_ratio * remaining_ms) {
        const double bound_ms = objective_ms > 0.0 ? objective_ms : remaining_ms;
        return refuse(now, request, best, best.first_event_ms - bound_ms, decision);
    }
    const share_level level = level_of(now, request);
    decision.harm = harm(now, request, level, best);
    if (decision.harm <= decision.value) {
        return decision;
    }
    const class_key key{request.service, request.priority, request.account};
    if (request.is_last_query && is_below_floor(now, key)) {
        return decision;
    }
    const double harmless_ms = ms_until_harmless(now, request, level, best);
    const double hold_left_ms =
        as_milliseconds(max_hold(request.first_event_objective) - request.held);
    if (request.is_last_query && request.may_hold && harmless_ms <= hold_left_ms) {
        decision.outcome = admission_outcome::hold;
        decision.wait = from_seconds(std::max(min_hold_ms, harmless_ms) / ms_per_second);
        return decision;
    }
    return refuse(now, request, best, std::min(harmless_ms, ms_until_floor(now, key)), decision);
}

/// Requests that are refused one after the other get times that are as far apart as the engines
/// need for them.
admission_decision engine_admission::refuse(instant now, const competing_request& request,
                                            const engine_estimate& best, double wait_ms,
                                            admission_decision decision) {
    decision.outcome = admission_outcome::refuse;
    double retry_ms = std::clamp(wait_ms, min_retry_ms, max_retry_ms);
    if (request.is_last_query) {
        class_state& state = state_of(now, {request.service, request.priority, request.account});
        state.refused += 1.0;
        const double promised_ms = as_milliseconds(state.promised_until - now) + best.prefill_ms;
        retry_ms = std::min(max_retry_ms, std::max(retry_ms, promised_ms));
        state.promised_until = now + from_seconds(retry_ms / ms_per_second);
    }
    decision.wait = from_seconds(retry_ms / ms_per_second);
    return decision;
}

void engine_admission::record_admitted(instant now, std::uint64_t attempt,
                                       const competing_request& request,
                                       const engine_estimate& estimate) {
    const class_key key{request.service, request.priority, request.account};
    class_state& state = state_of(now, key);
    const bool is_first = state.unloaded_ms <= 0.0;
    const auto update = [is_first](double& mean, double latest) {
        mean = is_first ? latest : mean + mean_update_weight * (latest - mean);
    };
    update(state.objective_ms, as_milliseconds(request.first_event_objective));
    update(state.unloaded_ms, std::max(1.0, estimate.first_event_ms - estimate.backlog_ms));
    state.admitted += 1.0;
    state.work_tokens += request.work_tokens;
    state.prefill_ms += estimate.prefill_ms;
    if (request.max_event_gap > microseconds(0)) {
        end_attempt(attempt);
        const auto inserted = streams_.emplace(
            attempt, stream{key, estimate.engine, as_milliseconds(request.max_event_gap)});
        by_engine_[estimate.engine].emplace(attempt, &inserted.first->second);
    }
}

void engine_admission::end_attempt(std::uint64_t attempt) {
    const auto found = streams_.find(attempt);
    if (found == streams_.end()) {
        return;
    }
    const auto engine = by_engine_.find(found->second.engine);
    engine->second.erase(attempt);
    if (engine->second.empty()) {
        by_engine_.erase(engine);
    }
    streams_.erase(found);
}

double engine_admission::urgency_weight(instant now, std::string_view service,
                                        unsigned priority) const {
    unsigned lowest = priority;
    const auto first = classes_.lower_bound({std::string(service), 0, std::string()});
    for (auto it = first; it != classes_.end() && std::get<0>(it->first) == service; ++it) {
        const double requests =
            decay_factor(now, it->second) * (it->second.admitted + it->second.refused);
        if (requests >= min_active_requests) {
            lowest = std::max(lowest, std::get<1>(it->first));
        }
    }
    return weight_of(priority, lowest);
}

double engine_admission::admitted_work(instant now, std::string_view service,
                                       std::string_view account, unsigned priority) const {
    const auto found = classes_.find({std::string(service), priority, std::string(account)});
    return found == classes_.end() ? 0.0
                                   : decay_factor(now, found->second) * found->second.work_tokens /
                                         as_seconds(rate_decay_time);
}

}  // namespace wrenswitch
