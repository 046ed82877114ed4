// The part of gateway that follows the grants of this host.

#include "roles/gateway/gateway.hpp"
#include "wrenswitch/core/log.hpp"

namespace wrenswitch {

std::vector<grant_record> gateway::compose_grants() {
    std::vector<grant_record> records = grants_->compose_records(monotonic_now());
    for (const grant_record& record : records) {
        const grant before = ledger_->table().find(record.key);
        rate_limited_log_.log_routine(
            "grant_asked",
            {{"account", record.key.account},
             {"at", std::to_string(ledger_->position())},
             {"change", std::to_string(record.value.granted - before.granted)},
             {"granted_here", std::to_string(record.value.granted)},
             {"spent_here", std::to_string(record.value.spent)},
             {"granted", std::to_string(ledger_->table().granted(record.key.account))},
             {"limit", std::to_string(grants_->limit(record.key.account))},
             {"reserved", std::to_string(grants_->reserved(record.key.account))},
             {"wanted", std::to_string(record.value.wanted)}});
    }
    return records;
}

std::string gateway::describe_ledger() const {
    const auto age =
        std::chrono::duration_cast<milliseconds>(monotonic_now() - ledger_->last_answer());
    return std::to_string(ledger_->position()) + "/" + std::to_string(age.count()) + "ms";
}

void gateway::grants_changed() {
    waiters_->serve(monotonic_now());
    if (grants_->needs_immediate_draw()) {
        ledger_->append_if_due();
    }
}

}  // namespace wrenswitch
