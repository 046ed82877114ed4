#include "wrenswitch/decision/placement/engine_placer.hpp"

#include <algorithm>
#include <cmath>

#include "wrenswitch/core/bounded_number.hpp"
#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// An engine's memory if the service does not configure it: enough for several long prompts.
constexpr tokens default_memory_tokens = 200'000;

/// The event interval assumed before any is observed, in ms: typical for streams of current
/// engines.
constexpr double default_event_interval_ms = 30.0;

/// The width of the logistic function for the first event, as a share of the objective: estimates
/// are wrong by some tens of percent.
constexpr double first_event_logistic_scale = 0.2;

/// The time to set up a copy, in ms.
constexpr double copy_setup_ms = 4.0;

/// The cost of a processed prompt token as a share of a requested one, since the engine time is
/// lost to other requests. With 0.3, requests queued at engines that had cached their prompts while
/// other engines were idle. In simulated days, 0.2 raised the score by 0.012 and 0.003 on two days
/// with faults and 26 entries (four seeds), and by 0.000 to 0.025 on four days with 4 entries and
/// another four with 4 entries (seven seeds), and lowered it on none. 0.1 gave no further gain.
constexpr double prefill_cost_per_token = 0.2;

/// The cost of a copied token as a share of a requested one.
constexpr double copy_cost_per_token = 0.03;

/// The cost of waiting for the whole objective, as a share of the request: just enough to prefer
/// the shorter of two acceptable waits.
constexpr double wait_cost_share = 0.02;

/// The cost of a full engine, as a share of the request: just enough to spread requests.
constexpr double occupancy_cost_share = 0.02;

/// The discount for a session's engine by rendezvous hashing, as a share of the request, so that
/// entries choose the same engine without communication.
constexpr double preferred_engine_discount = 0.01;

/// The cost of using another region, as a share of the request, in addition to the latency: the
/// traffic between the regions and the capacity taken from the other region's own requests.
constexpr double cross_region_cost_share = 0.05;

/// Limits of an engine's slowness. Values beyond them indicate a fault, which other terms cover,
/// rather than a speed.
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 5.0;

constexpr double ms_per_second = 1000.0;
constexpr double whole_percent = 100.0;

/// The loss if a response has no value: all the tokens that it costs.
double expected_total_tokens(const prompt_profile& prompt) {
    return static_cast<double>(prompt.prompt_tokens + expected_output(prompt));
}

}  // namespace

engine_placer::engine_state& engine_placer::state_of(const std::string& service,
                                                     const std::string& target,
                                                     const engine_profile& engine) {
    engine_state& state = engines_[target];
    state.service = service;
    state.cache.set_capacity(engine.memory_tokens > 0 ? engine.memory_tokens
                                                      : default_memory_tokens);
    return state;
}

engine_choice engine_placer::choose(instant now, const std::string& service,
                                    std::span<const engine_candidate> candidates,
                                    std::span<const copy_source> sources,
                                    const engine_request& request) {
    std::vector<engine_state*> states;
    states.reserve(candidates.size());
    for (const engine_candidate& candidate : candidates) {
        const auto known = engines_.find(candidate.id);
        states.push_back(known != engines_.end()
                             ? &known->second
                             : &state_of(service, std::string(candidate.id), request.engine));
        states.back()->load.track_pause_bound(as_milliseconds(request.max_event_gap));
    }
    update_median_event_interval(service, states);
    const std::vector<region_context> contexts =
        contexts_by_region(candidates, sources, request, services_[service]);
    engine_choice best;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto context = std::find_if(
            contexts.begin(), contexts.end(),
            [&](const region_context& each) { return each.region == candidates[index].region; });
        engine_choice choice = evaluate(now, candidates[index], *states[index], *context);
        choice.index = index;
        const double backlog_ms = choice.cost.backlog_ms;
        if (index == 0 || choice.cost.total < best.cost.total) {
            choice.other_backlog_ms = index == 0
                                          ? choice.other_backlog_ms
                                          : std::min(best.other_backlog_ms, best.cost.backlog_ms);
            best = std::move(choice);
        } else {
            best.other_backlog_ms = std::min(best.other_backlog_ms, backlog_ms);
        }
    }
    return best;
}

std::vector<engine_placer::region_context> engine_placer::contexts_by_region(
    std::span<const engine_candidate> candidates, std::span<const copy_source> sources,
    const engine_request& request, const service_state& service) {
    std::map<std::string_view, std::vector<std::string_view>> regions;
    for (const engine_candidate& candidate : candidates) {
        regions[candidate.region].push_back(candidate.id);
    }
    std::vector<region_context> contexts;
    for (const auto& [region, engines] : regions) {
        region_context context{region,
                               request,
                               service,
                               session_engine(engines, request.prompt),
                               expected_total_tokens(request.prompt),
                               0,
                               {}};
        if (request.engine.copy_ms_per_token > 0.0) {
            select_copy_source(context, sources);
        }
        contexts.push_back(context);
    }
    return contexts;
}

void engine_placer::update_median_event_interval(const std::string& service,
                                                 std::span<engine_state* const> states) {
    std::vector<double> known;
    for (const engine_state* state : states) {
        if (state->event_interval.is_known()) {
            known.push_back(state->event_interval.interval_ms());
        }
    }
    if (known.empty()) {
        return;
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    services_[service].median_event_interval_ms = *middle;
}

/// Selects the engine with the longest cached prefix. If none is known, the session's engine by
/// rendezvous hashing may have it cached, since other entries send there too.
void engine_placer::select_copy_source(region_context& context,
                                       std::span<const copy_source> sources) const {
    const cached_prefix best =
        longest_cached_prefix(sources, context.region, context.request.prompt);
    context.source = best.cached_tokens > 0 ? best.engine : context.preferred_engine;
    context.best_cached_tokens = best.cached_tokens;
}

engine_placer::cached_prefix engine_placer::longest_cached_prefix(
    std::span<const copy_source> sources, std::string_view region,
    const prompt_profile& prompt) const {
    cached_prefix best;
    for (const copy_source& source : sources) {
        if (source.region != region) {
            continue;
        }
        const auto found = engines_.find(source.id);
        const tokens cached_tokens =
            found == engines_.end() ? 0 : found->second.cache.cached_tokens(prompt);
        if (cached_tokens > best.cached_tokens) {
            best = {source.id, cached_tokens};
        }
    }
    return best;
}

engine_choice engine_placer::evaluate(instant now, const engine_candidate& candidate,
                                      const engine_state& state, const region_context& context) {
    const prompt_profile& prompt = context.request.prompt;
    const tokens cached_tokens = state.cache.cached_tokens(prompt);
    const bool copies = context.best_cached_tokens - cached_tokens >= min_copied_tokens;
    const tokens copied = copies ? context.best_cached_tokens - cached_tokens : 0;
    engine_choice choice;
    choice.uncached_tokens = std::max<tokens>(0, prompt.prompt_tokens - cached_tokens - copied);
    const bool may_be_cached = context.best_cached_tokens == 0 && cached_tokens == 0;
    if ((copies || may_be_cached) && context.source != candidate.id) {
        choice.copy_from = context.source;
    }
    choice.cost = estimate_cost(now, candidate, state, context, choice.uncached_tokens, copied);
    return choice;
}

placement_cost engine_placer::estimate_cost(instant now, const engine_candidate& candidate,
                                            const engine_state& state,
                                            const region_context& context, tokens uncached_tokens,
                                            tokens copied) {
    const engine_request& request = context.request;
    const double total_tokens = context.total_tokens;
    const double attempts = static_cast<double>(state.load.attempts());
    const double slots = std::max(1U, candidate.slots);
    placement_cost cost;
    cost.backlog_ms = state.load.backlog_ms(now);
    cost.first_event_ms =
        estimate_first_event_ms(now, candidate, state, context, uncached_tokens, copied);
    cost.pause_ms = estimate_pause_ms(now, state, context.service, request, uncached_tokens);
    cost.prefill_ms =
        slowness(now, state, context.service) *
        context.service.model.prefill_ms(request.prompt.prompt_tokens, uncached_tokens);
    cost.pending_pause_ms = state.load.pending_pause_ms(now);
    const double in_time = in_time_probability(now, state, context, cost.first_event_ms);
    const double preempted = preemption_probability(state, context);
    cost.late_probability = 1.0 - in_time + candidate.failure_rate + preempted;
    cost.own_cost = total_tokens * cost.late_probability;
    cost.stream_cost = state.load.pause_cost(now, cost.pause_ms);
    const double engine_time = prefill_cost_per_token * static_cast<double>(uncached_tokens) +
                               copy_cost_per_token * static_cast<double>(copied);
    const double objective_ms = std::max(1.0, as_milliseconds(request.first_event_objective));
    const double discount =
        candidate.id == context.preferred_engine ? preferred_engine_discount : 0.0;
    const double cross_region = candidate.round_trip_ms > 0.0 ? cross_region_cost_share : 0.0;
    const double preference = wait_cost_share * cost.first_event_ms / objective_ms +
                              occupancy_cost_share * attempts / slots + cross_region - discount;
    cost.total = cost.own_cost + cost.stream_cost + engine_time + total_tokens * preference;
    return cost;
}

/// The expected time to the first event on an engine, in ms.
double engine_placer::estimate_first_event_ms(instant now, const engine_candidate& candidate,
                                              const engine_state& state,
                                              const region_context& context, tokens uncached_tokens,
                                              tokens copied) {
    const engine_request& request = context.request;
    const double slots = std::max(1U, candidate.slots);
    const double excess_attempts = static_cast<double>(state.load.attempts()) - slots + 1.0;
    const double response_duration_ms = response_ms(now, state, context.service, request);
    const double slot_wait = std::max(0.0, excess_attempts) * response_duration_ms / slots;
    const double copying =
        copied > 0 ? copy_setup_ms + request.engine.copy_ms_per_token * static_cast<double>(copied)
                   : 0.0;
    const double unloaded_ms =
        context.service.model.first_event_ms(request.prompt.prompt_tokens, uncached_tokens);
    const double wait_ms = std::max(candidate.wait_ms, state.load.backlog_ms(now));
    return candidate.round_trip_ms + wait_ms + state.load.overdue_ms(now) + slot_wait + copying +
           slowness(now, state, context.service) * unloaded_ms;
}

/// The probability that neither the first event nor a later pause is late.
double engine_placer::in_time_probability(instant now, const engine_state& state,
                                          const region_context& context, double first_event_ms) {
    const engine_request& request = context.request;
    const double first_event_late = late_probability(
        first_event_ms, as_milliseconds(request.first_event_objective), first_event_logistic_scale);
    const double response_duration_ms = response_ms(now, state, context.service, request);
    const double late_pauses =
        state.load.late_pauses_per_second(now, as_milliseconds(request.max_event_gap)) *
        response_duration_ms / ms_per_second;
    return (1.0 - first_event_late) * std::exp(-late_pauses);
}

/// The probability that the engine runs out of memory and preempts the request.
double engine_placer::preemption_probability(const engine_state& state,
                                             const region_context& context) {
    const tokens memory_tokens = context.request.engine.memory_tokens;
    const auto capacity =
        static_cast<double>(memory_tokens > 0 ? memory_tokens : default_memory_tokens);
    const double excess =
        static_cast<double>(state.load.memory_tokens()) + context.total_tokens - capacity;
    return std::clamp(excess / std::max(1.0, context.total_tokens), 0.0, 1.0);
}

/// The factor by which the target is slower now than the median of the service's targets usually
/// is. The learnt interval hardly includes short slowdowns, since it is a low quantile.
double engine_placer::slowness(instant now, const engine_state& state,
                               const service_state& service) {
    const double slowdown = state.slowdown.at(now);
    if (!state.event_interval.is_known() || service.median_event_interval_ms <= 0.0) {
        return slowdown;
    }
    return slowdown *
           std::clamp(state.event_interval.interval_ms() / service.median_event_interval_ms,
                      min_slowness, max_slowness);
}

/// Streams get one event while the engine processes as many prompt chunks as the event has tokens.
/// Consecutive prefills count as one.
double engine_placer::estimate_pause_ms(instant now, const engine_state& state,
                                        const service_state& service, const engine_request& request,
                                        tokens uncached_tokens) {
    const double factor = slowness(now, state, service);
    const tokens prompt_tokens = request.prompt.prompt_tokens;
    const double total_ms = state.load.backlog_ms(now) +
                            factor * service.model.prefill_ms(prompt_tokens, uncached_tokens);
    const double longest_ms = factor * service.model.pause_ms(prompt_tokens, prompt_tokens,
                                                              request.engine.tokens_per_event);
    return std::min(total_ms, std::max(longest_ms, state.load.pending_pause_ms(now)));
}

/// The expected duration of the response's events, in ms.
double engine_placer::response_ms(instant now, const engine_state& state,
                                  const service_state& service, const engine_request& request) {
    const double typical = service.median_event_interval_ms > 0.0 ? service.median_event_interval_ms
                                                                  : default_event_interval_ms;
    const double event_interval =
        state.event_interval.is_known() ? state.event_interval.interval_ms() : typical;
    const auto events = static_cast<double>(expected_output(request.prompt)) /
                        static_cast<double>(std::max<tokens>(1, request.engine.tokens_per_event));
    return events * event_interval * state.slowdown.at(now);
}

std::uint64_t engine_placer::begin_attempt(instant now, const std::string& service,
                                           const std::string& target, const engine_request& request,
                                           tokens uncached_tokens, bool all_requests_known) {
    engine_state& state = state_of(service, target, request.engine);
    const service_state& service_data = services_[service];
    const bool was_idle = state.load.backlog_ms(now) <= 0.0;
    const double prefill =
        slowness(now, state, service_data) *
        service_data.model.prefill_ms(request.prompt.prompt_tokens, uncached_tokens);
    const double pause = estimate_pause_ms(now, state, service_data, request, uncached_tokens);
    const std::uint64_t attempt_id = ++last_attempt_id_;
    const active_attempt attempt{attempt_id,
                                 request.prompt.prompt_tokens + expected_output(request.prompt),
                                 request.loss_weight * expected_total_tokens(request.prompt),
                                 as_milliseconds(request.max_event_gap)};
    state.load.add_attempt(now, attempt, {attempt_id, prefill, pause});
    state.cache.insert(request.prompt);
    if (all_requests_known && was_idle) {
        state.timed_prefills[attempt_id] = {now, request.prompt.prompt_tokens, uncached_tokens};
    }
    return attempt_id;
}

void engine_placer::record_first_event(instant now, std::string_view target,
                                       std::uint64_t attempt_id) {
    const auto found = engines_.find(target);
    if (found == engines_.end()) {
        return;
    }
    engine_state& state = found->second;
    state.load.record_first_event(now, attempt_id);
    const auto timed = state.timed_prefills.find(attempt_id);
    if (timed == state.timed_prefills.end()) {
        return;
    }
    service_state& service = services_[state.service];
    const double elapsed =
        as_milliseconds(now - timed->second.started_at) / slowness(now, state, service);
    service.model.observe(timed->second.prompt_tokens, timed->second.uncached_tokens, elapsed);
    state.timed_prefills.erase(timed);
}

void engine_placer::record_event_span(instant now, std::string_view target, microseconds span) {
    const auto found = engines_.find(target);
    if (found != engines_.end()) {
        found->second.load.record_event(now);
        found->second.event_interval.observe(span);
    }
}

void engine_placer::record_slowdown(instant now, std::string_view target, double factor) {
    const auto found = engines_.find(target);
    if (found != engines_.end()) {
        found->second.slowdown.record(now, factor);
    }
}

void engine_placer::end_attempt(instant now, std::string_view target, std::uint64_t attempt_id) {
    const auto found = engines_.find(target);
    if (found != engines_.end()) {
        found->second.load.end_attempt(now, attempt_id);
        found->second.timed_prefills.erase(attempt_id);
    }
}

double engine_placer::prefill_ms(std::string_view service, tokens prompt_tokens) const {
    const auto found = services_.find(service);
    return (found == services_.end() ? prefill_model() : found->second.model)
        .prefill_ms(prompt_tokens, prompt_tokens);
}

std::string engine_placer::describe(instant now, std::string_view target) const {
    const auto found = engines_.find(target);
    if (found == engines_.end()) {
        return "unknown";
    }
    const engine_state& state = found->second;
    return "runs=" + std::to_string(state.load.attempts()) +
           ",backlog_ms=" + whole_text(state.load.backlog_ms(now)) +
           ",overdue_ms=" + whole_text(state.load.overdue_ms(now)) +
           ",pace_ms=" + whole_text(state.event_interval.interval_ms()) +
           (state.slowdown.is_known()
                ? ",engine_slowdown_pct=" + whole_text(whole_percent * state.slowdown.at(now))
                : "");
}

void engine_placer::remove_target(std::string_view target) {
    const auto found = engines_.find(target);
    if (found != engines_.end()) {
        engines_.erase(found);
    }
}

}  // namespace wrenswitch
