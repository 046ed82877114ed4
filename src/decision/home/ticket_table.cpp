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

std::vector<ticket_id> ticket_table::unclear_before(instant time) const {
    std::vector<ticket_id> unclear;
    for (const auto& [id, issued] : tickets_) {
        if (!issued.started() && !issued.void_asked && issued.issued_at < time) {
            unclear.push_back(id);
        }
    }
    return unclear;
}

std::vector<ticket_id> ticket_table::exposed_to(incarnation_id guard) const {
    std::vector<ticket_id> exposed;
    for (const auto& [id, issued] : tickets_) {
        if (!issued.started() || issued.guard == guard) {
            exposed.push_back(id);
        }
    }
    return exposed;
}

}  // namespace wrenswitch
