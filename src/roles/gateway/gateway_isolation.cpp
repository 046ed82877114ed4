// The part of gateway that decides whether other processes and other regions can be reached.

#include <algorithm>
#include <utility>

#include "roles/gateway/gateway.hpp"
#include "wrenswitch/core/log.hpp"

namespace wrenswitch {

/// A coordinator may also be an allocator, and one that is unresponsive in one role is so in the
/// other. A gateway that lags took 37 to 86 coordinators for lost within ten seconds because it had
/// not read their replies.
void gateway::on_coordinator_unresponsive(const std::string& host, bool others_answered) {
    if (others_answered && !admission_.link().is_full() &&
        allocators_.record_failure(monotonic_now(), host)) {
        log_event(log_level::warning, "engine_keeper_lost", {{"keeper", host}});
    }
    on_peer_unresponsive(host);
}

void gateway::on_coordinator_responded(const std::string& host) {
    if (allocators_.record_answer(host)) {
        log_event(log_level::information, "engine_keeper_regained", {{"keeper", host}});
    }
}

void gateway::on_peer_unresponsive(const std::string& peer) {
    isolation_.record_unresponsive(peer);
    update_isolation();
}

bool gateway::is_isolated() {
    // A reply that saturates the link delays all others, so a partial reply also shows that the
    // service can be reached.
    isolation_.record_contact(std::max({ledger_->last_answer(), target_follower_->last_answer(),
                                        configuration_follower_->last_answer(),
                                        arrivals_.last_piece().value_or(instant{})}));
    return isolation_.is_isolated(monotonic_now());
}

/// Handles a change of isolation. An isolated gateway refuses the requests that wait for other
/// processes, so that the callers can use another gateway, and its readiness removes it from the
/// platform's load balancer.
void gateway::update_isolation() {
    const std::size_t unresponsive = isolation_.unresponsive_peers();
    const bool isolated_now = is_isolated();
    if (isolated_now) {
        tokens_->refuse_waiting();
    }
    if (isolated_now == std::exchange(was_isolated_, isolated_now)) {
        return;
    }
    const microseconds silence = monotonic_now() - isolation_.last_contact();
    log_event(
        log_level::warning, isolated_now ? "isolated" : "reaches_others",
        {{"silent_peers", std::to_string(unresponsive)}, {"last_heard_ms", millis_text(silence)}});
}

void gateway::update_region_outages() {
    for (const region_status_change& change :
         region_outages_.update(monotonic_now(), allocators_.call_counts())) {
        if (change.unreachable) {
            metrics_.counter("gateway_regions_cut_off_total") += 1;
        }
        log_event(log_level::warning, change.unreachable ? "region_cut_off" : "region_back",
                  {{"region", change.region},
                   {"silent", std::to_string(change.unresponsive)},
                   {"members", std::to_string(change.members)},
                   {"since_ms", millis_text(change.duration)}});
    }
    metrics_.gauge("gateway_regions_cut_off") =
        static_cast<double>(region_outages_.unreachable_count());
}

}  // namespace wrenswitch
