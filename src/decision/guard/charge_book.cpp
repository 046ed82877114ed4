#include "wrenswitch/decision/guard/charge_book.hpp"

#include <algorithm>

namespace wrenswitch {

refusal_reason charge_book::check(const ticket& offered, log_offset control_offset) const {
    if (!control_.is_active(own_)) {
        return refusal_reason::fenced;
    }
    if (control_offset < offered.least_control_offset) {
        return refusal_reason::behind;
    }
    if (offered.issued_control_offset < control_.find(own_)->registered_at) {
        return refusal_reason::predates;
    }
    if (voided_.count(offered.id) > 0) {
        return refusal_reason::voided;
    }
    if (used_.count(offered.id) > 0) {
        return refusal_reason::repeated_ticket;
    }
    if (control_.find(offered.holder) == nullptr) {
        // The holder registered, or it could not hold anything; this guard has not read it yet.
        return refusal_reason::behind;
    }
    if (!control_.is_active(offered.holder)) {
        return refusal_reason::fenced;
    }
    return refusal_reason::none;
}

refusal_reason charge_book::start(const ticket& used, log_offset control_offset) {
    const refusal_reason reason = check(used, control_offset);
    if (reason != refusal_reason::none) {
        return reason;
    }
    charge value;
    value.budget = used.budget;
    value.holder = used.holder;
    value.key = used.key;
    value.ticket = used.id;
    value.amount = used.bound;
    value.running = true;
    charges_[used.id] = entry{value, {}, false};
    used_[used.id] = used.holder;
    ++running_;
    return refusal_reason::none;
}

tokens charge_book::end(ticket_id id, tokens cost) {
    const auto found = charges_.find(id);
    if (found == charges_.end() || !found->second.value.running) {
        return 0;
    }
    charge& value = found->second.value;
    const tokens excess = std::max<tokens>(cost - value.amount, 0);
    value.amount = std::clamp<tokens>(cost, 0, value.amount);
    value.running = false;
    --running_;
    return excess;
}

void charge_book::cancel(ticket_id id) {
    const auto found = charges_.find(id);
    if (found == charges_.end() || !found->second.value.running) {
        return;
    }
    charges_.erase(found);
    --running_;
}

bool charge_book::void_ticket(ticket_id id, incarnation_id holder) {
    if (used_.count(id) > 0) {
        return false;
    }
    voided_[id] = holder;
    return true;
}

std::vector<charge> charge_book::unacknowledged(instant now, microseconds resend_after,
                                                std::size_t most) {
    std::vector<charge> list;
    for (auto& [id, item] : charges_) {
        if (list.size() >= most) {
            break;
        }
        const bool due = !item.value.running && (!item.sent || now - item.sent_at >= resend_after);
        if (!due) {
            continue;
        }
        item.sent = true;
        item.sent_at = now;
        list.push_back(item.value);
    }
    return list;
}

void charge_book::acknowledge(ticket_id id) {
    const auto found = charges_.find(id);
    if (found != charges_.end() && !found->second.value.running) {
        charges_.erase(found);
    }
}

std::vector<charge> charge_book::mark_for(incarnation_id holder) const {
    std::vector<charge> list;
    for (const auto& [id, item] : charges_) {
        if (item.value.holder == holder) {
            list.push_back(item.value);
        }
    }
    return list;
}

void charge_book::forget_holder(incarnation_id holder) {
    const auto of_holder = [holder](const auto& item) { return item.second == holder; };
    std::erase_if(voided_, of_holder);
    std::erase_if(used_, of_holder);
}

}  // namespace wrenswitch
