#pragma once

#include <functional>
#include <memory>
#include <string>

#include "roles/gateway/entry_rollouts.hpp"
#include "roles/gateway/rollout_exchange.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/drivers/keyed_log.hpp"
#include "wrenswitch/drivers/rollout_ledger.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

/// The roll-outs of one gateway: it reads the operators' orders and keeps what carries them out.
class gateway_rollouts {
public:
    struct hooks {
        /// True if all targets of the service were of this version before the order came, but for
        /// those of the versions that are excluded.
        std::function<bool(const rollout_order& order, const version_set& excluded)> in_force;
        /// A service has a new order.
        std::function<void(const std::string& service)> ordered;
        /// How many targets of the old and of the new version are listed.
        std::function<rollout_target_numbers(const rollout_order& order)> targets_of;
        /// The log of roll-outs was lost or regained.
        std::function<void(bool reachable)> reachable;
    };

    gateway_rollouts(const gateway_dialect& dialect, double exposed_share, metrics& counters,
                     hooks needs);

    /// Opens the ways to the log and to other processes, which must outlive this. Nothing is sent
    /// before the first order.
    void open(event_loop& loop, keyed_log& log, message_bus& bus,
              const token_allocator_selector& members, incarnation_id own);

    entry_rollouts& entry() { return entry_; }

    /// Takes in a record of the configuration's log. False if it isn't an order.
    bool configuration_changed(instant now, const keyed_record& record);

    /// To be called several times a second.
    void tick(instant now);

    /// Takes a message. False if it isn't of roll-outs.
    bool on_message(const message_origin& origin, const wire::Envelope& message) {
        return exchange_ != nullptr && exchange_->on_message(origin, message);
    }

private:
    const gateway_dialect& dialect_;
    double exposed_share_;
    metrics& counters_;
    hooks hooks_;
    entry_rollouts entry_;
    std::unique_ptr<rollout_ledger> ledger_;
    std::unique_ptr<rollout_exchange> exchange_;
};

}  // namespace wrenswitch
