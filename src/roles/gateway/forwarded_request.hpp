#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "roles/gateway/caller_answer.hpp"
#include "roles/gateway/event_splitter.hpp"
#include "roles/gateway/gateway_context.hpp"
#include "roles/gateway/incoming_request.hpp"
#include "roles/gateway/request_charge.hpp"
#include "roles/gateway/request_rollout.hpp"
#include "roles/gateway/request_suspicion.hpp"
#include "roles/gateway/request_trace.hpp"
#include "roles/gateway/stream_watch.hpp"
#include "wrenswitch/decision/gateway/admission.hpp"
#include "wrenswitch/decision/gateway/attempt_history.hpp"
#include "wrenswitch/drivers/ingress_server.hpp"
#include "wrenswitch/drivers/upstream_pool.hpp"

namespace wrenswitch {

/// What a request waits for that is to go to a target which is cold or names a limit.
struct turn_at_target {
    /// The choice, whose targets may be gone until then; they are looked up by these again.
    target_choice choice;
    std::string target;
    std::string copy_from;
    placed_run run;
    send_permit turn;
};

/// One request of a caller, from its arrival to the end of its answer: admits it, pays for it,
/// sends it to a target and passes the answer on. It ends with the target's own answer, or with a
/// refusal that says whether the request may have run.
class forwarded_request : public std::enable_shared_from_this<forwarded_request> {
public:
    forwarded_request(gateway_context& context, ingress_exchange_pointer exchange);

    /// Begins. The request keeps itself in the context until it has ended.
    void start();

    /// A roll-out of this service was ordered while the request may be under way.
    void join_rollout(const std::string& service);

    /// A request is sent to no target any more. If it is this one, its run is ended before it takes
    /// its target along.
    void stop_if_quarantined(const digest& request);

private:
    bool read_request();
    bool admit_request();
    bool is_not_quarantined();
    bool may_be_somewhere();
    tokens tokens_per_event() const;
    bool can_end_before_stop();
    bool reaches_others();
    bool has_time();
    void set_deadline();
    void take_tokens();
    void tokens_answered(reserve_outcome outcome);
    void pay(reserve_outcome outcome);

    void dispatch();
    void wait_for_versions();
    void choose_target(const version_constraint& versions);
    void target_chosen(const target_choice& choice, const placed_run& run);
    void wait_for_turn(const target_choice& choice, const placed_run& run, const send_permit& turn);
    void turn_came();
    void drop_turn();
    void give_back(const placed_run& run);
    void send_to(const target_choice& choice, const placed_run& run, const send_permit& turn);
    permit_request wish_for_turn() const;
    std::vector<std::string> left_out();
    microseconds bearable_turn_wait() const;
    microseconds longest_turn_wait() const;
    bool may_wait_for_turn();
    microseconds until_another_target();
    void no_target_left(bool all_cold);
    void count_by_region(std::string_view what) const;
    void note_first_answer() const;
    void refuse_without_target(bool all_cold);
    upstream_hooks hooks_for(unsigned attempt);

    void watch_silence();
    void target_silent();
    void note_life();
    void on_head(const message_head& head);
    void on_piece(std::string_view piece);
    void on_end();
    void on_failed(upstream_failure failure);
    void end_attempt(run_end how, rollout_gate::outcome answer);
    rollout_gate::outcome answer_at_deadline() const;
    void attempt_unsent();

    void pass_stream(std::string_view piece);
    void note_events(std::size_t count);
    void end_stream();
    void answer_refused();
    void answer_complete();
    void refuse_suspect();
    bool take_retry();
    bool try_again();
    void attempt_broken();

    void deadline_passed();
    void caller_gone();
    void call_off_ended();
    microseconds time_left() const;

    void refuse(unsigned status, std::string_view reason, microseconds retry_after);
    void fail(unsigned status, std::string_view reason);
    void assume_unseen();
    void cut(std::string_view reason);
    void pass_answer();
    void note_end(std::string_view outcome, unsigned status);
    void finish(std::string_view outcome, unsigned status);

    gateway_context& context_;
    ingress_exchange_pointer exchange_;
    caller_answer to_caller_;
    incoming_request request_;
    request_trace trace_;
    instant tokens_asked_{};
    admitted_request admitted_;
    instant deadline_{};
    request_charge charge_;
    std::shared_ptr<token_waiters::handle> waiting_;

    /// The target of the attempt under way, or empty.
    std::string target_;
    target_incarnation life_;
    attempt_history history_;
    request_rollout rollout_;
    request_suspicion suspicion_;
    std::unique_ptr<upstream_call> call_;
    /// Set if the request's prompt goes to a model engine.
    std::optional<engine_request> engine_request_;
    /// Kept while an engine is looked for.
    std::shared_ptr<placement_exchange::handle> placing_;
    /// Counts the looks for an engine.
    unsigned choices_ = 0;
    /// How long it waits for a turn at a target that names a limit: not at all while others are
    /// free.
    microseconds patience_{};
    /// Set while the request waits for its turn at a target that is cold or names a limit.
    std::optional<turn_at_target> turn_;
    /// The run at an engine that is under way.
    placed_run run_;
    instant sent_at_{};
    stream_watch stream_;

    message_head answer_;
    std::string answer_body_;
    bool answer_refused_ = false;
    /// True once the answer is passed on as it comes.
    bool streaming_ = false;
    event_splitter events_;
    /// True once the caller has gone and only what was handed out is still learnt.
    bool called_off_ = false;
    bool ended_ = false;
};

}  // namespace wrenswitch
