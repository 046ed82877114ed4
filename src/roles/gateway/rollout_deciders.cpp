#include "roles/gateway/rollout_deciders.hpp"

#include <algorithm>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// Adding up a few hundred reports takes about a millisecond.
constexpr microseconds gauge_period = seconds(1);

/// The hosts of the given processes, separated by commas.
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

rollout_deciders::rollout_deciders(incarnation_id own, double exposed_share, rollout_ledger& ledger,
                                   metrics& counters, hooks needs)
    : own_(own),
      exposed_share_(exposed_share),
      ledger_(ledger),
      counters_(counters),
      hooks_(std::move(needs)) {}

void rollout_deciders::set_orders(instant now, std::span<const rollout_order> orders) {
    std::erase_if(services_, [&](const auto& each) {
        return std::find(orders.begin(), orders.end(), each.second.decider.order()) == orders.end();
    });
    for (const rollout_order& order : orders) {
        if (!services_.contains(order.service)) {
            services_.emplace(
                order.service,
                service_state{rollout_decider(now, own_, order, exposed_share_, hooks_.evaluate),
                              std::nullopt, std::nullopt});
        }
    }
}

bool rollout_deciders::record_report(instant now, process_report received) {
    const auto found = services_.find(received.report.service);
    if (found == services_.end() || found->second.decider.order().number != received.report.order) {
        counters_.counter("rollout_reports_unknown_total") += 1;
        return false;
    }
    const rollout_report report = received.report;
    found->second.decider.record_report(now, received.process, report,
                                        std::move(received.evidence));
    return report.found_bad || report.moved;
}

const rollout_directive* rollout_deciders::directive_of(std::string_view service,
                                                        std::uint64_t order) const {
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.directive ||
        found->second.directive->order != order) {
        return nullptr;
    }
    return &*found->second.directive;
}

std::vector<rollout_directive> rollout_deciders::directives() const {
    std::vector<rollout_directive> all;
    for (const auto& [service, state] : services_) {
        if (state.directive) {
            all.push_back(*state.directive);
        }
    }
    return all;
}

bool rollout_deciders::has_moving() const {
    return std::any_of(services_.begin(), services_.end(), [](const auto& each) {
        return each.second.directive && each.second.directive->phase == rollout_phase::moving;
    });
}

void rollout_deciders::decide(instant now, std::span<const cluster_member> members,
                              microseconds report_period) {
    // A process that doesn't know the contents of the log could take a finished rollout for a new
    // one.
    if (!ledger_.live()) {
        return;
    }
    for (auto& [service, state] : services_) {
        decide_one(now, state, members, report_period);
        publish(state.decider.order());
    }
}

void rollout_deciders::publish(const rollout_order& order) {
    const rollout_record* record = ledger_.table().find(order.service);
    if (record != nullptr && record->order == order.number) {
        ledger_.publish(*record);
    }
}

void rollout_deciders::decide_one(instant now, service_state& state,
                                  std::span<const cluster_member> members,
                                  microseconds report_period) {
    const rollout_order& order = state.decider.order();
    if (const rollout_record* record = ledger_.table().find(order.service)) {
        state.decider.apply_record(now, *record);
    }
    if (hooks_.is_withdrawn(order)) {
        state.decider.request_rollback("withdrawn by the operator");
    }
    std::vector<incarnation_id> processes;
    processes.reserve(members.size());
    for (const cluster_member& member : members) {
        processes.push_back(member.process);
    }
    const rollout_target_counts targets = hooks_.count_targets(order);
    const rollout_decision decision = state.decider.decide(
        now, {targets.old_version, targets.new_version, processes, report_period});
    if (decision.record_to_append) {
        ledger_.propose(*decision.record_to_append);
    }
    log_decision(now, state, decision, members, report_period);
    const bool changed = decision.directive &&
                         (!state.directive || state.directive->phase != decision.directive->phase);
    state.directive = decision.directive;
    if (changed) {
        hooks_.phase_changed(*state.directive);
    }
}

void rollout_deciders::set_gauges(service_state& state, const rollout_totals& totals) {
    const metric_label service{"service", state.decider.order().service};
    counters_.gauge(labelled("rollout_all_reached", {service})) =
        static_cast<double>(totals.reached);
    counters_.gauge(labelled("rollout_all_exposed", {service})) =
        static_cast<double>(totals.exposed);
    counters_.gauge(labelled("rollout_all_bad_answers", {service})) =
        static_cast<double>(totals.evidence.of_new_version().failed);
    counters_.gauge(labelled("rollout_all_reporters", {service})) =
        static_cast<double>(totals.reporters - totals.stale_reporters);
}

/// Logs one line for each change of phase and each new final state that is wanted.
void rollout_deciders::log_decision(instant now, service_state& state,
                                    const rollout_decision& decision,
                                    std::span<const cluster_member> members,
                                    microseconds report_period) {
    const bool phase_is_new =
        decision.directive &&
        (!state.directive || state.directive->phase != decision.directive->phase);
    const bool wants_final_state =
        decision.record_to_append && decision.record_to_append->state != rollout_state::running;
    const bool final_state_is_new =
        wants_final_state && state.logged_end != decision.record_to_append->state;
    if (!phase_is_new && !final_state_is_new && now - state.gauges_set_at < gauge_period) {
        return;
    }
    const rollout_order& order = state.decider.order();
    const rollout_totals totals = state.decider.totals(now, report_period);
    state.gauges_set_at = now;
    set_gauges(state, totals);
    if (!phase_is_new && !final_state_is_new) {
        return;
    }
    const response_counts new_version = totals.evidence.of_new_version();
    const response_counts old_version = totals.evidence.of_old_version();
    if (final_state_is_new) {
        state.logged_end = decision.record_to_append->state;
    }
    counters_.counter("rollout_decisions_total") += 1;
    log_event(log_level::information, "rollout_decided",
              {{"service", order.service},
               {"order", std::to_string(order.number)},
               {"version", order.version},
               {"phase", decision.directive ? name_of(decision.directive->phase) : "unsaid"},
               {"wanted", wants_final_state ? name_of(decision.record_to_append->state) : "no_end"},
               {"reason",
                wants_final_state ? decision.record_to_append->reason : decision.evaluation.reason},
               {"left_ms", millis_text(state.decider.duration() - state.decider.elapsed(now))},
               {"new_sent", std::to_string(new_version.sent)},
               {"new_well", std::to_string(new_version.succeeded)},
               {"new_badly", std::to_string(new_version.failed)},
               {"old_sent", std::to_string(old_version.sent)},
               {"old_well", std::to_string(old_version.succeeded)},
               {"old_badly", std::to_string(old_version.failed)},
               {"exposed", std::to_string(totals.exposed)},
               {"reached", std::to_string(totals.reached)},
               {"reporters", std::to_string(totals.reporters)},
               {"stale_reporters", std::to_string(totals.stale_reporters)},
               {"greatest_age_ms", millis_text(totals.max_report_age)},
               {"unreached", hosts_of(decision.unreachable, members)}});
}

}  // namespace wrenswitch
