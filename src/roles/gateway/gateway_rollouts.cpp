#include "roles/gateway/gateway_rollouts.hpp"

#include <optional>
#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {

gateway_rollouts::gateway_rollouts(const gateway_dialect& dialect, double exposed_share,
                                   metrics& counters, hooks needs)
    : dialect_(dialect),
      counters_(counters),
      hooks_(std::move(needs)),
      entry_(exposed_share, counters) {}

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
    if (entry_.ordered(now, read.value(), hooks_.in_force(read.value()))) {
        hooks_.ordered(*service);
    }
    return true;
}

void gateway_rollouts::tick(instant now) {
    entry_.observe(now);
}

}  // namespace wrenswitch
