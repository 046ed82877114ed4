#include "wrenswitch/decision/control/control_state.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// The number of change sets remembered to detect repeats: more than a day's at the design size.
constexpr std::size_t max_remembered_operations = 4096;

/// The number of fences remembered; incomplete ones are kept in any case. At 10 failures a day this
/// covers months.
constexpr std::size_t max_remembered_fences = 1024;

/// The number of closed or fenced members remembered: a week's at 290 restarts a day. Older ones
/// are unknown, and requests from unknown members are refused too.
constexpr std::size_t max_remembered_inactive_members = 2048;

}  // namespace

struct control_state::visitor {
    control_state& state;
    incarnation_id writer;
    log_offset offset;
    control_effect& effect;

    void operator()(const register_record& record) const {
        state.apply_registration(writer, record.info, offset);
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
    void operator()(const fence_acks_record& record) const {
        for (const fence_ack& ack : record.acks) {
            state.apply_ack(ack);
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

control_state::snapshot control_state::to_snapshot() const {
    return {configuration_,   members_,    sequences_,       fences_,
            operation_order_, operations_, last_guard_fence_};
}

void control_state::restore(snapshot saved) {
    configuration_ = std::move(saved.config);
    members_ = std::move(saved.members);
    sequences_ = std::move(saved.sequences);
    fences_ = std::move(saved.fences);
    operation_order_ = std::move(saved.operation_order);
    operations_ = std::move(saved.operations);
    last_guard_fence_ = saved.last_guard_fence;
}

void control_state::apply_registration(incarnation_id writer, const registration& info,
                                       log_offset offset) {
    if (members_.count(writer) > 0) {
        return;
    }
    members_[writer] = member{writer, info, offset, false, {}};
    evict_members();
}

bool control_state::is_evictable(const member& known) const {
    if (known.closed) {
        return true;
    }
    // A fenced guard must be kept: fences of entries that did not acknowledge its fence wait for
    // its acknowledgement.
    const auto fence = fences_.find(known.incarnation);
    return known.fenced() && known.info.role == member_role::entry &&
           (fence == fences_.end() || fence->second.complete());
}

void control_state::evict_members() {
    std::vector<const member*> evictable;
    if (members_.size() <= max_remembered_inactive_members) {
        return;
    }
    for (const auto& [id, known] : members_) {
        if (is_evictable(known)) {
            evictable.push_back(&known);
        }
    }
    if (evictable.size() <= max_remembered_inactive_members) {
        return;
    }
    std::sort(evictable.begin(), evictable.end(), [](const member* left, const member* right) {
        return left->registered_at < right->registered_at;
    });
    // Erases a quarter at a time, so that not every registration scans all members.
    constexpr std::size_t eviction_divisor = 4;
    evictable.resize(evictable.size() / eviction_divisor);
    std::vector<incarnation_id> evicted;
    evicted.reserve(evictable.size());
    for (const member* known : evictable) {
        evicted.push_back(known->incarnation);
    }
    for (const incarnation_id id : evicted) {
        members_.erase(id);
    }
}

void control_state::apply_close(incarnation_id writer) {
    const auto found = members_.find(writer);
    if (found == members_.end()) {
        return;
    }
    found->second.closed = true;
    for (auto& [fenced, fence] : fences_) {
        fence.pending_acks.erase(writer);
    }
}

void control_state::apply_fence(incarnation_id fenced, log_offset offset) {
    const auto found = members_.find(fenced);
    if (found == members_.end() || !found->second.active()) {
        return;
    }
    member& fenced_member = found->second;
    fenced_member.fenced_at = offset;
    fence_state fence;
    fence.fenced = fenced;
    fence.offset = offset;
    if (fenced_member.info.role == member_role::guard) {
        last_guard_fence_ = offset;
    } else {
        for (const auto& [id, other] : members_) {
            if (other.info.role == member_role::guard && must_acknowledge(other, fenced_member)) {
                fence.pending_acks.insert(id);
            }
        }
    }
    fences_[fenced] = std::move(fence);
    evict_fences();
}

bool control_state::must_acknowledge(const member& guard, const member& fenced_entry) const {
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
    return fence == fences_.end() || fence->second.acked_by.count(fenced_entry.incarnation) == 0;
}

void control_state::apply_ack(const fence_ack& ack) {
    const auto found = fences_.find(ack.fenced);
    if (found == fences_.end()) {
        return;
    }
    fence_state& fence = found->second;
    if (!wants_ack(ack.fenced, ack.sender)) {
        return;
    }
    fence.acked_by.insert(ack.sender);
    fence.pending_acks.erase(ack.sender);
    fence.charges.insert(fence.charges.end(), ack.charges.begin(), ack.charges.end());
    const member* fenced = find(ack.fenced);
    const bool is_entry_fence = fenced == nullptr || fenced->info.role == member_role::entry;
    if (is_entry_fence && fence.complete()) {
        fence.acked_by.clear();
    }
}

bool control_state::wants_ack(incarnation_id fenced, incarnation_id sender) const {
    const auto found = fences_.find(fenced);
    if (found == fences_.end()) {
        return false;
    }
    const member* known = find(fenced);
    const bool is_guard_fence = known != nullptr && known->info.role == member_role::guard;
    return is_guard_fence ? found->second.acked_by.count(sender) == 0
                          : found->second.pending_acks.count(sender) > 0;
}

change_outcome control_state::apply_change(const change_set& set) {
    const auto known = operations_.find(set.operation);
    if (known != operations_.end()) {
        return known->second;
    }
    const change_outcome outcome = configuration_.apply(set);
    operations_[set.operation] = outcome;
    operation_order_.push_back(set.operation);
    if (operation_order_.size() > max_remembered_operations) {
        operations_.erase(operation_order_.front());
        operation_order_.pop_front();
    }
    return outcome;
}

void control_state::evict_fences() {
    while (fences_.size() > max_remembered_fences) {
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
