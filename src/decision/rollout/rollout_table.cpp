#include "wrenswitch/decision/rollout/rollout_table.hpp"

namespace wrenswitch {

const char* name_of(rollout_state state) {
    switch (state) {
        case rollout_state::running:
            return "running";
        case rollout_state::completed:
            return "completed";
        case rollout_state::rolled_back:
            return "rolled_back";
    }
    return "unnamed";
}

bool rollout_table::accepts(const rollout_record& record) const {
    const rollout_record* current = find(record.service);
    if (current == nullptr || record.order > current->order) {
        return true;
    }
    return record.order == current->order && record.version == current->version &&
           current->state == rollout_state::running;
}

bool rollout_table::apply(const rollout_record& record) {
    if (!accepts(record)) {
        return false;
    }
    records_.insert_or_assign(record.service, record);
    return true;
}

const rollout_record* rollout_table::find(std::string_view service) const {
    const auto found = records_.find(service);
    return found == records_.end() ? nullptr : &found->second;
}

}  // namespace wrenswitch
