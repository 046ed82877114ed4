#include "roles/gateway/placement_coordinator.hpp"

#include <placement.pb.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

#include "roles/gateway/placement_codec.hpp"
#include "roles/gateway/rate_limited_log.hpp"

namespace wrenswitch {
namespace {

/// How long an attempt stays counted beyond its caller's deadline; longer than the update on its
/// end takes to arrive.
constexpr microseconds lease_slack = seconds(1);

/// Upper bound of a lease, whatever time the querying gateway states.
constexpr microseconds max_lease = seconds(600);

/// The requests that are held at most. Each is evaluated again at every event of an engine, which
/// takes a few microseconds; more than this many could not be placed within a quarter of an
/// objective anyway.
constexpr std::size_t max_held = 32;

/// Pressure has ended when no request was held or refused for this long, as long as recent rates
/// count.
constexpr microseconds pressure_end_time = seconds(2);

/// Bounds of a slowdown that another gateway tells, as for those that targets report.
constexpr std::uint32_t min_slowdown_percent = 10;
constexpr std::uint32_t max_slowdown_percent = 10'000;
constexpr double whole_percent = 100.0;

}  // namespace

placement_coordinator::placement_coordinator(target_pool& targets,
                                             engine_coordinators& coordinators, metrics& counters,
                                             rate_limited_log* log)
    : targets_(targets), coordinators_(coordinators), counters_(counters), log_(log) {}

target_choice placement_coordinator::place(instant now, std::uint64_t attempt,
                                           const std::string& service,
                                           const engine_request& request,
                                           std::span<const std::string> tried,
                                           microseconds remaining) {
    const target_choice choice = pick(now, service, request, tried);
    if (choice.target != nullptr) {
        begin_attempt(now, attempt, request, choice, remaining);
    }
    return choice;
}

target_choice placement_coordinator::pick(instant now, const std::string& service,
                                          const engine_request& request,
                                          std::span<const std::string> tried) {
    track_assignments(now);
    const target_choice choice = targets_.pick_engine(
        now, service, request, tried,
        [this, now](std::string_view engine) { return may_offer(now, engine); },
        permit_share::coordinator);
    if (choice.target == nullptr) {
        counters_.counter("placements_without_engine_total") += 1;
    }
    return choice;
}

void placement_coordinator::begin_attempt(instant now, std::uint64_t attempt,
                                          const engine_request& request,
                                          const target_choice& choice, microseconds remaining) {
    const std::string& target = choice.target->id;
    const bool sent_now = choice.wait == microseconds(0);
    const std::uint64_t pool_attempt =
        targets_.begin_attempt(now, target, request, choice.uncached_tokens, sent_now);
    attempts_.insert_or_assign(
        attempt,
        counted_attempt{target, pool_attempt, now + std::min(remaining, max_lease) + lease_slack});
    counters_.counter("placements_total") += 1;
}

void placement_coordinator::place_or_hold(instant now, placement_query query,
                                          const decision_hook& on_decided) {
    if (!query.request.priority) {
        on_decided(
            place(now, query.attempt, query.service, query.request, query.tried, query.remaining));
        return;
    }
    const bool is_most_urgent =
        std::none_of(held_.begin(), held_.end(), [&query](const held_query& each) {
            return *each.query.request.priority <= *query.request.priority;
        });
    if (!is_most_urgent) {
        retry_held(now);
    }
    const target_choice choice = place_competing(now, query, microseconds(0));
    if (choice.admission == admission_outcome::hold) {
        counters_.counter("placements_held_total") += 1;
        held_.push_back({std::move(query), on_decided, now});
    }
    on_decided(choice);
}

/// A cold engine is not subject to admission control: its warm-up limits the requests that it gets.
target_choice placement_coordinator::place_competing(instant now, const placement_query& query,
                                                     microseconds held) {
    engine_request request = query.request;
    request.loss_weight = admission_.urgency_weight(now, query.service, *request.priority);
    target_choice choice = pick(now, query.service, request, query.tried);
    if (choice.target == nullptr) {
        return choice;
    }
    const microseconds remaining = query.remaining - held;
    if (targets_.is_cold(now, choice.target->id)) {
        begin_attempt(now, query.attempt, request, choice, remaining);
        return choice;
    }
    const placement_cost& cost = choice.price;
    const competing_request competing{
        query.service,
        request.account,
        *request.priority,
        static_cast<double>(choice.uncached_tokens + expected_output(request.prompt)),
        request.first_event_objective,
        request.max_event_gap,
        remaining,
        held,
        request.is_last_query,
        held_.size() < max_held};
    const engine_estimate estimate{
        choice.target->id,       cost.first_event_ms,   cost.backlog_ms,
        choice.other_backlog_ms, cost.prefill_ms,       cost.pause_ms,
        cost.pending_pause_ms,   cost.late_probability, choice.candidates};
    const admission_decision decision = admission_.decide(now, competing, estimate);
    track_pressure(now, competing, estimate, decision);
    choice.admission = decision.outcome;
    if (decision.outcome == admission_outcome::admit) {
        begin_attempt(now, query.attempt, request, choice, remaining);
        admission_.record_admitted(now, query.attempt, competing, estimate);
        return choice;
    }
    choice.target = nullptr;
    choice.copy_from = nullptr;
    choice.admission_wait = decision.wait;
    if (decision.outcome == admission_outcome::hold) {
        choice.admission_wait = max_hold(request.first_event_objective);
    } else if (request.is_last_query) {
        counters_.counter("placements_refused_total") += 1;
    }
    return choice;
}

/// Logs when a service's requests begin to be held or refused, and when this has ended.
void placement_coordinator::track_pressure(instant now, const competing_request& request,
                                           const engine_estimate& best,
                                           const admission_decision& decision) {
    const auto found = pressed_at_.find(request.service);
    const bool was_pressed = found != pressed_at_.end();
    if (decision.outcome == admission_outcome::admit) {
        if (!was_pressed || now - found->second < pressure_end_time) {
            return;
        }
        pressed_at_.erase(found);
    } else {
        pressed_at_.insert_or_assign(request.service, now);
        if (was_pressed) {
            return;
        }
    }
    if (log_ == nullptr) {
        return;
    }
    // All inputs are the coordinator's own and current; rates are those of the last 2 s.
    log_->log_routine(was_pressed ? "engine_pressure_ended" : "engine_pressure_began",
                      {{"service", request.service},
                       {"account", request.account},
                       {"priority", std::to_string(request.priority)},
                       {"harm", std::to_string(decision.harm)},
                       {"value", std::to_string(decision.value)},
                       {"target", best.engine},
                       {"first_event_ms", std::to_string(std::lround(best.first_event_ms))},
                       {"backlog_ms", std::to_string(std::lround(best.backlog_ms))},
                       {"pause_ms", std::to_string(std::lround(best.pause_ms))},
                       {"held", std::to_string(held_.size())}});
}

void placement_coordinator::retry_held(instant now) {
    if (held_.empty()) {
        return;
    }
    // The hooks may place further requests, which are held behind these.
    std::vector<held_query> waiting = std::exchange(held_, {});
    std::vector<std::pair<std::tuple<unsigned, double, instant>, held_query*>> order;
    order.reserve(waiting.size());
    for (held_query& each : waiting) {
        const engine_request& request = each.query.request;
        const double work =
            admission_.admitted_work(now, each.query.service, request.account, *request.priority);
        order.push_back({{*request.priority, work, each.arrived}, &each});
    }
    std::sort(order.begin(), order.end(),
              [](const auto& left, const auto& right) { return left.first < right.first; });
    // A request that is still held blocks those behind it, unless they have been held for as long
    // as they may be. Evaluating all of them at every event would take a third of a core.
    std::set<std::string> blocked_services;
    for (const auto& [rank, each] : order) {
        const microseconds held = now - each->arrived;
        const bool must_decide = held >= max_hold(each->query.request.first_event_objective);
        if (!must_decide && blocked_services.contains(each->query.service)) {
            held_.push_back(std::move(*each));
            continue;
        }
        const target_choice choice = place_competing(now, each->query, held);
        if (choice.admission == admission_outcome::hold) {
            blocked_services.insert(each->query.service);
            held_.push_back(std::move(*each));
            continue;
        }
        counters_.histogram("placement_hold_ms").observe(held);
        each->on_decided(choice);
    }
}

/// A cold engine is offered only by the coordinator that every gateway agrees on. After a power
/// loss, two processes that each took the other for lost sent a cold engine 21 requests in one
/// second where its warm-up allows 9.6.
bool placement_coordinator::may_offer(instant now, std::string_view engine) {
    const bool cold = targets_.is_cold(now, engine);
    return cold ? coordinators_.coordinates_exclusively(now, engine)
                : coordinators_.coordinates(now, engine);
}

/// An engine that had another coordinator may have been given send permits by it until now.
void placement_coordinator::track_assignments(instant now) {
    const std::uint64_t changes = coordinators_.assignment_version(now);
    if (changes != seen_assignments_) {
        seen_assignments_ = changes;
        targets_.defer_cold_permits(now);
    }
}

const placement_coordinator::counted_attempt* placement_coordinator::find(
    std::uint64_t attempt) const {
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &found->second;
}

void placement_coordinator::record_first_event(instant now, std::uint64_t attempt) {
    if (const counted_attempt* counted = find(attempt)) {
        targets_.record_first_event(now, counted->target, counted->pool_attempt);
    }
}

void placement_coordinator::record_event_span(instant now, std::uint64_t attempt,
                                              microseconds span) {
    if (const counted_attempt* counted = find(attempt)) {
        targets_.record_event_span(now, counted->target, span);
    }
}

void placement_coordinator::record_slowdown(instant now, std::uint64_t attempt,
                                            std::uint32_t percent) {
    if (percent < min_slowdown_percent || percent > max_slowdown_percent) {
        counters_.counter("placement_slowdowns_refused_total") += 1;
        return;
    }
    if (const counted_attempt* counted = find(attempt)) {
        targets_.record_peer_slowdown(now, counted->target, percent / whole_percent);
    }
}

void placement_coordinator::end_remote_attempt(instant now, std::uint64_t attempt,
                                               attempt_outcome outcome) {
    const counted_attempt* counted = find(attempt);
    if (counted == nullptr) {
        return;
    }
    if (outcome == attempt_outcome::failed) {
        targets_.on_failure(now, counted->target);
    } else if (outcome != attempt_outcome::abandoned) {
        targets_.on_response(now, counted->target, outcome == attempt_outcome::succeeded);
    }
    end_local_attempt(now, attempt);
}

void placement_coordinator::end_local_attempt(instant now, std::uint64_t attempt) {
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end()) {
        targets_.end_attempt(now, found->second.target, found->second.pool_attempt);
        admission_.end_attempt(attempt);
        attempts_.erase(found);
    }
}

void placement_coordinator::apply_updates(instant now, const wire::RunNewsBatch& batch) {
    for (const wire::RunNews& update : batch.runs()) {
        // The slowdown comes first, because the time of the first event is judged by it.
        if (update.has_slowdown_percent()) {
            record_slowdown(now, update.run(), update.slowdown_percent());
        }
        if (update.first_event()) {
            record_first_event(now, update.run());
        }
        for (const std::uint32_t span : update.spans_us()) {
            record_event_span(now, update.run(), microseconds(span));
        }
        if (update.end() != wire::RUN_GOES_ON) {
            end_remote_attempt(now, update.run(), from_wire(update.end()));
        }
    }
    retry_held(now);
}

void placement_coordinator::drop_expired(instant now) {
    for (auto it = attempts_.begin(); it != attempts_.end();) {
        const auto attempt = it++;
        if (attempt->second.lease_until <= now) {
            counters_.counter("placements_lapsed_total") += 1;
            targets_.end_attempt(now, attempt->second.target, attempt->second.pool_attempt);
            admission_.end_attempt(attempt->first);
            attempts_.erase(attempt);
        }
    }
}

}  // namespace wrenswitch
