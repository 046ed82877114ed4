#pragma once

#include <functional>
#include <string>

#include "roles/gateway/entry_rollouts.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/drivers/keyed_log.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

/// The roll-outs of one gateway: it reads the operators' orders and keeps what carries them out.
class gateway_rollouts {
public:
    struct hooks {
        /// True if all targets of the service were of this version before the order came.
        std::function<bool(const rollout_order& order)> in_force;
        /// A service has a new order.
        std::function<void(const std::string& service)> ordered;
    };

    gateway_rollouts(const gateway_dialect& dialect, double exposed_share, metrics& counters,
                     hooks needs);

    entry_rollouts& entry() { return entry_; }

    /// Takes in a record of the configuration's log. False if it isn't an order.
    bool configuration_changed(instant now, const keyed_record& record);

    /// To be called several times a second.
    void tick(instant now);

private:
    const gateway_dialect& dialect_;
    metrics& counters_;
    hooks hooks_;
    entry_rollouts entry_;
};

}  // namespace wrenswitch
