#include "roles/gateway/placement_coordinator.hpp"

#include <placement.pb.h>

#include <algorithm>

#include "roles/gateway/placement_codec.hpp"

namespace wrenswitch {
namespace {

/// How long an attempt stays counted beyond its caller's deadline; longer than the update on its
/// end takes to arrive.
constexpr microseconds lease_slack = seconds(1);

/// Upper bound of a lease, whatever time the querying gateway states.
constexpr microseconds max_lease = seconds(600);

/// Bounds of a slowdown that another gateway tells, as for those that targets report.
constexpr std::uint32_t min_slowdown_percent = 10;
constexpr std::uint32_t max_slowdown_percent = 10'000;
constexpr double whole_percent = 100.0;

}  // namespace

placement_coordinator::placement_coordinator(target_pool& targets,
                                             engine_coordinators& coordinators, metrics& counters)
    : targets_(targets), coordinators_(coordinators), counters_(counters) {}

target_choice placement_coordinator::place(instant now, std::uint64_t attempt,
                                           const std::string& service,
                                           const engine_request& request,
                                           std::span<const std::string> tried,
                                           microseconds remaining) {
    track_assignments(now);
    const target_choice choice = targets_.pick_engine(
        now, service, request, tried,
        [this, now](std::string_view engine) { return may_offer(now, engine); },
        permit_share::coordinator);
    if (choice.target == nullptr) {
        counters_.counter("placements_without_engine_total") += 1;
        return choice;
    }
    const std::string& target = choice.target->id;
    const bool sent_now = choice.wait == microseconds(0);
    const std::uint64_t pool_attempt =
        targets_.begin_attempt(now, target, request, choice.uncached_tokens, sent_now);
    attempts_.insert_or_assign(
        attempt,
        counted_attempt{target, pool_attempt, now + std::min(remaining, max_lease) + lease_slack});
    counters_.counter("placements_total") += 1;
    return choice;
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
}

void placement_coordinator::drop_expired(instant now) {
    for (auto it = attempts_.begin(); it != attempts_.end();) {
        const auto attempt = it++;
        if (attempt->second.lease_until <= now) {
            counters_.counter("placements_lapsed_total") += 1;
            targets_.end_attempt(now, attempt->second.target, attempt->second.pool_attempt);
            attempts_.erase(attempt);
        }
    }
}

}  // namespace wrenswitch
