#pragma once

#include <functional>
#include <memory>
#include <string>

#include "roles/gateway/rollout_exchange.hpp"
#include "roles/gateway/rollout_gates.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/drivers/keyed_log.hpp"
#include "wrenswitch/drivers/rollout_ledger.hpp"
#include "wrenswitch/roles/gateway.hpp"

namespace wrenswitch {

/// The rollout part of a gateway: reads the operators' orders and owns the gates, the ledger and
/// the exchange that carry them out.
class gateway_rollouts {
public:
    struct hooks {
        /// True if all targets of the service ran this version before the order arrived, not
        /// counting those of the excluded versions.
        std::function<bool(const rollout_order& order, const version_set& excluded)>
            is_already_deployed;
        /// A service has a new order.
        std::function<void(const std::string& service)> on_order;
        /// The numbers of listed targets with the old and with the new version.
        std::function<rollout_target_counts(const rollout_order& order)> count_targets;
        /// The rollout log became unreachable or reachable again.
        std::function<void(bool reachable)> log_reachable;
    };

    gateway_rollouts(const gateway_dialect& dialect, double exposed_share, metrics& counters,
                     hooks needs);

    /// Connects to the log and to other processes, all of which must outlive this object. Nothing
    /// is sent before the first order.
    void open(event_loop& loop, keyed_log& log, message_bus& bus,
              const token_allocator_selector& members, incarnation_id own);

    rollout_gates& gates() { return gates_; }

    /// Applies a record of the configuration log. False if it isn't an order.
    bool on_configuration_record(instant now, const keyed_record& record);

    /// To be called several times a second.
    void tick(instant now);

    /// Handles a message. False if it isn't about rollouts.
    bool on_message(const message_origin& origin, const wire::Envelope& message) {
        return exchange_ != nullptr && exchange_->on_message(origin, message);
    }

private:
    const gateway_dialect& dialect_;
    double exposed_share_;
    metrics& counters_;
    hooks hooks_;
    rollout_gates gates_;
    std::unique_ptr<rollout_ledger> ledger_;
    std::unique_ptr<rollout_exchange> exchange_;
};

}  // namespace wrenswitch
