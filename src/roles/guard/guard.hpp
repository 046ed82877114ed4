#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "drivers/bus_codec.hpp"
#include "roles/guard/charge_reporter.hpp"
#include "roles/guard/guard_reply_sender.hpp"
#include "roles/guard/guard_settings.hpp"
#include "roles/guard/target_call.hpp"
#include "roles/guard/target_load_poller.hpp"
#include "roles/shared/caller_memory.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/timeline.hpp"
#include "wrenswitch/decision/guard/charge_tracker.hpp"
#include "wrenswitch/drivers/control_replica.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_server.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// The proxy in front of a target, which receives no requests by any other path. It checks tickets,
/// queues attempts, limits concurrency, runs them on the target and reports their charges.
class guard {
public:
    guard(event_loop& loop, const guard_settings& settings);

    /// Binds the listeners and starts to read the control stream. Returns an error if an address
    /// cannot be bound.
    result<void> start();

    /// Refuses new and queued attempts. Calls `done` once the running ones have ended and their
    /// charges are acknowledged, or after the drain timeout.
    void drain(std::function<void()> done);

private:
    /// An attempt that is queued or running.
    struct attempt_state {
        /// For the body, wherever it is until the attempt has ended.
        std::unique_ptr<intake_claim> claim;
        wire::Dispatch dispatch;
        ticket attempt_ticket;
        std::vector<response_listener> listeners;
        std::string request_id;
        std::unique_ptr<target_call> call;
        unsigned status = 0;
        std::string content_type;
        std::uint32_t next_chunk = 0;
        bool started = false;
    };

    /// A dispatch that arrived before the control records that it depends on.
    struct deferred_dispatch {
        message_origin origin;
        wire::Dispatch dispatch;
        instant give_up_at{};
        std::unique_ptr<intake_claim> claim;
    };

    void on_message(const message_origin& origin, const wire::Envelope& message);
    void on_dispatch(const message_origin& origin, const wire::Dispatch& dispatch);
    void enqueue(const message_origin& origin, const wire::Dispatch& dispatch,
                 std::unique_ptr<intake_claim> claim);
    std::unique_ptr<intake_claim> claim_memory(const wire::Dispatch& dispatch);
    refusal_reason check_dispatch(const wire::Dispatch& dispatch) const;
    void on_join(const message_origin& origin, const wire::Join& join);
    void on_cancel(const wire::Cancel& cancel);
    void on_void(const message_origin& origin, const wire::VoidRequest& request);
    void on_charge_ack(const wire::ChargeAck& ack);
    void on_ping(const message_origin& origin, const wire::Ping& ping);

    void start_queued_attempts();
    void start_attempt(const queued_request& next);
    void on_head(attempt_id id, unsigned status, std::string_view content_type);
    void on_chunk(attempt_id id, std::string_view chunk);
    void on_end(attempt_id id, const target_call_result& call_result);
    void refuse_queued(const queued_request& item, refusal_reason reason);
    wire::LoadReport load_report() const;

    void on_control_applied(const control_record& record, const control_effect& effect);
    void on_control_caught_up();
    void register_self();
    void tick();
    void retry_deferred();
    void finish_drain_if_idle();
    void end_remaining_attempts();
    void handle_http(const http_exchange_pointer& exchange);

    event_loop& loop_;
    const guard_settings& settings_;
    random_source random_;
    metrics metrics_;
    caller_memory caller_memory_;
    timeline timeline_;
    std::unique_ptr<log_service> log_;
    std::unique_ptr<message_bus> bus_;
    std::unique_ptr<guard_reply_sender> replies_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<control_replica> control_;
    std::unique_ptr<charge_tracker> charge_tracker_;
    std::unique_ptr<charge_reporter> charge_reporter_;
    std::unique_ptr<concurrency_limiter> limiter_;
    admission_queue queue_;
    response_buffer responses_;
    upstream_pool target_;
    http_client load_client_;
    target_load_poller target_load_;
    incarnation_id incarnation_{};
    bool registering_ = false;
    bool active_ = false;
    bool draining_ = false;
    bool close_submitted_ = false;
    instant drain_until_{};
    std::function<void()> on_drained_;
    std::unordered_map<attempt_id, attempt_state> attempts_;
    /// The running attempt whose response is buffered under a request key.
    std::unordered_map<digest, attempt_id> running_attempts_by_key_;
    std::deque<deferred_dispatch> deferred_;
    unsigned target_failures_ = 0;
    instant target_down_until_{};
    std::unique_ptr<timer> tick_;
    std::unique_ptr<timer> drain_timer_;
    std::unique_ptr<timer> charge_timer_;
    std::unique_ptr<timer> load_timer_;
};

}  // namespace wrenswitch
