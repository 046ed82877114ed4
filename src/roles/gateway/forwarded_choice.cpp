// How a forwarded request comes to its target: by what may be chosen, by turns, or not at all.

#include <algorithm>
#include <utility>

#include "roles/gateway/forwarded_request.hpp"
#include "roles/gateway/http_status.hpp"
#include "roles/gateway/retry_after.hpp"

namespace wrenswitch {
namespace {

/// How often a request that no version may get right now is looked at again.
constexpr microseconds until_versions = milliseconds(40);

/// How long a request waits for a turn if its route has no aim.
constexpr microseconds usual_turn_wait = milliseconds(300);

}  // namespace

void forwarded_request::dispatch() {
    admitted_.regions =
        current_allowed_regions(context_.configuration, admitted_, request_.host, request_.path);
    if (admitted_.engine && request_.prompt.prompt_tokens > 0 && !engine_request_) {
        engine_request_ = {request_.prompt,
                           *admitted_.engine,
                           admitted_.route.first_response_objective,
                           admitted_.route.max_event_gap,
                           {}};
    }
    const bool suspected = suspicion_.held() != suspicion::none;
    const auto versions =
        rollout_.choose_versions(monotonic_now(), history_.attempt_number() + 1, suspected);
    if (versions) {
        choose_target(*versions);
    } else {
        wait_for_versions();
    }
}

/// Right before a roll-out's deadline the old version may get nothing that it couldn't end, and the
/// new one no more than its bound allows. That is over within some 400 ms.
void forwarded_request::wait_for_versions() {
    context_.counters.counter("gateway_waits_for_versions_total") += 1;
    context_.loop.call_after(until_versions, [self = weak_from_this()] {
        const auto alive = self.lock();
        if (alive && !alive->ended_ && !alive->called_off_) {
            alive->dispatch();
        }
    });
}

/// What the configuration and a roll-out of the service leave of its targets is what may be chosen.
void forwarded_request::choose_target(const version_constraint& versions) {
    const candidate_constraints limits{admitted_.regions, versions};
    if (!engine_request_) {
        target_chosen(context_.targets.pick(monotonic_now(), admitted_.service, left_out(),
                                            admitted_.route.first_response_objective,
                                            may_repeat(admitted_.route.kind), limits),
                      {});
        return;
    }
    engine_request_->constraints = limits;
    const unsigned choice = ++choices_;
    auto placing = context_.placements.place(
        admitted_.service, *engine_request_, left_out(), time_left(),
        [self = weak_from_this()](const target_choice& chosen, const placed_run& run) {
            if (const auto alive = self.lock()) {
                alive->target_chosen(chosen, run);
            }
        });
    if (choice == choices_) {
        // Else the answer came at once, and another choice began.
        placing_ = std::move(placing);
    }
}

/// The targets that this request doesn't go to now: those already tried, and those to which this
/// entry may send nothing in time by what they say of themselves.
std::vector<std::string> forwarded_request::left_out() {
    std::vector<std::string> all = context_.targets.targets_without_permit(
        monotonic_now(), admitted_.service, wish_for_turn());
    all.insert(all.end(), history_.tried_targets().begin(), history_.tried_targets().end());
    return all;
}

/// The more urgent a request is, the further away a turn it may take. That alone isn't enough: who
/// comes more often finds most turns, so that others leave one where more urgent requests come.
microseconds forwarded_request::longest_turn_wait() const {
    return bearable_turn_wait() / (1 + admitted_.priority);
}

microseconds forwarded_request::bearable_turn_wait() const {
    const microseconds aim = admitted_.route.first_response_objective;
    return aim > microseconds(0) ? aim : usual_turn_wait;
}

permit_request forwarded_request::wish_for_turn() const {
    const bool leaves_one =
        context_.urgencies.has_more_urgent(monotonic_now(), admitted_.service, admitted_.priority);
    return {patience_, leaves_one ? bearable_turn_wait() : microseconds(0)};
}

void forwarded_request::target_chosen(const target_choice& choice, const placed_run& run) {
    if (choice.target == nullptr) {
        no_target_left(choice.all_cold);
        return;
    }
    const std::optional<send_permit> taken =
        context_.targets.reserve_permit(monotonic_now(), choice.target->id, patience_);
    if (!taken) {
        // Another request has taken the turn since the engine's keeper was asked.
        context_.counters.counter("gateway_turns_lost_total") += 1;
        give_back(run);
        dispatch();
        return;
    }
    const send_permit turn{std::max(taken->wait, choice.wait), taken->limit_epoch};
    if (turn.wait > microseconds(0)) {
        wait_for_turn(choice, run, turn);
    } else {
        send_to(choice, run, turn);
    }
}

/// A target that is cold or names a limit gets its requests one after the other. The wait is known,
/// and short enough for the answer to be in time; a refusal would cost the caller its first try.
void forwarded_request::wait_for_turn(const target_choice& choice, const placed_run& run,
                                      const send_permit& turn) {
    trace_.add(monotonic_now(), "turn_awaited",
               {{"target", choice.target->id},
                {"wait_ms", millis_text(turn.wait)},
                {"load", context_.targets.describe(monotonic_now(), choice.target->id)}});
    context_.counters.histogram("gateway_turn_wait_ms").observe(turn.wait);
    turn_ = turn_at_target{choice, choice.target->id,
                           choice.copy_from == nullptr ? "" : choice.copy_from->id, run, turn};
    context_.loop.call_after(turn.wait, [self = weak_from_this()] {
        const auto alive = self.lock();
        if (alive && alive->turn_) {
            alive->turn_came();
        }
    });
}

/// The target may have been lost, emptied or forbidden meanwhile; then another is looked for.
void forwarded_request::turn_came() {
    admitted_.regions =
        current_allowed_regions(context_.configuration, admitted_, request_.host, request_.path);
    if (!context_.targets.is_usable(turn_->target, admitted_.service, {admitted_.regions, {}})) {
        drop_turn();
        dispatch();
        return;
    }
    turn_at_target turn = std::move(*turn_);
    turn_.reset();
    turn.choice.target = context_.targets.find(turn.target);
    const bool copies = context_.targets.may_copy(turn.copy_from, turn.target, admitted_.regions);
    turn.choice.copy_from = copies ? context_.targets.find(turn.copy_from) : nullptr;
    send_to(turn.choice, turn.run, turn.turn);
}

/// A run that was counted at an engine never gets there.
void forwarded_request::drop_turn() {
    if (!turn_) {
        return;
    }
    const placed_run run = std::move(turn_->run);
    turn_.reset();
    give_back(run);
}

/// An engine was chosen, and the request doesn't go there.
void forwarded_request::give_back(const placed_run& run) {
    if (run.number != 0) {
        context_.placements.ended(run, run_end::left);
    }
}

/// True if the request now looks again, among targets too whose turns it has to wait for: all
/// others are no choice.
bool forwarded_request::may_wait_for_turn() {
    if (patience_ > microseconds(0)) {
        return false;
    }
    if (!context_.targets.has_permit(monotonic_now(), admitted_.service, longest_turn_wait())) {
        return false;
    }
    patience_ = longest_turn_wait();
    return true;
}

void forwarded_request::no_target_left(bool all_cold) {
    if (may_wait_for_turn()) {
        dispatch();
        return;
    }
    if (const auto versions = rollout_.look_further(all_cold)) {
        choose_target(*versions);
    } else {
        refuse_without_target(all_cold);
    }
}

/// What can't be served in time by what its targets say is refused at once, and told when there is
/// a turn again.
void forwarded_request::refuse_without_target(bool all_cold) {
    const auto soonest = context_.targets.earliest_permit(monotonic_now(), admitted_.service);
    if (history_.may_have_run()) {
        fail(status_bad_gateway, "no_target_left");
    } else if (all_cold) {
        refuse(status_unavailable, "targets_cold", until_turns);
    } else if (soonest) {
        refuse(status_unavailable, soonest->is_backoff ? "targets_resting" : "targets_limited",
               std::clamp(soonest->wait, until_turns, longest_until_turns));
    } else if (admitted_.regions) {
        refuse(status_unavailable, "no_target_in_allowed_regions", until_targets);
    } else {
        refuse(status_unavailable, "no_target", until_targets);
    }
}

/// Another target may serve the caller at once, if there is one; else the first whose rest ends or
/// which has a turn.
microseconds forwarded_request::until_another_target() {
    const instant now = monotonic_now();
    if (context_.targets.has_untried(now, admitted_.service, left_out(), {admitted_.regions, {}})) {
        return until_targets;
    }
    const auto soonest = context_.targets.earliest_permit(now, admitted_.service);
    return soonest ? std::clamp(soonest->wait, until_targets, longest_until_turns) : until_targets;
}

}  // namespace wrenswitch
