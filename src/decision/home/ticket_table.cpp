#include "wrenswitch/decision/home/ticket_table.hpp"

#include <utility>

namespace wrenswitch {

void ticket_table::add(issued_ticket issued) {
    const ticket_id id = issued.value.id;
    tickets_[id] = std::move(issued);
}

issued_ticket* ticket_table::find(ticket_id id) {
    const auto found = tickets_.find(id);
    return found == tickets_.end() ? nullptr : &found->second;
}

std::optional<issued_ticket> ticket_table::take(ticket_id id) {
    auto node = tickets_.extract(id);
    if (node.empty()) {
        return std::nullopt;
    }
    return std::move(node.mapped());
}

std::vector<ticket_id> ticket_table::unconfirmed_before(instant time) const {
    std::vector<ticket_id> unconfirmed;
    for (const auto& [id, issued] : tickets_) {
        if (!issued.started() && !issued.void_requested && issued.issued_at < time) {
            unconfirmed.push_back(id);
        }
    }
    return unconfirmed;
}

std::vector<ticket_id> ticket_table::possibly_started_by(incarnation_id guard) const {
    std::vector<ticket_id> possibly_started;
    for (const auto& [id, issued] : tickets_) {
        if (!issued.started() || issued.guard == guard) {
            possibly_started.push_back(id);
        }
    }
    return possibly_started;
}

}  // namespace wrenswitch
