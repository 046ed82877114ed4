#include "roles/gateway/rollout_gates.hpp"

#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

std::string service_metric(std::string_view name, const rollout_gate& gate) {
    return labelled(name, {{"service", gate.order().service}});
}

}  // namespace

rollout_gates::rollout_gates(double exposed_share, metrics& counters)
    : exposed_share_(exposed_share), counters_(counters) {}

bool rollout_gates::on_order(instant now, const rollout_order& order, bool already_deployed) {
    const auto known = gates_.find(order.service);
    if (known != gates_.end() && known->second.order().number >= order.number) {
        return false;
    }
    rollout_gate& gate =
        gates_
            .insert_or_assign(order.service,
                              rollout_gate(now, order, exposed_share_, excluded_by(order)))
            .first->second;
    if (already_deployed) {
        gate.mark_already_deployed();
    }
    counters_.counter("rollout_orders_total") += 1;
    log_event(log_level::information, "rollout_ordered",
              {{"service", order.service},
               {"order", std::to_string(order.number)},
               {"version", order.version},
               {"duration_ms", millis_text(order.duration)},
               {"in_force", already_deployed ? "yes" : "no"}});
    if (const rollout_record* record = records_.find(order.service)) {
        apply_record(now, gate, *record);
    }
    return true;
}

/// After a start, a process knows the previous order only from the record in the log.
version_set rollout_gates::excluded_by(const rollout_order& order) const {
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

void rollout_gates::on_withdrawal(instant now, std::string_view service) {
    const auto known = gates_.find(service);
    if (known == gates_.end()) {
        return;
    }
    counters_.counter("rollout_orders_withdrawn_total") += 1;
    if (known->second.withdraw(now)) {
        log_phase(now, known->second, "withdrawn");
    }
}

void rollout_gates::on_record(instant now, const rollout_record& record) {
    records_.apply(record);
    const auto known = gates_.find(record.service);
    if (known != gates_.end()) {
        apply_record(now, known->second, record);
    }
}

/// Only a final state is taken from the log; before that the decider's directive is newer.
void rollout_gates::apply_record(instant now, rollout_gate& gate,
                                 const rollout_record& record) const {
    if (record.state == rollout_state::running) {
        return;
    }
    rollout_directive final_directive;
    final_directive.service = record.service;
    final_directive.order = record.order;
    final_directive.version = record.version;
    final_directive.phase = record.state == rollout_state::completed ? rollout_phase::completed
                                                                     : rollout_phase::rolled_back;
    if (gate.apply(now, final_directive)) {
        log_phase(now, gate, "log: " + record.reason);
    }
}

void rollout_gates::on_directive(instant now, const rollout_directive& directive) {
    const auto known = gates_.find(directive.service);
    if (known != gates_.end() && known->second.apply(now, directive)) {
        log_phase(now, known->second, "decider");
    }
}

rollout_gate* rollout_gates::gate_of(std::string_view service) {
    const auto known = gates_.find(service);
    return known == gates_.end() ? nullptr : &known->second;
}

std::vector<rollout_order> rollout_gates::orders() const {
    std::vector<rollout_order> all;
    for (const auto& [service, gate] : gates_) {
        all.push_back(gate.order());
    }
    return all;
}

std::vector<rollout_gates::local_report> rollout_gates::reports(instant now) const {
    std::vector<local_report> all;
    for (const auto& [service, gate] : gates_) {
        if (!is_over(gate.directive().phase)) {
            all.push_back({gate.report(now), gate.evidence(), gate.directive().phase});
        }
    }
    return all;
}

void rollout_gates::update_metrics(instant now) {
    for (const auto& [service, gate] : gates_) {
        counters_.gauge(service_metric("rollout_phase", gate)) =
            static_cast<double>(gate.directive().phase);
        counters_.gauge(service_metric("rollout_left_s", gate)) = as_seconds(gate.remaining(now));
        counters_.gauge(service_metric("rollout_reached", gate)) =
            static_cast<double>(gate.exposure().reached());
        counters_.gauge(service_metric("rollout_exposed", gate)) =
            static_cast<double>(gate.exposure().sent());
        if (gate.report(now).found_bad) {
            log_found_bad(now, gate);
        }
    }
}

void rollout_gates::log_found_bad(instant now, const rollout_gate& gate) {
    const auto logged = logged_bad_.find(gate.order().service);
    if (logged != logged_bad_.end() && logged->second == gate.order().number) {
        return;
    }
    logged_bad_.insert_or_assign(gate.order().service, gate.order().number);
    counters_.counter("rollout_versions_found_bad_total") += 1;
    log_phase(now, gate, "found bad by its answers here");
}

void rollout_gates::log_phase(instant now, const rollout_gate& gate, std::string_view cause) const {
    const rollout_report report = gate.report(now);
    const response_counts new_version = gate.evidence().of_new_version();
    const response_counts old_version = gate.evidence().of_old_version();
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
               {"new_well", std::to_string(new_version.succeeded)},
               {"new_badly", std::to_string(new_version.failed)},
               {"old_well", std::to_string(old_version.succeeded)},
               {"old_badly", std::to_string(old_version.failed)}});
}

}  // namespace wrenswitch
