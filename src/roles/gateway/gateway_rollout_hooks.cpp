// The part of gateway that tells rollouts of targets and requests.

#include <utility>

#include "roles/gateway/gateway.hpp"
#include "roles/gateway/gateway_wiring.hpp"

namespace wrenswitch {

gateway_rollouts::hooks gateway::rollout_hooks() {
    const auto in_force = [this](const rollout_order& order, const version_set& excluded) {
        // A starting process may not know all targets yet.
        return configuration_follower_->live() && target_follower_->live() &&
               targets_.has_only_version(order.service, order.version, excluded);
    };
    const auto ordered = [this](const std::string& service) {
        for (const std::shared_ptr<forwarded_request>& request : context_->active_requests) {
            request->on_rollout_order(service);
        }
    };
    return {in_force, ordered, [this](const rollout_order& order) { return count_targets(order); },
            make_reachable_hook(dialect_.rollout_log)};
}

/// Counts the targets of the old and of the new version. Unknown until the list of targets has been
/// read. Draining targets count as old ones, since their requests have to end, but not as new ones.
rollout_target_counts gateway::count_targets(const rollout_order& order) {
    rollout_target_counts numbers;
    if (!target_follower_->live()) {
        return numbers;
    }
    const rollout_gate* gate = rollouts_.gates().gate_of(order.service);
    for (const gateway_target& target : targets_.listed()) {
        const bool excluded = gate != nullptr && gate->excluded().contains(target.version);
        if (target.service != order.service || excluded) {
            continue;
        }
        const bool is_new = target.version == order.version;
        numbers.old_version += is_new ? 0 : 1;
        numbers.new_version += is_new && !target.draining ? 1 : 0;
    }
    return numbers;
}

/// A target of a new version is held back until a read of the rollout orders that began after the
/// target was listed. A long poll would delay that by up to 700 ms, in which an entry that has just
/// started beside two versions would have no target at all. Reads that are under way are not
/// repeated, since each would discard the one before.
void gateway::on_targets_read() {
    const instant now = monotonic_now();
    streams_->note_list_read(now);
    update_version_log();
    const bool was_waiting = std::exchange(waits_for_orders_, targets_.waits_for_orders(now));
    if (waits_for_orders_ && !was_waiting) {
        configuration_follower_->look_now();
    }
}

void gateway::on_orders_read() {
    targets_.orders_read(configuration_follower_->last_read_began());
    if (targets_.waits_for_orders(monotonic_now())) {
        configuration_follower_->look_now();
    }
}

}  // namespace wrenswitch
