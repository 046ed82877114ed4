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
      gates_(exposed_share, counters) {}

void gateway_rollouts::open(event_loop& loop, keyed_log& log, message_bus& bus,
                            const token_allocator_selector& members, incarnation_id own) {
    ledger_ = std::make_unique<rollout_ledger>(
        loop, log, dialect_.rollout_log, dialect_.status_log, counters_,
        rollout_ledger_hooks{
            [this](const rollout_record& record) { gates_.on_record(monotonic_now(), record); },
            dialect_.write_status, hooks_.log_reachable});
    rollout_exchange::hooks needs;
    needs.count_targets = hooks_.count_targets;
    needs.evaluate = [evaluator = rollout_evaluator(rollout_evaluator::settings{})](
                         const rollout_evidence& evidence, double load_ratio) {
        return evaluator.evaluate(evidence, load_ratio);
    };
    needs.exposed_share = exposed_share_;
    exchange_ = std::make_unique<rollout_exchange>(loop, bus, members, own, gates_, *ledger_,
                                                   counters_, std::move(needs));
}

/// An unreadable order changes nothing; the previous one stays in force.
bool gateway_rollouts::on_configuration_record(instant now, const keyed_record& record) {
    const std::optional<std::string> service =
        dialect_.rollout_service ? dialect_.rollout_service(record.key) : std::nullopt;
    if (!service) {
        return false;
    }
    if (!record.value) {
        gates_.on_withdrawal(now, *service);
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
    const bool is_already_deployed =
        hooks_.is_already_deployed(read.value(), gates_.excluded_by(read.value()));
    if (gates_.on_order(now, read.value(), is_already_deployed)) {
        hooks_.on_order(*service);
    }
    return true;
}

void gateway_rollouts::tick(instant now) {
    gates_.update_metrics(now);
    if (exchange_) {
        exchange_->tick(now);
    }
}

}  // namespace wrenswitch
