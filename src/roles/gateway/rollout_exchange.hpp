#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "roles/gateway/rollout_deciders.hpp"
#include "roles/gateway/rollout_gates.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"
#include "wrenswitch/drivers/rollout_ledger.hpp"

namespace wrenswitch {

/// Sends the evidence of all gateways to the deciding process and its directives back to them.
/// Every process derives the decider from the member directory. Two processes that both take
/// themselves for the decider can't contradict each other, since the log accepts only one final
/// state.
class rollout_exchange {
public:
    struct hooks {
        std::function<rollout_target_counts(const rollout_order& order)> count_targets;
        rollout_decider::evaluate_hook evaluate;
        /// The share of a service's requests that an unproven version may get.
        double exposed_share = 0.0;
    };

    /// The rollouts as this process carries them out.
    struct local_rollouts {
        std::function<std::vector<rollout_order>()> orders;
        std::function<std::vector<rollout_gates::local_report>(instant now)> reports;
        std::function<void(instant now, const rollout_directive& directive)> on_directive;
        std::function<bool(const rollout_order& order)> is_withdrawn;
    };

    /// All references must outlive the exchange.
    rollout_exchange(event_loop& loop, message_bus& bus, const token_allocator_selector& members,
                     incarnation_id own, local_rollouts rollouts, rollout_ledger& ledger,
                     metrics& counters, hooks needs);

    /// The same for the rollouts of a rollout_gates object.
    rollout_exchange(event_loop& loop, message_bus& bus, const token_allocator_selector& members,
                     incarnation_id own, rollout_gates& rollouts, rollout_ledger& ledger,
                     metrics& counters, hooks needs)
        : rollout_exchange(loop, bus, members, own, make_local_rollouts(rollouts), ledger, counters,
                           std::move(needs)) {}

    ~rollout_exchange();
    rollout_exchange(const rollout_exchange&) = delete;
    rollout_exchange& operator=(const rollout_exchange&) = delete;

    /// To be called several times a second: sends the reports, decisions and directives that are
    /// due. Schedules additional ticks by itself while a rollout is in the moving phase.
    void tick(instant now);

    /// Handles a message. False if it isn't of a kind that the exchange handles.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

    /// True if this process takes itself for the decider.
    bool is_decider() const;

private:
    static local_rollouts make_local_rollouts(rollout_gates& rollouts) {
        return {[&rollouts] { return rollouts.orders(); },
                [&rollouts](instant now) { return rollouts.reports(now); },
                [&rollouts](instant now, const rollout_directive& directive) {
                    rollouts.on_directive(now, directive);
                },
                [&rollouts](const rollout_order& order) {
                    const rollout_gate* gate = rollouts.gate_of(order.service);
                    return gate != nullptr && gate->order().number == order.number &&
                           gate->directive().phase == rollout_phase::rolled_back;
                }};
    }

    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace wrenswitch
