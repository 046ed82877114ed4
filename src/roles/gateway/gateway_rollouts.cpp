#include "roles/gateway/gateway_rollouts.hpp"

#include <optional>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {

gateway_rollouts::gateway_rollouts(const gateway_dialect& dialect, double exposed_share,
                                   metrics& counters, hooks needs)
    : dialect_(dialect),
      exposed_share_(exposed_share),
      counters_(counters),
      hooks_(std::move(needs)),
      entry_(exposed_share, counters) {}

void gateway_rollouts::open(event_loop& loop, keyed_log& log, message_bus& bus,
                            const token_allocator_selector& members, incarnation_id own) {
    ledger_ = std::make_unique<rollout_ledger>(
        loop, log, dialect_.rollout_log, dialect_.status_log, counters_,
        rollout_ledger_hooks{
            [this](const rollout_record& record) { entry_.recorded(monotonic_now(), record); },
            dialect_.write_status, hooks_.reachable});
    rollout_exchange::hooks needs;
    needs.targets_of = hooks_.targets_of;
    needs.judge = [judge = rollout_evaluator(rollout_evaluator::settings{})](
                      const rollout_evidence& evidence, double stress) {
        return judge.evaluate(evidence, stress);
    };
    needs.exposed_share = exposed_share_;
    exchange_ = std::make_unique<rollout_exchange>(loop, bus, members, own, entry_, *ledger_,
                                                   counters_, std::move(needs));
}

/// An order that can't be read changes nothing: what was in force before stays so.
bool gateway_rollouts::configuration_changed(instant now, const keyed_record& record) {
    const std::optional<std::string> service =
        dialect_.ordered_service ? dialect_.ordered_service(record.key) : std::nullopt;
    if (!service) {
        return false;
    }
    if (!record.value) {
        entry_.withdrawn(now, *service);
        return true;
    }
    const result<rollout_order> read = dialect_.read_order(*service, *record.value, record.offset);
    if (!read) {
        counters_.counter("rollout_orders_unreadable_total") += 1;
        log_event(log_level::error, "rollout_order_unreadable",
                  {{"service", *service},
                   {"offset", std::to_string(record.offset)},
                   {"reason", read.error().message}});
        return true;
    }
    const bool in_force = hooks_.in_force(read.value(), entry_.excluded_by(read.value()));
    if (entry_.ordered(now, read.value(), in_force)) {
        hooks_.ordered(*service);
    }
    return true;
}

void gateway_rollouts::tick(instant now) {
    entry_.observe(now);
    if (exchange_) {
        exchange_->tick(now);
    }
}

}  // namespace wrenswitch
