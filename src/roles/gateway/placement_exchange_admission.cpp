// The part of placement_exchange that handles coordinators that hold or refuse requests.

#include <algorithm>
#include <utility>

#include "roles/gateway/placement_exchange.hpp"

namespace wrenswitch {
namespace {

/// How many coordinators are queried before a request is held or refused. Each query takes about
/// 2 ms; of three coordinators at random, one below the mean load is found in seven of eight cases.
constexpr std::size_t max_admission_queries = 3;

/// How often held requests are tried again if no event of an engine causes it: a small part of the
/// holds, which are at most a quarter of an objective of some hundreds of milliseconds.
constexpr microseconds hold_poll_period = milliseconds(10);

}  // namespace

/// The coordinator does not admit the request to its engines. Two others are asked; the last one
/// may hold the request, and its refusal is final.
void placement_exchange::on_refused(std::uint64_t attempt, pending_query pending,
                                    const target_choice& choice) {
    if (pending.request.is_last_query) {
        placed_attempt placed;
        placed.coordinator = pending.coordinator.host;
        placed.selection_time = monotonic_now() - pending.sent_at;
        pending.on_chosen(choice, placed);
        return;
    }
    pending.refused_by.push_back(pending.coordinator.host);
    std::vector<std::string> excluded = pending.refused_by;
    monitor_.add_unresponsive(excluded);
    const auto next =
        coordinators_.alternative_coordinator(monotonic_now(), excluded, random_.unit());
    const bool is_near = next && monitor_.round_trip(*next) == microseconds(0);
    pending.request.is_last_query =
        !is_near || pending.refused_by.size() + 1 >= max_admission_queries;
    if (is_near) {
        counters_.counter("placements_at_another_keeper_total") += 1;
        pending.coordinator = *next;
        pending.request.round_trip = microseconds(0);
    }
    if (pending.coordinator.host == coordinators_.own_host()) {
        choose_as_coordinator(attempt, std::move(pending));
    } else {
        query(attempt, std::move(pending));
    }
}

/// Tries the requests that this process holds as a coordinator from time to time: their holds end,
/// and backlogs decrease without any message.
void placement_exchange::start_hold_timer() {
    if (std::exchange(hold_timer_active_, true)) {
        return;
    }
    loop_.call_after(hold_poll_period, [this, alive = alive_] {
        if (*alive) {
            on_hold_timer();
        }
    });
}

void placement_exchange::on_hold_timer() {
    hold_timer_active_ = false;
    local_coordinator_.retry_held(monotonic_now());
    if (local_coordinator_.held_count() > 0) {
        start_hold_timer();
    }
}

/// The coordinator holds a request, so its final reply is awaited for longer.
void placement_exchange::on_held(std::uint64_t attempt, microseconds longest_hold) {
    const auto found = queries_.find(attempt);
    pending_query& pending = found->second;
    const microseconds hold = std::min(longest_hold, pending.remaining);
    monitor_.on_reply(pending.coordinator, pending.sent_at);
    pending.held_until = monotonic_now() + hold;
    const instant sent_at = pending.sent_at;
    loop_.call_after(hold + timeouts_.query, [this, attempt, sent_at, alive = alive_] {
        if (*alive) {
            on_timeout(attempt, sent_at);
        }
    });
}

}  // namespace wrenswitch
