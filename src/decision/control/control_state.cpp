#include "wrenswitch/decision/control/control_state.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// How many operators' changes are remembered for repeats: more than a day's at the design size.
constexpr std::size_t remembered_operations = 4096;

/// How many fences are remembered beyond those that are open: months' at 10 failures a day.
constexpr std::size_t remembered_fences = 1024;

/// How many members that are gone are remembered: a week's at 290 restarts a day. Who asks for an
/// older one finds it unknown, which is refused as well.
constexpr std::size_t remembered_gone_members = 2048;

}  // namespace

struct control_state::visitor {
    control_state& state;
    incarnation_id writer;
    log_offset offset;
    control_effect& effect;

    void operator()(const register_record& record) const {
        state.apply_register(writer, record.self, offset);
        effect.membership_changed = true;
    }
    void operator()(const close_record&) const {
        state.apply_close(writer);
        effect.membership_changed = true;
    }
    void operator()(const fence_record& record) const {
        state.apply_fence(record.incarnation, offset);
        effect.membership_changed = true;
    }
    void operator()(const marks_record& record) const {
        for (const fence_mark& mark : record.marks) {
            state.apply_mark(mark);
        }
    }
    void operator()(const change_set& set) const {
        effect.was_configuration = true;
        effect.operation = set.operation;
        effect.outcome = state.apply_change(set);
    }
};

control_effect control_state::apply(const control_record& record, log_offset offset) {
    control_effect effect;
    std::uint64_t& last = sequences_[record.writer];
    if (record.sequence <= last) {
        return effect;
    }
    last = record.sequence;
    effect.applied = true;
    std::visit(visitor{*this, record.writer, offset, effect}, record.kind);
    return effect;
}

const member* control_state::find(incarnation_id incarnation) const {
    const auto found = members_.find(incarnation);
    return found == members_.end() ? nullptr : &found->second;
}

bool control_state::is_active(incarnation_id incarnation) const {
    const member* known = find(incarnation);
    return known != nullptr && known->active();
}

bool control_state::is_fenced(incarnation_id incarnation) const {
    const member* known = find(incarnation);
    return known != nullptr && known->fenced();
}

const change_outcome* control_state::outcome_of(operation_id operation) const {
    const auto found = operations_.find(operation);
    return found == operations_.end() ? nullptr : &found->second;
}

std::uint64_t control_state::last_sequence_of(incarnation_id writer) const {
    const auto found = sequences_.find(writer);
    return found == sequences_.end() ? 0 : found->second;
}

control_state::image control_state::to_image() const {
    return {configuration_,   members_,    sequences_,       fences_,
            operation_order_, operations_, last_guard_fence_};
}

void control_state::restore(image saved) {
    configuration_ = std::move(saved.config);
    members_ = std::move(saved.members);
    sequences_ = std::move(saved.sequences);
    fences_ = std::move(saved.fences);
    operation_order_ = std::move(saved.operation_order);
    operations_ = std::move(saved.operations);
    last_guard_fence_ = saved.last_guard_fence;
}

void control_state::apply_register(incarnation_id writer, const registration& self,
                                   log_offset offset) {
    if (members_.count(writer) > 0) {
        return;
    }
    members_[writer] = member{writer, self, offset, false, {}};
    forget_old_members();
}

bool control_state::may_be_forgotten(const member& known) const {
    if (known.closed) {
        return true;
    }
    // A fenced guard must be remembered: fences of entries that did not mark it wait for it.
    const auto fence = fences_.find(known.incarnation);
    return known.fenced() && known.self.role == member_role::entry &&
           (fence == fences_.end() || fence->second.complete());
}

void control_state::forget_old_members() {
    std::vector<const member*> gone;
    if (members_.size() <= remembered_gone_members) {
        return;
    }
    for (const auto& [id, known] : members_) {
        if (may_be_forgotten(known)) {
            gone.push_back(&known);
        }
    }
    if (gone.size() <= remembered_gone_members) {
        return;
    }
    std::sort(gone.begin(), gone.end(), [](const member* left, const member* right) {
        return left->registered_at < right->registered_at;
    });
    // A quarter at a time, so that the search is not made at every registration.
    constexpr std::size_t part = 4;
    gone.resize(gone.size() / part);
    std::vector<incarnation_id> names;
    names.reserve(gone.size());
    for (const member* known : gone) {
        names.push_back(known->incarnation);
    }
    for (const incarnation_id name : names) {
        members_.erase(name);
    }
}

void control_state::apply_close(incarnation_id writer) {
    const auto found = members_.find(writer);
    if (found == members_.end()) {
        return;
    }
    found->second.closed = true;
    for (auto& [fenced, fence] : fences_) {
        fence.awaited.erase(writer);
    }
}

void control_state::apply_fence(incarnation_id fenced, log_offset offset) {
    const auto found = members_.find(fenced);
    if (found == members_.end() || !found->second.active()) {
        return;
    }
    member& target = found->second;
    target.fenced_at = offset;
    fence_state fence;
    fence.fenced = fenced;
    fence.offset = offset;
    if (target.self.role == member_role::guard) {
        last_guard_fence_ = offset;
    } else {
        for (const auto& [id, other] : members_) {
            if (other.self.role == member_role::guard && must_mark(other, target)) {
                fence.awaited.insert(id);
            }
        }
    }
    fences_[fenced] = std::move(fence);
    forget_old_fences();
}

bool control_state::must_mark(const member& guard, const member& fenced_entry) const {
    if (guard.closed) {
        return false;
    }
    if (!guard.fenced()) {
        return true;
    }
    if (guard.fenced_at < fenced_entry.registered_at) {
        return false;
    }
    const auto fence = fences_.find(guard.incarnation);
    return fence == fences_.end() || fence->second.marked_by.count(fenced_entry.incarnation) == 0;
}

void control_state::apply_mark(const fence_mark& mark) {
    const auto found = fences_.find(mark.fenced);
    if (found == fences_.end()) {
        return;
    }
    fence_state& fence = found->second;
    if (!wants_mark(mark.fenced, mark.marker)) {
        return;
    }
    fence.marked_by.insert(mark.marker);
    fence.awaited.erase(mark.marker);
    fence.charges.insert(fence.charges.end(), mark.charges.begin(), mark.charges.end());
    const member* fenced = find(mark.fenced);
    const bool of_entry = fenced == nullptr || fenced->self.role == member_role::entry;
    if (of_entry && fence.complete()) {
        fence.marked_by.clear();
    }
}

bool control_state::wants_mark(incarnation_id fenced, incarnation_id marker) const {
    const auto found = fences_.find(fenced);
    if (found == fences_.end()) {
        return false;
    }
    const member* known = find(fenced);
    const bool of_guard = known != nullptr && known->self.role == member_role::guard;
    return of_guard ? found->second.marked_by.count(marker) == 0
                    : found->second.awaited.count(marker) > 0;
}

change_outcome control_state::apply_change(const change_set& set) {
    const auto known = operations_.find(set.operation);
    if (known != operations_.end()) {
        return known->second;
    }
    const change_outcome outcome = configuration_.apply(set);
    operations_[set.operation] = outcome;
    operation_order_.push_back(set.operation);
    if (operation_order_.size() > remembered_operations) {
        operations_.erase(operation_order_.front());
        operation_order_.pop_front();
    }
    return outcome;
}

void control_state::forget_old_fences() {
    while (fences_.size() > remembered_fences) {
        auto oldest = fences_.end();
        for (auto item = fences_.begin(); item != fences_.end(); ++item) {
            const bool older =
                oldest == fences_.end() || item->second.offset < oldest->second.offset;
            if (item->second.complete() && older) {
                oldest = item;
            }
        }
        if (oldest == fences_.end()) {
            return;
        }
        fences_.erase(oldest);
    }
}

}  // namespace wrenswitch
