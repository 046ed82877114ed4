#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "drivers/bus_codec.hpp"
#include "roles/entry/caller_reply.hpp"
#include "roles/entry/caller_request.hpp"
#include "roles/entry/fleet_view.hpp"
#include "roles/entry/home_desk.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/core/timeline.hpp"
#include "wrenswitch/decision/routing/retry_budget.hpp"
#include "wrenswitch/decision/routing/target_picker.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// What a flow uses of its process. All must outlive it.
struct request_flow_parts {
    event_loop& loop;
    message_bus& bus;
    fleet_view& fleet;
    home_desk& homes;
    target_picker& picker;
    retry_budget& retries;
    random_source& random;
    metrics& counters;
    timeline& events;
    const entry_settings& settings;
    /// The entry's present incarnation.
    const incarnation_id& own;
};

/// How far a request has come at its entry.
enum class flow_phase {
    reserving,
    /// Waits before another try.
    backing_off,
    /// A dispatch is out and nothing was heard of it.
    dispatched,
    /// The guard has it, waiting or running.
    accepted,
    /// The guard was asked to void the ticket.
    voiding,
    /// The answer of an earlier run is being fetched.
    joining,
    ended,
};

/// One caller's request on its way: a reservation at a home, tries at guards, and the answer back.
/// It says "not run" only when no guard started the request and none can.
class request_flow : public std::enable_shared_from_this<request_flow> {
public:
    /// Told once when the flow has ended and can be forgotten.
    using end_hook = std::function<void(std::uint64_t)>;

    request_flow(request_flow_parts parts, caller_request request, http_exchange_pointer exchange,
                 end_hook on_end);

    /// Begins.
    void start();

    void on_reserve_reply(const wire::ReserveReply& reply);
    void on_accepted(incarnation_id guard, const wire::Accepted& accepted);
    void on_refused(incarnation_id guard, const wire::Refused& refused);
    void on_chunk(const wire::AnswerChunk& chunk);
    void on_end(incarnation_id guard, const wire::AnswerEnd& end);
    void on_void_reply(const wire::VoidReply& reply);

    /// A guard was silent for too long.
    void on_guard_lost(incarnation_id guard);

    /// The guard that has the request, or zero.
    incarnation_id guard() const { return guard_; }

    flow_phase phase() const { return phase_; }

private:
    reservation_request ask() const;
    void reserve();
    void reserve_at(incarnation_id home);
    void go_to_key_holder(const reservation_reply& answer);
    void on_reservation(const reservation_reply& answer);
    void refuse_reservation(const reservation_reply& answer);
    void dispatch();
    void join(const std::string& endpoint, incarnation_id guard);
    void ask_to_void();
    void retry_elsewhere(microseconds least_wait);
    void replace_ticket();
    void ask_next_home();
    void tell_started();
    void finish_whole();
    void fail(unsigned status, std::string code, std::string message, request_fate fate,
              microseconds retry_after);
    void fail_unknown(std::string code, std::string message);
    void end();
    void on_caller_gone();
    void on_deadline();
    void after(microseconds delay, void (request_flow::*action)());
    void release_ticket();
    bool may_run_again() const;
    microseconds time_left() const;

    request_flow_parts parts_;
    caller_request request_;
    http_exchange_pointer exchange_;
    end_hook on_end_;
    std::string name_;
    flow_phase phase_ = flow_phase::reserving;
    instant arrived_;
    instant deadline_;
    caller_reply reply_;

    std::vector<incarnation_id> tried_homes_;
    incarnation_id home_{};
    ticket ticket_;
    ticket_id replaces_{};
    std::vector<incarnation_id> tried_guards_;
    unsigned tries_ = 0;
    unsigned key_redirects_ = 0;
    attempt_id attempt_{};
    incarnation_id guard_{};
    std::string guard_endpoint_;
    bool started_ = false;
    bool counted_at_guard_ = false;

    /// Counts the phases, so that a timer of an earlier one does nothing.
    std::uint64_t step_ = 0;
    std::uint32_t next_chunk_ = 0;
    bool caller_gone_ = false;
};

}  // namespace wrenswitch
