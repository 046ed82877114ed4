#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "roles/gateway/entry_rollouts.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/grants/token_homes.hpp"
#include "wrenswitch/decision/rollout/rollout_judge.hpp"
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
        /// How many targets of the old and of the new version a service has listed.
        struct target_numbers {
            std::size_t old_version = 0;
            std::size_t new_version = 0;
        };
        std::function<target_numbers(const rollout_order& order)> targets_of;
    };

    /// All that is referred to must outlive the exchange.
    rollout_exchange(event_loop& loop, message_bus& bus, const token_homes& members,
                     incarnation_id own, entry_rollouts& rollouts, rollout_ledger& ledger,
                     metrics& counters, hooks needs);
    ~rollout_exchange();
    rollout_exchange(const rollout_exchange&) = delete;
    rollout_exchange& operator=(const rollout_exchange&) = delete;

    /// To be called several times a second: reports, judges and tells what is due.
    void tick(instant now);

    /// Takes a message. False if it isn't for the exchange.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace wrenswitch
