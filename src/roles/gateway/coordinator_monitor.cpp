#include "roles/gateway/coordinator_monitor.hpp"

#include <algorithm>
#include <utility>

#include "roles/gateway/loop_lag_monitor.hpp"

namespace wrenswitch {
namespace {

/// A coordinator that sends nothing for this long after a query is reported as lost. This is a few
/// times the retransmission time of a lost packet.
constexpr microseconds loss_timeout = milliseconds(300);

}  // namespace

coordinator_monitor::coordinator_monitor(event_loop& loop, metrics& counters, hooks needs)
    : loop_(loop), counters_(counters), hooks_(std::move(needs)) {}

coordinator_monitor::~coordinator_monitor() {
    *alive_ = false;
}

void coordinator_monitor::on_reply(const cluster_member& coordinator, instant sent_at) {
    const instant now = monotonic_now();
    last_reply_[coordinator.host] = now;
    latest_answered_query_ = std::max(latest_answered_query_, sent_at);
    suspicions_.clear(coordinator.host);
    hooks_.coordinator_responded(coordinator.host);
    hooks_.round_trip_measured(coordinator, now - sent_at);
}

void coordinator_monitor::on_late_reply(std::uint64_t attempt) {
    const auto late = late_queries_.extract(attempt);
    if (late.empty()) {
        return;
    }
    const cluster_member& coordinator = late.mapped().coordinator;
    const bool is_remote = hooks_.round_trip(coordinator) > microseconds(0);
    if (is_remote) {
        on_reply(coordinator, late.mapped().sent_at);
        return;
    }
    last_reply_[coordinator.host] = monotonic_now();
    suspicions_.record_late_answer(coordinator.host);
    hooks_.coordinator_responded(coordinator.host);
}

void coordinator_monitor::on_timeout(std::uint64_t attempt, const cluster_member& coordinator,
                                     instant sent_at) {
    start_loss_timer(coordinator, sent_at);
    track_late_query(attempt, coordinator, sent_at);
}

void coordinator_monitor::start_loss_timer(const cluster_member& coordinator, instant sent_at) {
    const std::string& host = coordinator.host;
    const auto last_reply = last_reply_.find(host);
    const bool answered_since = last_reply != last_reply_.end() && last_reply->second >= sent_at;
    if (answered_since) {
        return;
    }
    const auto suspicion = suspicions_.begin(host);
    if (!suspicion) {
        return;
    }
    const microseconds timeout = loss_timeout + hooks_.round_trip(coordinator);
    const instant due = monotonic_now() + timeout;
    loop_.call_after(timeout, [this, host, id = *suspicion, sent_at, due, alive = alive_] {
        if (!*alive) {
            return;
        }
        // The reply may be waiting unread because this process itself is behind.
        const bool delayed_here = monotonic_now() - due > late_timer_threshold;
        if (suspicions_.end(host, id) && !delayed_here) {
            counters_.counter("placement_keepers_silent_total") += 1;
            hooks_.coordinator_unresponsive(host, latest_answered_query_ > sent_at);
        }
    });
}

/// A late reply still shows that a coordinator lives, and measures the round trip to another
/// region. Without this, a coordinator behind a saturated link would be taken for lost, and a round
/// trip that grew beyond the timeout would never be measured.
void coordinator_monitor::track_late_query(std::uint64_t attempt, const cluster_member& coordinator,
                                           instant sent_at) {
    late_queries_.insert_or_assign(attempt, late_query{coordinator, sent_at});
    loop_.call_after(loss_timeout, [this, attempt, alive = alive_] {
        if (*alive) {
            late_queries_.erase(attempt);
        }
    });
}

}  // namespace wrenswitch
