#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "drivers/bus_codec.hpp"
#include "roles/entry/allocator_service.hpp"
#include "roles/entry/caller_request.hpp"
#include "roles/entry/cluster_view.hpp"
#include "roles/entry/response_writer.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/timeline.hpp"
#include "wrenswitch/decision/routing/retry_budget.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// Dependencies of a request handler. All must outlive it.
struct request_handler_context {
    event_loop& loop;
    message_bus& bus;
    cluster_view& cluster;
    allocator_service& allocators;
    target_picker& picker;
    retry_budget& retries;
    random_source& random;
    metrics& counters;
    timeline& events;
    const entry_settings& settings;
    /// The current incarnation of the entry; it changes when the entry is fenced.
    const incarnation_id& incarnation;
};

/// State of a request at its entry.
enum class request_handler_phase {
    reserving,
    /// Waiting for the backoff before the next attempt.
    backing_off,
    /// Dispatched to a guard that has not replied yet.
    dispatched,
    /// Accepted by the guard; queued or running there.
    accepted,
    /// Waiting for the guard to void the ticket.
    voiding,
    /// Fetching the response of an earlier attempt from the guard that keeps it.
    joining,
    ended,
};

/// Handles one caller request: reserves tokens at an allocator, dispatches the request to guards
/// with retries, and forwards the response. It reports "not run" only when no guard has started the
/// request and none can start it any more.
class request_handler : public std::enable_shared_from_this<request_handler> {
public:
    /// Called once with the request number when the handler has ended and can be destroyed.
    using end_hook = std::function<void(std::uint64_t)>;

    request_handler(request_handler_context context, caller_request request,
                    http_exchange_pointer exchange, end_hook on_end);

    void start();

    void on_reserve_reply(const wire::ReserveReply& reply);
    void on_accepted(incarnation_id guard, const wire::Accepted& accepted);
    void on_refused(incarnation_id guard, const wire::Refused& refused);
    void on_chunk(const wire::AnswerChunk& chunk);
    void on_end(incarnation_id guard, const wire::AnswerEnd& end);
    void on_void_reply(const wire::VoidReply& reply);

    /// Handles the loss of a guard that has been inactive for too long.
    void on_guard_lost(incarnation_id guard);

    /// Ends the request because the process is about to exit. The caller is told whether the
    /// request may have run.
    void end_for_shutdown();

    /// The guard that the request was last sent to, or zero.
    incarnation_id guard() const { return guard_; }

    request_handler_phase phase() const { return phase_; }

private:
    static constexpr microseconds overload_retry_after = seconds(1);

    reservation_request make_reservation_request() const;
    void reserve();
    void reserve_at(incarnation_id allocator);
    void redirect_to_key_holder(const reservation_reply& reply);
    void on_reservation(const reservation_reply& reply);
    void fail_reservation(const reservation_reply& reply);
    void dispatch();
    void join(const std::string& endpoint, incarnation_id guard);
    void request_void();
    void retry_elsewhere(microseconds min_delay);
    void replace_ticket();
    void try_next_allocator();
    void report_started();
    void finish();
    void fail(unsigned status, std::string code, std::string message, execution_status execution,
              microseconds retry_after);
    void fail_unknown(std::string code, std::string message);
    void end();
    void on_caller_disconnected();
    void on_deadline();
    void schedule(microseconds delay, void (request_handler::*action)());
    void release_ticket();
    bool is_retryable() const;
    microseconds time_left() const;

    request_handler_context context_;
    caller_request request_;
    http_exchange_pointer exchange_;
    end_hook on_end_;
    std::string request_id_;
    request_handler_phase phase_ = request_handler_phase::reserving;
    instant arrived_;
    instant deadline_;
    response_writer response_;

    std::vector<incarnation_id> tried_allocators_;
    incarnation_id allocator_{};
    ticket ticket_;
    ticket_id replaced_ticket_{};
    std::vector<incarnation_id> tried_guards_;
    unsigned dispatch_count_ = 0;
    unsigned key_redirects_ = 0;
    attempt_id attempt_{};
    incarnation_id guard_{};
    std::string guard_endpoint_;
    bool started_ = false;
    /// True while the picker counts the request as outstanding at `guard_`.
    bool active_in_picker_ = false;

    /// Increases with each step, so that timers of earlier steps do nothing.
    std::uint64_t phase_generation_ = 0;
    std::uint32_t next_chunk_ = 0;
    bool caller_disconnected_ = false;
};

}  // namespace wrenswitch
