#include "roles/gateway/entry_rollouts.hpp"

#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

std::string of_service(std::string_view name, const rollout_gate& gate) {
    return labelled(name, {{"service", gate.order().service}});
}

}  // namespace

entry_rollouts::entry_rollouts(double exposed_share, metrics& counters)
    : exposed_share_(exposed_share), counters_(counters) {}

bool entry_rollouts::ordered(instant now, const rollout_order& order, bool in_force) {
    const auto known = gates_.find(order.service);
    if (known != gates_.end() && known->second.order().number >= order.number) {
        return false;
    }
    rollout_gate& gate =
        gates_
            .insert_or_assign(order.service,
                              rollout_gate(now, order, exposed_share_, excluded_by(order)))
            .first->second;
    if (in_force) {
        gate.mark_already_deployed();
    }
    counters_.counter("rollout_orders_total") += 1;
    log_event(log_level::information, "rollout_ordered",
              {{"service", order.service},
               {"order", std::to_string(order.number)},
               {"version", order.version},
               {"duration_ms", millis_text(order.duration)},
               {"in_force", in_force ? "yes" : "no"}});
    if (const rollout_record* record = records_.find(order.service)) {
        apply_record(now, gate, *record);
    }
    return true;
}

/// A process that has just started knows the order before by the log's record alone.
version_set entry_rollouts::excluded_by(const rollout_order& order) const {
    version_set versions;
    const auto before = gates_.find(order.service);
    if (before != gates_.end()) {
        versions = before->second.excluded_after();
    }
    const rollout_record* record = records_.find(order.service);
    if (record != nullptr && record->order < order.number) {
        if (record->state == rollout_state::completed) {
            versions.erase(record->version);
        } else if (before == gates_.end()) {
            versions.insert(record->version);
        }
    }
    versions.erase(order.version);
    return versions;
}

void entry_rollouts::withdrawn(instant now, std::string_view service) {
    const auto known = gates_.find(service);
    if (known == gates_.end()) {
        return;
    }
    counters_.counter("rollout_orders_withdrawn_total") += 1;
    if (known->second.withdraw(now)) {
        tell_phase(now, known->second, "withdrawn");
    }
}

void entry_rollouts::recorded(instant now, const rollout_record& record) {
    records_.apply(record);
    const auto known = gates_.find(record.service);
    if (known != gates_.end()) {
        apply_record(now, known->second, record);
    }
}

/// Only a final state is taken from the log: before it the decider's word counts, which is newer.
void entry_rollouts::apply_record(instant now, rollout_gate& gate,
                                  const rollout_record& record) const {
    if (record.state == rollout_state::running) {
        return;
    }
    rollout_directive ended;
    ended.service = record.service;
    ended.order = record.order;
    ended.version = record.version;
    ended.phase = record.state == rollout_state::completed ? rollout_phase::completed
                                                           : rollout_phase::rolled_back;
    if (gate.apply(now, ended)) {
        tell_phase(now, gate, "log: " + record.reason);
    }
}

void entry_rollouts::told(instant now, const rollout_directive& stand) {
    const auto known = gates_.find(stand.service);
    if (known != gates_.end() && known->second.apply(now, stand)) {
        tell_phase(now, known->second, "decider");
    }
}

rollout_gate* entry_rollouts::gate_of(std::string_view service) {
    const auto known = gates_.find(service);
    return known == gates_.end() ? nullptr : &known->second;
}

std::vector<rollout_order> entry_rollouts::orders() const {
    std::vector<rollout_order> all;
    for (const auto& [service, gate] : gates_) {
        all.push_back(gate.order());
    }
    return all;
}

std::vector<entry_rollouts::told_evidence> entry_rollouts::reports(instant now) const {
    std::vector<told_evidence> all;
    for (const auto& [service, gate] : gates_) {
        if (!is_over(gate.directive().phase)) {
            all.push_back({gate.report(now), gate.evidence(), gate.directive().phase});
        }
    }
    return all;
}

void entry_rollouts::observe(instant now) {
    for (const auto& [service, gate] : gates_) {
        counters_.gauge(of_service("rollout_phase", gate)) =
            static_cast<double>(gate.directive().phase);
        counters_.gauge(of_service("rollout_left_s", gate)) = as_seconds(gate.remaining(now));
        counters_.gauge(of_service("rollout_reached", gate)) =
            static_cast<double>(gate.exposure().reached());
        counters_.gauge(of_service("rollout_exposed", gate)) =
            static_cast<double>(gate.exposure().sent());
        if (gate.report(now).found_bad) {
            tell_found_bad(now, gate);
        }
    }
}

void entry_rollouts::tell_found_bad(instant now, const rollout_gate& gate) {
    const auto told = told_bad_.find(gate.order().service);
    if (told != told_bad_.end() && told->second == gate.order().number) {
        return;
    }
    told_bad_.insert_or_assign(gate.order().service, gate.order().number);
    counters_.counter("rollout_versions_found_bad_total") += 1;
    tell_phase(now, gate, "found bad by its answers here");
}

void entry_rollouts::tell_phase(instant now, const rollout_gate& gate,
                                std::string_view cause) const {
    const rollout_report report = gate.report(now);
    const response_counts of_new = gate.evidence().of_new_version();
    const response_counts of_old = gate.evidence().of_old_version();
    log_event(log_level::information, "rollout_phase",
              {{"service", gate.order().service},
               {"order", std::to_string(gate.order().number)},
               {"version", gate.order().version},
               {"phase", name_of(gate.directive().phase)},
               {"cause", std::string(cause)},
               {"left_ms", millis_text(gate.remaining(now))},
               {"known_for_ms", millis_text(report.known_for)},
               {"reached_here", std::to_string(report.reached)},
               {"exposed_here", std::to_string(report.exposed)},
               {"new_well", std::to_string(of_new.succeeded)},
               {"new_badly", std::to_string(of_new.failed)},
               {"old_well", std::to_string(of_old.succeeded)},
               {"old_badly", std::to_string(of_old.failed)}});
}

}  // namespace wrenswitch
