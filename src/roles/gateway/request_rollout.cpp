#include "roles/gateway/request_rollout.hpp"

#include <utility>

namespace wrenswitch {

void request_rollout::belongs_to(const std::string& service, const gateway_route& route,
                                 std::uint64_t session) {
    service_ = service;
    request_.route = route.name;
    request_.session = session;
    request_.streaming = is_stream(route.kind);
    may_repeat_ = may_repeat(route.kind);
    most_attempts_ = route.max_attempts;
}

std::optional<version_constraint> request_rollout::choose_versions(instant now, unsigned attempt,
                                                                   bool suspected) {
    const rollout_gate* gate = rollouts_.gate_of(service_);
    limit_ = {};
    if (gate == nullptr) {
        return limit_;
    }
    request_.already_sent = attempt > 1 || suspected;
    // Another attempt has to be left for it.
    request_.retryable = may_repeat_ && attempt < most_attempts_;
    request_.no_candidates = false;
    std::optional<version_constraint> limit = gate->constraint_for(now, request_);
    limit_ = limit.value_or(version_constraint{});
    return limit;
}

std::optional<version_constraint> request_rollout::look_further(bool all_cold) {
    const rollout_gate* gate = rollouts_.gate_of(service_);
    const bool may_wait = all_cold && limit_.rule != version_rule::only;
    if (gate == nullptr || may_wait || std::exchange(request_.no_candidates, true)) {
        return std::nullopt;
    }
    std::optional<version_constraint> limit = gate->fallback_constraint(limit_);
    limit_ = limit.value_or(version_constraint{});
    return limit;
}

bool request_rollout::begin(instant now, const gateway_target& target) {
    order_.reset();
    began_ = now;
    first_.reset();
    joined_ = false;
    rollout_gate* gate = rollouts_.gate_of(service_);
    if (gate == nullptr) {
        return true;
    }
    if (!gate->begin_attempt(now, request_, target.version, target.id)) {
        return false;
    }
    order_ = gate->order().number;
    version_ = target.version;
    target_ = target.id;
    return true;
}

void request_rollout::join(const gateway_target* target) {
    rollout_gate* gate = rollouts_.gate_of(service_);
    const bool at_old = target != nullptr && gate != nullptr &&
                        target->version != gate->order().version && !request_.retryable;
    if (!at_old || order_ == gate->order().number) {
        return;
    }
    gate->add_pinned_request();
    order_ = gate->order().number;
    joined_ = true;
}

rollout_gate* request_rollout::gate_under_way() {
    rollout_gate* gate = order_ ? rollouts_.gate_of(service_) : nullptr;
    return gate != nullptr && gate->order().number == order_ ? gate : nullptr;
}

void request_rollout::note_reached() {
    rollout_gate* gate = gate_under_way();
    if (gate != nullptr && !joined_ && reached_in_ != order_) {
        reached_in_ = order_;
        gate->note_reached();
    }
}

void request_rollout::note_first(instant now) {
    first_ = first_.value_or(now - began_);
}

void request_rollout::end(rollout_gate::outcome how, std::optional<microseconds> pace) {
    rollout_gate* gate = gate_under_way();
    order_.reset();
    if (gate == nullptr) {
        return;
    }
    if (joined_) {
        gate->remove_pinned_request();
        return;
    }
    gate->end_attempt(request_, version_, target_, how, first_, pace);
}

}  // namespace wrenswitch
