#include "roles/gateway/request_rollout.hpp"

#include <utility>

namespace wrenswitch {

void request_rollout::set_request(const std::string& service, const gateway_route& route,
                                  std::uint64_t session) {
    service_ = service;
    request_.route = route.name;
    request_.session = session;
    request_.streaming = is_stream(route.kind);
    // A stream of which the caller has events can't go on at another version.
    repeatable_ = may_repeat(route.kind) && !is_stream(route.kind);
    max_attempts_ = route.max_attempts;
}

std::optional<version_constraint> request_rollout::choose_versions(instant now, unsigned attempt,
                                                                   bool suspected) {
    const rollout_gate* gate = rollouts_.gate_of(service_);
    constraint_ = {};
    if (gate == nullptr) {
        return constraint_;
    }
    begin_choice(attempt, suspected);
    std::optional<version_constraint> constraint = gate->constraint_for(now, request_);
    constraint_ = constraint.value_or(version_constraint{});
    return constraint;
}

void request_rollout::begin_choice(unsigned attempt, bool suspected) {
    request_.already_sent = attempt > 1 || suspected;
    // It is retryable only if another attempt is left.
    request_.retryable = repeatable_ && attempt < max_attempts_;
    request_.no_candidates = false;
}

std::optional<version_constraint> request_rollout::choose_continuation(instant now,
                                                                       unsigned attempt,
                                                                       const std::string& version,
                                                                       bool suspected) {
    const rollout_gate* gate = rollouts_.gate_of(service_);
    constraint_ = {version_rule::only, version, 0, 0, {}};
    if (gate == nullptr) {
        return constraint_;
    }
    begin_choice(attempt, suspected);
    std::optional<version_constraint> constraint =
        gate->continuation_constraint(now, request_, version, suspected);
    constraint_ = constraint.value_or(version_constraint{});
    return constraint;
}

std::optional<version_constraint> request_rollout::choose_fallback_versions(bool all_cold) {
    const rollout_gate* gate = rollouts_.gate_of(service_);
    const bool may_wait = all_cold && constraint_.rule != version_rule::only;
    if (gate == nullptr || may_wait || std::exchange(request_.no_candidates, true)) {
        return std::nullopt;
    }
    std::optional<version_constraint> constraint = gate->fallback_constraint(constraint_);
    constraint_ = constraint.value_or(version_constraint{});
    return constraint;
}

bool request_rollout::begin_attempt(instant now, const gateway_target& target) {
    attempt_order_.reset();
    attempt_start_ = now;
    time_to_first_event_.reset();
    adopted_ = false;
    rollout_gate* gate = rollouts_.gate_of(service_);
    if (gate == nullptr) {
        return true;
    }
    if (!gate->begin_attempt(now, request_, target.version, target.id)) {
        return false;
    }
    attempt_order_ = gate->order().number;
    version_ = target.version;
    target_ = target.id;
    return true;
}

void request_rollout::adopt_order(const gateway_target* target) {
    rollout_gate* gate = rollouts_.gate_of(service_);
    const bool pinned_to_old = target != nullptr && gate != nullptr &&
                               target->version != gate->order().version && !request_.retryable;
    if (!pinned_to_old || attempt_order_ == gate->order().number) {
        return;
    }
    gate->add_pinned_request();
    attempt_order_ = gate->order().number;
    adopted_ = true;
}

rollout_gate* request_rollout::active_gate() {
    rollout_gate* gate = attempt_order_ ? rollouts_.gate_of(service_) : nullptr;
    return gate != nullptr && gate->order().number == attempt_order_ ? gate : nullptr;
}

void request_rollout::record_target_reached() {
    rollout_gate* gate = active_gate();
    if (gate != nullptr && !adopted_ && reached_order_ != attempt_order_) {
        reached_order_ = attempt_order_;
        gate->note_reached();
    }
}

void request_rollout::record_first_event(instant now) {
    time_to_first_event_ = time_to_first_event_.value_or(now - attempt_start_);
}

void request_rollout::end_attempt(rollout_gate::outcome outcome,
                                  std::optional<microseconds> event_interval) {
    rollout_gate* gate = active_gate();
    attempt_order_.reset();
    if (gate == nullptr) {
        return;
    }
    if (adopted_) {
        gate->remove_pinned_request();
        return;
    }
    gate->end_attempt(request_, version_, target_, outcome, time_to_first_event_, event_interval);
}

}  // namespace wrenswitch
