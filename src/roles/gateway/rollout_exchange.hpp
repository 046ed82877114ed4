#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "roles/gateway/entry_rollouts.hpp"
#include "roles/gateway/rollout_desk.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/grants/token_homes.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"
#include "wrenswitch/drivers/rollout_ledger.hpp"

namespace wrenswitch {

/// Brings the evidence of all entries to the one that decides, and its word back to them. Which one
/// decides follows from the directory of members; two that both think so can't contradict each
/// other, since the log takes one final state.
class rollout_exchange {
public:
    struct hooks {
        std::function<rollout_target_numbers(const rollout_order& order)> targets_of;
        rollout_decider::evaluate_hook judge;
        /// The share of a service's requests that a version may get which isn't proved.
        double exposed_share = 0.0;
    };

    /// The roll-outs as this process carries them out.
    struct own_rollouts {
        std::function<std::vector<rollout_order>()> orders;
        std::function<std::vector<entry_rollouts::told_evidence>(instant now)> reports;
        std::function<void(instant now, const rollout_directive& stand)> told;
        std::function<bool(const rollout_order& order)> is_withdrawn;
    };

    /// All that is referred to must outlive the exchange.
    rollout_exchange(event_loop& loop, message_bus& bus, const token_allocator_selector& members,
                     incarnation_id own, own_rollouts rollouts, rollout_ledger& ledger,
                     metrics& counters, hooks needs);

    /// The same for a process's own roll-outs as they are.
    rollout_exchange(event_loop& loop, message_bus& bus, const token_allocator_selector& members,
                     incarnation_id own, entry_rollouts& rollouts, rollout_ledger& ledger,
                     metrics& counters, hooks needs)
        : rollout_exchange(loop, bus, members, own, view_of(rollouts), ledger, counters,
                           std::move(needs)) {}

    ~rollout_exchange();
    rollout_exchange(const rollout_exchange&) = delete;
    rollout_exchange& operator=(const rollout_exchange&) = delete;

    /// To be called several times a second: reports, judges and tells what is due. Looks more often
    /// by itself while an end is near.
    void tick(instant now);

    /// Takes a message. False if it isn't for the exchange.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

    /// True if this process decides, as far as it knows.
    bool decides() const;

private:
    static own_rollouts view_of(entry_rollouts& rollouts) {
        return {
            [&rollouts] { return rollouts.orders(); },
            [&rollouts](instant now) { return rollouts.reports(now); },
            [&rollouts](instant now, const rollout_directive& stand) { rollouts.told(now, stand); },
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
