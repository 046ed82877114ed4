#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "roles/gateway/caller_response.hpp"
#include "roles/gateway/event_splitter.hpp"
#include "roles/gateway/gateway_context.hpp"
#include "roles/gateway/incoming_request.hpp"
#include "roles/gateway/request_charge.hpp"
#include "roles/gateway/request_rollout.hpp"
#include "roles/gateway/request_suspicion.hpp"
#include "roles/gateway/request_trace.hpp"
#include "roles/gateway/stream_timing.hpp"
#include "wrenswitch/decision/gateway/admission.hpp"
#include "wrenswitch/decision/gateway/attempt_history.hpp"
#include "wrenswitch/drivers/ingress_server.hpp"
#include "wrenswitch/drivers/upstream_pool.hpp"

namespace wrenswitch {

/// A request that waits for its send permit at a target that is warming up or advertises a limit.
struct pending_send {
    /// The chosen targets. The pointers may dangle once the permit is due, so the targets are
    /// looked up again by their identifiers `target` and `copy_from`.
    target_choice choice;
    std::string target;
    std::string copy_from;
    placed_attempt attempt;
    send_permit permit;
};

/// One request of a caller, from its arrival to the end of its response: admits it, reserves and
/// spends its tokens, sends it to a target, retries it at others and forwards the response. It ends
/// with the target's own response or with an error that tells whether the request may have run.
class forwarded_request : public std::enable_shared_from_this<forwarded_request> {
public:
    forwarded_request(gateway_context& context, ingress_exchange_pointer exchange);

    /// Starts processing. The request keeps itself alive in the context until it has ended.
    void start();

    /// Handles a new rollout order for the service while the request may have an active attempt.
    void on_rollout_order(const std::string& service);

    /// Ends the request because the process is about to exit. The caller is told whether the
    /// request may have run.
    void end_for_shutdown();

    /// Handles the quarantine of a content or a prompt part. If it is this request's, the request
    /// ends before it crashes a target, whatever it waits for.
    void abort_if_quarantined(const digest& fingerprint);

private:
    bool parse_request();
    bool admit_request();
    void set_rollout_request();
    void record_account();
    bool check_quarantine();
    bool check_allowed_regions();
    tokens tokens_per_event() const;
    bool check_shutdown();
    bool check_isolation();
    bool check_overload();
    void set_deadline();
    void start_deadline_timer();
    bool check_engine_memory();
    void reserve_tokens();
    void on_reservation_outcome(reserve_outcome outcome);
    void apply_reservation_outcome(reserve_outcome outcome);

    void dispatch();
    std::optional<version_constraint> choose_versions();
    version_set unrecorded_versions() const;
    bool may_wait_for_record() const;
    std::optional<version_constraint> without_unrecorded(
        std::optional<version_constraint> versions) const;
    candidate_constraints current_constraints() const;
    bool has_target_of_stream_version();
    void wait_for_versions();
    void set_admission_class();
    void refuse_for_others(const target_choice& choice, const placed_attempt& attempt);
    void choose_target(const version_constraint& versions);
    void on_target_chosen(const target_choice& choice, const placed_attempt& attempt);
    void wait_for_permit(const target_choice& choice, const placed_attempt& attempt,
                         const send_permit& permit);
    void on_permit_due();
    void cancel_pending_send();
    void cancel_placement(const placed_attempt& attempt);
    void send_to(const target_choice& choice, const placed_attempt& attempt,
                 const send_permit& permit);
    permit_request make_permit_request() const;
    std::vector<std::string> excluded_targets();
    microseconds base_permit_wait() const;
    microseconds max_permit_wait() const;
    bool enable_permit_wait();
    microseconds next_target_retry_after();
    void on_no_target(bool all_cold);
    void count_by_region(std::string_view counter) const;
    void record_first_response();
    void refuse_without_target(bool all_cold);
    upstream_hooks hooks_for(unsigned attempt);

    void start_silence_timer();
    instant silence_deadline(instant now) const;
    void check_silence(instant due);
    void on_target_unresponsive();
    void record_engine_contact();
    void on_head(const message_head& head);
    void on_piece(std::string_view piece);
    void on_end();
    bool is_stream_broken_off() const;
    bool exceeds_bound(std::size_t events) const;
    void record_suspicion_of_response();
    void on_failed(upstream_failure failure);
    void end_attempt(attempt_outcome end, rollout_gate::outcome rollout_outcome);
    rollout_gate::outcome outcome_at_deadline() const;
    void on_attempt_unsent();

    void forward_stream(std::string_view piece);
    bool resumes_stream() const;
    std::uint64_t stream_account() const;
    void find_stream_origin();
    void on_stream_origin(const stream_exchange::resolution& found);
    bool adopt_stream_origin(const stream_origin& origin);
    void trace_stream_origin(const stream_exchange::resolution& found);
    void record_stream_begin();
    void trace_continuation();
    void record_events(std::size_t count);
    void end_stream();
    void handle_refusal();
    void handle_response();
    void refuse_suspect();
    void fail_quarantined();
    bool refuse_futile_resend();
    bool try_acquire_retry();
    bool retry();
    void on_attempt_interrupted();

    void on_deadline();
    bool abandon_attempt(rollout_gate::outcome outcome_if_sent);
    void on_caller_disconnected();
    void finish_cancellation();
    microseconds time_left() const;

    void refuse(unsigned status, std::string_view reason, microseconds retry_after);
    void refuse_interrupted(std::string_view reason, microseconds retry_after);
    void fail(unsigned status, std::string_view reason);
    void charge_unobserved_output();
    void abort_response(std::string_view reason);
    void forward_response();
    std::optional<link_peak> peak_while_waiting() const;
    bool is_due_to_another_account(const std::optional<link_peak>& peak) const;
    void record_end(std::string_view outcome, unsigned status);
    void trace_end(instant now, std::string_view outcome, unsigned status, bool served,
                   const std::optional<link_peak>& peak);
    void finish(std::string_view outcome, unsigned status);

    gateway_context& context_;
    ingress_exchange_pointer exchange_;
    caller_response caller_response_;
    incoming_request request_;
    request_trace trace_;
    instant reservation_start_{};
    admitted_request admitted_;
    instant deadline_{};
    request_charge charge_;
    std::shared_ptr<token_wait_queue::handle> token_wait_;
    /// Set while the origin of a resumed stream is asked for.
    std::shared_ptr<stream_exchange::handle> origin_question_;

    /// The target of the current attempt, or empty.
    std::string target_;
    /// The software version of that target.
    std::string target_version_;
    target_incarnation incarnation_;
    attempt_history history_;
    request_rollout rollout_;
    request_suspicion suspicion_;
    std::unique_ptr<upstream_call> upstream_call_;
    /// Set if the request is sent to a model engine.
    std::optional<engine_request> engine_request_;
    /// Set while an engine is being chosen.
    std::shared_ptr<placement_exchange::handle> placement_;
    /// The number of times that an engine was asked for.
    unsigned placement_count_ = 0;
    /// The longest acceptable wait for a send permit at a target with an advertised limit. Zero as
    /// long as other targets need no wait.
    microseconds allowed_permit_wait_{};
    /// Set while the request waits for a send permit at a target that is warming up or advertises a
    /// limit.
    std::optional<pending_send> pending_send_;
    /// The current attempt at an engine.
    placed_attempt engine_attempt_;
    instant sent_at_{};
    stream_timing stream_timing_;

    message_head response_head_;
    held_response response_body_;
    bool target_refused_ = false;
    /// True once the response is forwarded as a stream.
    bool streaming_ = false;
    event_splitter splitter_;
    /// The software version at which the stream began, once the caller has received an event of it
    /// with this response or an earlier one that it resumes.
    /// It may continue only there: what two versions generate doesn't fit together.
    std::optional<std::string> stream_version_;
    /// True once the caller has disconnected. The response is then read only to charge the tokens
    /// that were produced.
    bool cancelled_ = false;
    /// The highest use of the link before the first response, if that was late.
    std::optional<link_peak> late_peak_;
    bool ended_ = false;
};

}  // namespace wrenswitch
