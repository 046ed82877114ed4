// The part of gateway that stops the process.

#include "roles/gateway/caller_response.hpp"
#include "roles/gateway/gateway.hpp"
#include "roles/gateway/retry_after.hpp"
#include "roles/shared/http_status.hpp"
#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// How often a stopping gateway checks whether it can exit.
constexpr microseconds shutdown_poll_period = milliseconds(50);

}  // namespace

void gateway::begin_stop() {
    if (stopping_) {
        return;
    }
    stopping_ = true;
    stop_began_ = monotonic_now();
    context_->stopping_since = stop_began_;
    log_event(
        log_level::information, "gateway_stopping",
        {{"host", settings_.host}, {"requests", std::to_string(context_->active_requests.size())}});
    ingress_->begin_drain();
    streams_->hand_over();
    members_->leave();
    check_shutdown();
}

void gateway::check_shutdown() {
    const instant now = monotonic_now();
    const microseconds since = now - stop_began_;
    const drain_plan& plan = settings_.drain;
    if (plan.must_end_requests(since)) {
        end_remaining_requests();
    }
    const bool can_exit =
        plan.can_exit(since, context_->active_requests.size(), now - context_->last_request_at);
    if (can_exit || !plan.accepts_connections(since)) {
        ingress_->stop_listening();
    }
    if (can_exit) {
        grants_->set_draining(true);
        ledger_->append_if_due();
    }
    if (plan.must_exit(since) || (can_exit && is_work_done())) {
        log_stop_end(since);
        loop_.stop();
        return;
    }
    loop_.call_after(shutdown_poll_period, [this, alive = alive_] {
        if (*alive) {
            check_shutdown();
        }
    });
}

/// True if no request runs, no caller's connection has bytes on their way, and no grant is left to
/// return.
bool gateway::is_work_done() const {
    return context_->active_requests.empty() && grants_->all_returned() &&
           ingress_->busy_connections() == 0;
}

/// Answers the callers of all requests that have not ended, read or not, while there is time to
/// deliver the answers.
void gateway::end_remaining_requests() {
    const std::vector<std::shared_ptr<forwarded_request>> requests(
        context_->active_requests.begin(), context_->active_requests.end());
    for (const std::shared_ptr<forwarded_request>& each : requests) {
        each->end_for_shutdown();
    }
    ingress_->refuse_unread({head_action::refuse,
                             status_unavailable,
                             {{"Retry-After", retry_after_text(stopping_retry_after)}},
                             "stopping\n"});
}

void gateway::log_stop_end(microseconds since) const {
    log_event(log_level::information, "gateway_stop_ends",
              {{"after_ms", millis_text(since)},
               {"requests", std::to_string(context_->active_requests.size())},
               {"connections", std::to_string(ingress_->connections())},
               {"busy_connections", std::to_string(ingress_->busy_connections())}});
}

}  // namespace wrenswitch
