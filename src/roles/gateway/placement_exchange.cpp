#include "roles/gateway/placement_exchange.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "roles/gateway/placement_admission_fields.hpp"
#include "roles/gateway/placement_codec.hpp"

namespace wrenswitch {
namespace {

/// How many coordinators are queried while engines are cold. Each query takes about 2 ms, and one
/// with capacity is found among a few.
constexpr std::size_t max_cold_coordinators = 4;

/// A coordinator in another region is queried as well if the cost at the best engine of this region
/// is at least this share of the request's tokens. Both the query and the response then take the
/// longer round trip.
constexpr double remote_query_cost_share = 0.2;

/// A request goes to another region only if its cost there, including the repeated prefill, is
/// below this share of its cost in its own region. Both costs are estimates that are off by some
/// tens of percent.
constexpr double max_remote_cost_ratio = 0.8;

/// How long no other region is queried after one offered nothing better. When both regions are
/// full, each request would otherwise wait in vain and be counted at two engines.
constexpr microseconds remote_query_backoff = milliseconds(300);

}  // namespace

placement_exchange::placement_exchange(event_loop& loop, message_bus& bus, target_pool& targets,
                                       engine_coordinators& coordinators,
                                       placement_coordinator& local_coordinator, metrics& counters,
                                       hooks needs)
    : loop_(loop),
      bus_(bus),
      targets_(targets),
      coordinators_(coordinators),
      local_coordinator_(local_coordinator),
      counters_(counters),
      engine_of_(std::move(needs.engine_of)),
      monitor_(loop, counters,
               {std::move(needs.coordinator_unresponsive), std::move(needs.coordinator_responded),
                std::move(needs.round_trip), std::move(needs.round_trip_measured)}),
      updates_(loop, bus, counters) {}

placement_exchange::~placement_exchange() {
    *alive_ = false;
}

std::shared_ptr<placement_exchange::handle> placement_exchange::place(
    const std::string& service, const engine_request& request, std::span<const std::string> tried,
    microseconds remaining, choice_hook on_chosen) {
    const instant now = monotonic_now();
    const auto attempt = static_cast<std::uint64_t>(random_.next_id<incarnation_id>());
    auto caller_handle = std::make_shared<handle>();
    pending_query pending{service,
                          request,
                          {tried.begin(), tried.end()},
                          remaining,
                          std::move(on_chosen),
                          caller_handle,
                          {},
                          now,
                          {},
                          {}};
    const std::string_view session_engine =
        targets_.rendezvous_engine(now, service, request, tried);
    const std::optional<cluster_member> coordinator =
        session_engine.empty() ? std::nullopt : coordinators_.coordinator_of(now, session_engine);
    if (!coordinator || monitor_.is_unresponsive(coordinator->host)) {
        pending.coordinator = coordinator.value_or(cluster_member{});
        choose_locally(attempt, std::move(pending));
        return caller_handle;
    }
    pending.coordinator = *coordinator;
    pending.request.round_trip = monitor_.round_trip(*coordinator);
    if (coordinators_.coordinates(now, session_engine)) {
        choose_as_coordinator(attempt, std::move(pending));
    } else {
        query(attempt, std::move(pending));
    }
    return caller_handle;
}

void placement_exchange::query(std::uint64_t attempt, pending_query pending) {
    wire::Envelope message;
    *message.mutable_placement_ask() =
        to_wire(attempt, pending.service, pending.request, pending.tried, pending.remaining);
    bus_.send(pending.coordinator.endpoint, message);
    counters_.counter("placement_asks_total") += 1;
    pending.sent_at = monotonic_now();
    const instant sent_at = pending.sent_at;
    const microseconds timeout = (pending.last_query ? timeouts_.cold_query : timeouts_.query) +
                                 monitor_.round_trip(pending.coordinator);
    queries_.insert_or_assign(attempt, std::move(pending));
    loop_.call_after(timeout, [this, attempt, sent_at, alive = alive_] {
        if (*alive) {
            on_timeout(attempt, sent_at);
        }
    });
}

void placement_exchange::on_timeout(std::uint64_t attempt, instant sent_at) {
    const auto found = queries_.find(attempt);
    if (found == queries_.end() || found->second.sent_at != sent_at ||
        found->second.held_until > monotonic_now()) {
        return;
    }
    pending_query pending = std::move(found->second);
    queries_.erase(found);
    counters_.counter("placement_asks_late_total") += 1;
    monitor_.on_timeout(attempt, pending.coordinator, pending.sent_at);
    if (pending.offer) {
        use_offer(std::move(pending));
    } else if (!pending.caller_handle.expired()) {
        choose_locally(attempt, std::move(pending));
    }
}

/// Used when the coordinator can't be queried: the choice uses the attempts that this gateway knows
/// of and depends mainly on where the session's cached prefix is expected. For cold engines a
/// gateway that doesn't query has almost no send permits, so a coordinator is queried all the same,
/// with a longer timeout.
void placement_exchange::choose_locally(std::uint64_t attempt, pending_query pending) {
    const instant now = monotonic_now();
    pending.request.round_trip = microseconds(0);
    const target_choice choice = targets_.pick_engine(
        now, pending.service, pending.request, pending.tried, [](std::string_view) { return true; },
        permit_share::fallback);
    if (choice.all_cold && !pending.last_query && !pending.coordinator.endpoint.empty() &&
        pending.coordinator.host != coordinators_.own_host()) {
        pending.last_query = true;
        query(attempt, std::move(pending));
        return;
    }
    placed_attempt placed{attempt, {}, {}, {}, 0, now - pending.sent_at, {}};
    if (choice.target != nullptr) {
        counters_.counter("placements_alone_total") += 1;
        placed.target = choice.target->id;
        placed.local_attempt = targets_.begin_attempt(now, placed.target, pending.request,
                                                      choice.uncached_tokens, false);
    }
    pending.on_chosen(choice, placed);
}

void placement_exchange::choose_as_coordinator(std::uint64_t attempt, pending_query pending) {
    const auto shared = std::make_shared<pending_query>(std::move(pending));
    local_coordinator_.place_or_hold(
        monotonic_now(),
        {attempt, shared->service, shared->request, shared->tried, shared->remaining},
        [this, attempt, shared](const target_choice& choice) {
            if (choice.admission == admission_outcome::hold) {
                start_hold_timer();
            } else {
                on_own_choice(attempt, std::move(*shared), choice);
            }
        });
}

/// Handles the final choice of this process as a coordinator.
void placement_exchange::on_own_choice(std::uint64_t attempt, pending_query pending,
                                       const target_choice& choice) {
    if (pending.caller_handle.expired()) {
        local_coordinator_.end_local_attempt(monotonic_now(), attempt);
        return;
    }
    if (choice.admission == admission_outcome::refuse) {
        on_refused(attempt, std::move(pending), choice);
        return;
    }
    if (choice.all_cold) {
        try_another_coordinator(attempt, std::move(pending));
        return;
    }
    if (choice.target == nullptr) {
        choose_locally(attempt, std::move(pending));
        return;
    }
    const local_offer offer = make_offer(attempt, choice, {}, microseconds(0));
    if (!query_remote_region(offer, pending)) {
        pending.on_chosen(choice, attempt_from(offer));
    }
}

/// Queries a coordinator in another region as well if the best engine of this region would be
/// expensive for the request. True if a query was sent and the offer is kept until it is answered.
bool placement_exchange::query_remote_region(const local_offer& offer, pending_query& pending) {
    const instant now = monotonic_now();
    const auto request_tokens = static_cast<double>(pending.request.prompt.prompt_tokens +
                                                    expected_output(pending.request.prompt));
    const double expected_cost = offer.cost.own_cost + offer.cost.stream_cost;
    if (pending.offer || expected_cost < remote_query_cost_share * request_tokens ||
        now < remote_query_allowed_at_) {
        return false;
    }
    const std::string_view engine = targets_.rendezvous_engine(
        now, pending.service, pending.request, pending.tried, rendezvous_scope::another_region);
    const std::optional<cluster_member> coordinator =
        engine.empty() ? std::nullopt : coordinators_.coordinator_of(now, engine);
    const bool is_remote = coordinator && monitor_.round_trip(*coordinator) > microseconds(0);
    if (!is_remote || monitor_.is_unresponsive(coordinator->host)) {
        return false;
    }
    counters_.counter("placement_asks_afar_total") += 1;
    pending.offer = offer;
    pending.coordinator = *coordinator;
    pending.request.round_trip = monitor_.round_trip(*coordinator);
    query(static_cast<std::uint64_t>(random_.next_id<incarnation_id>()), std::move(pending));
    return true;
}

void placement_exchange::release_offer(const local_offer& offer) {
    end_attempt(attempt_from(offer), attempt_outcome::abandoned);
}

/// Uses the engine that this region's coordinator offered if it is still usable.
void placement_exchange::use_offer(pending_query pending) {
    const instant now = monotonic_now();
    const local_offer offer = *std::exchange(pending.offer, std::nullopt);
    if (pending.caller_handle.expired()) {
        release_offer(offer);
        return;
    }
    if (!targets_.is_usable(now, offer.target, pending.service, pending.request.constraints)) {
        release_offer(offer);
        choose_locally(offer.attempt, std::move(pending));
        return;
    }
    target_choice choice = choice_from(offer, targets_);
    placed_attempt placed = attempt_from(offer);
    if (!offer.coordinator.host.empty()) {
        targets_.improve_copy_source(now, pending.request, choice);
        placed.local_attempt = targets_.begin_attempt(now, placed.target, pending.request,
                                                      choice.uncached_tokens, false);
    }
    pending.on_chosen(choice, placed);
}

/// The engines of one coordinator have no send permit in time; those of another coordinator may.
void placement_exchange::try_another_coordinator(std::uint64_t attempt, pending_query pending) {
    pending.cold_coordinators.push_back(pending.coordinator.host);
    std::vector<std::string> excluded = pending.cold_coordinators;
    monitor_.add_unresponsive(excluded);
    const auto next =
        coordinators_.alternative_coordinator(monotonic_now(), excluded, random_.unit());
    if (!next || pending.cold_coordinators.size() >= max_cold_coordinators) {
        pending.last_query = true;
        choose_locally(attempt, std::move(pending));
        return;
    }
    counters_.counter("placements_at_another_keeper_total") += 1;
    pending.coordinator = *next;
    pending.request.round_trip = monitor_.round_trip(*next);
    if (next->host == coordinators_.own_host()) {
        choose_as_coordinator(attempt, std::move(pending));
    } else {
        query(attempt, std::move(pending));
    }
}

bool placement_exchange::on_message(const message_origin& origin, const wire::Envelope& message) {
    if (message.has_placement_ask()) {
        on_query(origin, message);
        return true;
    }
    if (message.has_placement_answer()) {
        on_reply(origin, message);
        return true;
    }
    if (message.has_run_news()) {
        local_coordinator_.apply_updates(monotonic_now(), message.run_news());
        return true;
    }
    return false;
}

void placement_exchange::on_query(const message_origin& origin, const wire::Envelope& message) {
    const wire::PlacementAsk& query = message.placement_ask();
    const engine_profile* engine = engine_of_(query.service());
    const auto answer = [this, origin, attempt = query.run()](const target_choice& choice) {
        wire::Envelope reply;
        *reply.mutable_placement_answer() = to_wire(attempt, choice);
        bus_.answer(origin, reply);
        if (choice.admission == admission_outcome::hold) {
            start_hold_timer();
        }
    };
    if (engine == nullptr || !may_hold(*engine, query.prompt())) {
        answer({});
        return;
    }
    local_coordinator_.place_or_hold(monotonic_now(),
                                     {query.run(),
                                      query.service(),
                                      from_wire(query, *engine),
                                      {query.tried().begin(), query.tried().end()},
                                      milliseconds(query.left_ms())},
                                     answer);
}

bool placement_exchange::is_usable_reply(const wire::PlacementAnswer& reply,
                                         const pending_query& pending) const {
    return targets_.is_usable(monotonic_now(), reply.target(), pending.service,
                              pending.request.constraints) &&
           std::find(pending.tried.begin(), pending.tried.end(), reply.target()) ==
               pending.tried.end();
}

void placement_exchange::on_reply(const message_origin& origin, const wire::Envelope& message) {
    const wire::PlacementAnswer& reply = message.placement_answer();
    const auto found = queries_.find(reply.run());
    const bool has_target = !reply.target().empty();
    if (found == queries_.end()) {
        monitor_.on_late_reply(reply.run());
        // The reply is too late: the coordinator must not count an attempt that went elsewhere.
        if (has_target) {
            wire::RunNews update;
            update.set_run(reply.run());
            update.set_end(wire::RUN_LEFT);
            updates_.enqueue(origin.endpoint, update);
        }
        return;
    }
    const instant now = monotonic_now();
    const auto [admission, admission_wait] = admission_of(reply);
    const bool takes_part = found->second.request.priority.has_value();
    if (takes_part && admission == admission_outcome::hold && !found->second.held_until) {
        on_held(reply.run(), admission_wait);
        return;
    }
    pending_query pending = std::move(found->second);
    queries_.erase(found);
    if (!pending.held_until) {
        monitor_.on_reply(pending.coordinator, pending.sent_at);
    }
    pending.held_until.reset();
    placed_attempt placed{reply.run(),
                          reply.target(),
                          pending.coordinator.host,
                          pending.coordinator.endpoint,
                          0,
                          now - pending.sent_at,
                          {}};
    if (pending.caller_handle.expired()) {
        end_attempt(placed, attempt_outcome::abandoned);
        if (pending.offer) {
            release_offer(*pending.offer);
        }
        return;
    }
    if (pending.offer) {
        choose_between_regions(reply, placed, std::move(pending));
        return;
    }
    if (takes_part && !has_target && admission == admission_outcome::refuse) {
        on_refused(reply.run(), std::move(pending), from_wire(reply, targets_));
        return;
    }
    if (!has_target && reply.all_cold()) {
        try_another_coordinator(reply.run(), std::move(pending));
        return;
    }
    if (!is_usable_reply(reply, pending)) {
        counters_.counter("placement_answers_unusable_total") += 1;
        if (has_target) {
            end_attempt(placed, attempt_outcome::abandoned);
        }
        choose_locally(reply.run(), std::move(pending));
        return;
    }
    counters_.histogram("placement_ask_ms").observe(placed.selection_time);
    target_choice choice = from_wire(reply, targets_);
    drop_disallowed_copy(pending.request, choice);
    const local_offer offer =
        make_offer(reply.run(), choice, pending.coordinator, placed.selection_time);
    const bool is_local = monitor_.round_trip(pending.coordinator) == microseconds(0);
    if (is_local && query_remote_region(offer, pending)) {
        return;
    }
    targets_.improve_copy_source(now, pending.request, choice);
    placed.local_attempt =
        targets_.begin_attempt(now, placed.target, pending.request, choice.uncached_tokens, false);
    pending.on_chosen(choice, placed);
}

/// The coordinator's settings or target list may be older than this gateway's.
void placement_exchange::drop_disallowed_copy(const engine_request& request,
                                              target_choice& choice) {
    if (choice.copy_from == nullptr ||
        targets_.may_copy(choice.copy_from->id, choice.target->id, request.constraints.regions)) {
        return;
    }
    counters_.counter("placement_copies_forbidden_total") += 1;
    choice.copy_from = nullptr;
    choice.uncached_tokens = request.prompt.prompt_tokens;
}

/// Compares the reply of another region's coordinator with the offer that is held in this region.
/// Uses the cheaper one and releases the other.
void placement_exchange::choose_between_regions(const wire::PlacementAnswer& reply,
                                                placed_attempt placed, pending_query pending) {
    const bool remote_is_cheaper = is_usable_reply(reply, pending) &&
                                   reply.sum() < max_remote_cost_ratio * pending.offer->cost.total;
    if (!remote_is_cheaper) {
        remote_query_allowed_at_ = monotonic_now() + remote_query_backoff;
        if (!reply.target().empty()) {
            end_attempt(placed, attempt_outcome::abandoned);
        }
        use_offer(std::move(pending));
        return;
    }
    counters_.counter("placements_afar_total") += 1;
    release_offer(*pending.offer);
    target_choice choice = from_wire(reply, targets_);
    drop_disallowed_copy(pending.request, choice);
    placed.local_attempt = targets_.begin_attempt(monotonic_now(), placed.target, pending.request,
                                                  choice.uncached_tokens, false);
    pending.on_chosen(choice, placed);
}

void placement_exchange::record_first_event(const placed_attempt& attempt) {
    const instant now = monotonic_now();
    if (attempt.local_attempt != 0) {
        targets_.record_first_event(now, attempt.target, attempt.local_attempt);
    }
    if (attempt.coordinator_endpoint.empty()) {
        local_coordinator_.record_first_event(now, attempt.id);
        return;
    }
    wire::RunNews update;
    update.set_run(attempt.id);
    update.set_first_event(true);
    add_slowdown(now, attempt.target, update);
    updates_.enqueue(attempt.coordinator_endpoint, update);
}

/// An older slowdown is omitted, because the coordinator takes it for the present one.
void placement_exchange::add_slowdown(instant now, const std::string& target,
                                      wire::RunNews& update) const {
    constexpr double whole_percent = 100.0;
    if (const std::optional<double> slowdown = targets_.recent_slowdown(now, target)) {
        update.set_slowdown_percent(
            static_cast<std::uint32_t>(std::lround(whole_percent * *slowdown)));
    }
}

void placement_exchange::record_event_span(placed_attempt& attempt, microseconds span) {
    const instant now = monotonic_now();
    if (attempt.local_attempt != 0) {
        targets_.record_event_span(now, attempt.target, span);
    }
    if (attempt.coordinator_endpoint.empty()) {
        local_coordinator_.record_event_span(now, attempt.id, span);
        return;
    }
    attempt.event_spans.push_back(span);
}

void placement_exchange::end_attempt(const placed_attempt& attempt, attempt_outcome outcome) {
    const instant now = monotonic_now();
    targets_.end_attempt(now, attempt.target, attempt.local_attempt);
    if (attempt.coordinator_endpoint.empty()) {
        local_coordinator_.end_local_attempt(now, attempt.id);
        return;
    }
    wire::RunNews update;
    update.set_run(attempt.id);
    update.set_end(to_wire(outcome));
    add_slowdown(now, attempt.target, update);
    for (const microseconds span : attempt.event_spans) {
        update.add_spans_us(static_cast<std::uint32_t>(span.count()));
    }
    updates_.enqueue(attempt.coordinator_endpoint, update);
}

}  // namespace wrenswitch
