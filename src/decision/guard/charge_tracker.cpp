#include "wrenswitch/decision/guard/charge_tracker.hpp"

#include <algorithm>

namespace wrenswitch {

refusal_reason charge_tracker::check_ticket(const ticket& offered,
                                            log_offset control_offset) const {
    if (!control_.is_active(guard_)) {
        return refusal_reason::fenced;
    }
    if (control_offset < offered.least_control_offset) {
        return refusal_reason::behind;
    }
    if (offered.issued_control_offset < control_.find(guard_)->registered_at) {
        return refusal_reason::predates;
    }
    if (voided_tickets_.count(offered.id) > 0) {
        return refusal_reason::voided;
    }
    if (used_tickets_.count(offered.id) > 0) {
        return refusal_reason::repeated_ticket;
    }
    if (control_.find(offered.holder) == nullptr) {
        // Only a registered process can hold tickets; this guard has not read its registration yet.
        return refusal_reason::behind;
    }
    if (!control_.is_active(offered.holder)) {
        return refusal_reason::fenced;
    }
    return refusal_reason::none;
}

refusal_reason charge_tracker::begin_charge(const ticket& offered, log_offset control_offset) {
    const refusal_reason reason = check_ticket(offered, control_offset);
    if (reason != refusal_reason::none) {
        return reason;
    }
    charge value;
    value.budget = offered.budget;
    value.holder = offered.holder;
    value.key = offered.key;
    value.ticket = offered.id;
    value.amount = offered.bound;
    value.running = true;
    charges_[offered.id] = charge_state{value, {}, false};
    used_tickets_[offered.id] = offered.holder;
    ++running_count_;
    return refusal_reason::none;
}

tokens charge_tracker::finish_charge(ticket_id id, tokens cost) {
    const auto found = charges_.find(id);
    if (found == charges_.end() || !found->second.value.running) {
        return 0;
    }
    charge& value = found->second.value;
    const tokens excess = std::max<tokens>(cost - value.amount, 0);
    value.amount = std::clamp<tokens>(cost, 0, value.amount);
    value.running = false;
    --running_count_;
    return excess;
}

void charge_tracker::cancel_charge(ticket_id id) {
    const auto found = charges_.find(id);
    if (found == charges_.end() || !found->second.value.running) {
        return;
    }
    charges_.erase(found);
    --running_count_;
}

bool charge_tracker::void_ticket(ticket_id id, incarnation_id holder) {
    if (used_tickets_.count(id) > 0) {
        return false;
    }
    voided_tickets_[id] = holder;
    return true;
}

std::vector<charge> charge_tracker::take_due_reports(instant now, microseconds resend_after,
                                                     std::size_t max_count) {
    std::vector<charge> list;
    for (auto& [id, item] : charges_) {
        if (list.size() >= max_count) {
            break;
        }
        const bool due =
            !item.value.running && (!item.report_sent || now - item.reported_at >= resend_after);
        if (!due) {
            continue;
        }
        item.report_sent = true;
        item.reported_at = now;
        list.push_back(item.value);
    }
    return list;
}

void charge_tracker::acknowledge_charge(ticket_id id) {
    const auto found = charges_.find(id);
    if (found != charges_.end() && !found->second.value.running) {
        charges_.erase(found);
    }
}

std::vector<charge> charge_tracker::charges_of_holder(incarnation_id holder) const {
    std::vector<charge> list;
    for (const auto& [id, item] : charges_) {
        if (item.value.holder == holder) {
            list.push_back(item.value);
        }
    }
    return list;
}

void charge_tracker::forget_holder(incarnation_id holder) {
    const auto of_holder = [holder](const auto& item) { return item.second == holder; };
    std::erase_if(voided_tickets_, of_holder);
    std::erase_if(used_tickets_, of_holder);
}

}  // namespace wrenswitch
