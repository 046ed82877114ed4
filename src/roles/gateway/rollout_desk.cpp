#include "roles/gateway/rollout_desk.hpp"

#include <algorithm>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// The sums of a few hundred reports take about a millisecond.
constexpr microseconds gauges_every = seconds(1);

/// The hosts of some processes.
std::string hosts_of(std::span<const incarnation_id> processes,
                     std::span<const cluster_member> members) {
    std::string hosts;
    for (const cluster_member& member : members) {
        if (std::find(processes.begin(), processes.end(), member.process) != processes.end()) {
            hosts += (hosts.empty() ? "" : ",") + member.host;
        }
    }
    return hosts;
}

}  // namespace

rollout_desk::rollout_desk(incarnation_id own, double exposed_share, rollout_ledger& ledger,
                           metrics& counters, hooks needs)
    : own_(own),
      exposed_share_(exposed_share),
      ledger_(ledger),
      counters_(counters),
      hooks_(std::move(needs)) {}

void rollout_desk::keep_orders(instant now, std::span<const rollout_order> orders) {
    std::erase_if(services_, [&](const auto& each) {
        return std::find(orders.begin(), orders.end(), each.second.decider.order()) == orders.end();
    });
    for (const rollout_order& order : orders) {
        if (!services_.contains(order.service)) {
            services_.emplace(
                order.service,
                service_desk{rollout_decider(now, own_, order, exposed_share_, hooks_.judge),
                             std::nullopt, std::nullopt});
        }
    }
}

bool rollout_desk::take(instant now, told_rollout told) {
    const auto found = services_.find(told.report.service);
    if (found == services_.end() || found->second.decider.order().number != told.report.order) {
        counters_.counter("rollout_reports_unknown_total") += 1;
        return false;
    }
    const rollout_report report = told.report;
    found->second.decider.record_report(now, told.process, report, std::move(told.evidence));
    return report.found_bad || report.moved;
}

const rollout_directive* rollout_desk::stand_of(std::string_view service,
                                                std::uint64_t order) const {
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.stand || found->second.stand->order != order) {
        return nullptr;
    }
    return &*found->second.stand;
}

std::vector<rollout_directive> rollout_desk::stands() const {
    std::vector<rollout_directive> all;
    for (const auto& [service, desk] : services_) {
        if (desk.stand) {
            all.push_back(*desk.stand);
        }
    }
    return all;
}

bool rollout_desk::is_moving() const {
    return std::any_of(services_.begin(), services_.end(), [](const auto& each) {
        return each.second.stand && each.second.stand->phase == rollout_phase::moving;
    });
}

void rollout_desk::decide(instant now, std::span<const cluster_member> members,
                          microseconds report_period) {
    // A process that doesn't know what the log holds could take an ended roll-out for a new one.
    if (!ledger_.live()) {
        return;
    }
    for (auto& [service, desk] : services_) {
        decide_one(now, desk, members, report_period);
        publish(desk.decider.order());
    }
}

void rollout_desk::publish(const rollout_order& order) {
    const rollout_record* record = ledger_.table().find(order.service);
    if (record != nullptr && record->order == order.number) {
        ledger_.publish(*record);
    }
}

void rollout_desk::decide_one(instant now, service_desk& desk,
                              std::span<const cluster_member> members, microseconds report_period) {
    const rollout_order& order = desk.decider.order();
    if (const rollout_record* record = ledger_.table().find(order.service)) {
        desk.decider.apply_record(now, *record);
    }
    if (hooks_.is_withdrawn(order)) {
        desk.decider.request_rollback("withdrawn by the operator");
    }
    std::vector<incarnation_id> processes;
    processes.reserve(members.size());
    for (const cluster_member& member : members) {
        processes.push_back(member.process);
    }
    const rollout_target_numbers targets = hooks_.targets_of(order);
    const rollout_decision decision = desk.decider.decide(
        now, {targets.old_version, targets.new_version, processes, report_period});
    if (decision.record_to_append) {
        ledger_.propose(*decision.record_to_append);
    }
    note(now, desk, decision, members, report_period);
    const bool changed =
        decision.directive && (!desk.stand || desk.stand->phase != decision.directive->phase);
    desk.stand = decision.directive;
    if (changed) {
        hooks_.phase_changed(*desk.stand);
    }
}

void rollout_desk::set_gauges(service_desk& desk, const rollout_totals& sums) {
    const metric_label service{"service", desk.decider.order().service};
    counters_.gauge(labelled("rollout_all_reached", {service})) = static_cast<double>(sums.reached);
    counters_.gauge(labelled("rollout_all_exposed", {service})) = static_cast<double>(sums.exposed);
    counters_.gauge(labelled("rollout_all_bad_answers", {service})) =
        static_cast<double>(sums.evidence.of_new_version().failed);
    counters_.gauge(labelled("rollout_all_reporters", {service})) =
        static_cast<double>(sums.reporters - sums.stale_reporters);
}

/// One line for each change of phase and each end that is wanted.
void rollout_desk::note(instant now, service_desk& desk, const rollout_decision& decision,
                        std::span<const cluster_member> members, microseconds report_period) {
    const bool phase_is_new =
        decision.directive && (!desk.stand || desk.stand->phase != decision.directive->phase);
    const bool wants_end =
        decision.record_to_append && decision.record_to_append->state != rollout_state::running;
    const bool end_is_new = wants_end && desk.told_end != decision.record_to_append->state;
    if (!phase_is_new && !end_is_new && now - desk.gauges_set < gauges_every) {
        return;
    }
    const rollout_order& order = desk.decider.order();
    const rollout_totals sums = desk.decider.totals(now, report_period);
    desk.gauges_set = now;
    set_gauges(desk, sums);
    if (!phase_is_new && !end_is_new) {
        return;
    }
    const response_counts of_new = sums.evidence.of_new_version();
    const response_counts of_old = sums.evidence.of_old_version();
    if (end_is_new) {
        desk.told_end = decision.record_to_append->state;
    }
    counters_.counter("rollout_decisions_total") += 1;
    log_event(
        log_level::information, "rollout_decided",
        {{"service", order.service},
         {"order", std::to_string(order.number)},
         {"version", order.version},
         {"phase", decision.directive ? name_of(decision.directive->phase) : "unsaid"},
         {"wanted", wants_end ? name_of(decision.record_to_append->state) : "no_end"},
         {"reason", wants_end ? decision.record_to_append->reason : decision.evaluation.reason},
         {"left_ms", millis_text(desk.decider.duration() - desk.decider.elapsed(now))},
         {"new_sent", std::to_string(of_new.sent)},
         {"new_well", std::to_string(of_new.succeeded)},
         {"new_badly", std::to_string(of_new.failed)},
         {"old_sent", std::to_string(of_old.sent)},
         {"old_well", std::to_string(of_old.succeeded)},
         {"old_badly", std::to_string(of_old.failed)},
         {"exposed", std::to_string(sums.exposed)},
         {"reached", std::to_string(sums.reached)},
         {"reporters", std::to_string(sums.reporters)},
         {"stale_reporters", std::to_string(sums.stale_reporters)},
         {"greatest_age_ms", millis_text(sums.max_report_age)},
         {"unreached", hosts_of(decision.unreachable, members)}});
}

}  // namespace wrenswitch
